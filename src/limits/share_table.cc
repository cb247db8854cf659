#include "limits/share_table.h"

#include <algorithm>
#include <map>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "base/json_codec.h"

namespace kumquatcove {
namespace {

bool IsValid(const ShareTable& table) {
  if (table.holders.size() > kMaxShareHolders) {
    return false;
  }
  std::map<LimitKey, std::int64_t> sums;
  for (const ShareHolder& holder : table.holders) {
    if (holder.shares.size() > kMaxSharesPerHolder) {
      return false;
    }
    for (const LeasedShare& share : holder.shares) {
      std::int64_t& sum = sums[share.limit];
      if (share.held < 0 || share.held > kWholePool - sum || share.wanted < 0 ||
          share.wanted > kWholePool) {
        return false;
      }
      sum += share.held;
    }
  }
  return true;
}

}  // namespace

std::int64_t LeasedSum(const ShareTable& table, const LimitKey& limit) {
  std::int64_t sum = 0;
  for (const ShareHolder& holder : table.holders) {
    for (const LeasedShare& share : holder.shares) {
      sum += share.limit == limit ? share.held : 0;
    }
  }
  return sum;
}

std::optional<std::string> EncodeShareTable(const ShareTable& table) {
  if (!IsValid(table)) {
    return std::nullopt;
  }
  std::string text = boost::json::serialize(ToJson(table));
  return text.size() <= kMaxShareTableBytes ? std::optional(std::move(text))
                                            : std::nullopt;
}

std::optional<ShareTable> DecodeShareTable(const std::string& text) {
  if (text.size() > kMaxShareTableBytes) {
    return std::nullopt;
  }
  boost::system::error_code error;
  const boost::json::value json = boost::json::parse(text, error);
  if (error) {
    return std::nullopt;
  }
  try {
    auto table = FromJson<ShareTable>(json);
    return IsValid(table) ? std::optional(std::move(table)) : std::nullopt;
  } catch (const JsonCodecError&) {
    return std::nullopt;
  }
}

std::int64_t FairPart(std::int64_t pool,
                      std::int64_t own,
                      std::vector<std::int64_t> others) {
  std::sort(others.begin(), others.end());
  auto claimants = static_cast<std::int64_t>(others.size()) + 1;
  std::int64_t left = pool;
  for (const std::int64_t wanted : others) {
    if (wanted > left / claimants || own <= left / claimants) {
      break;
    }
    left -= wanted;
    --claimants;
  }
  return std::min(own, left / claimants);
}

}  // namespace kumquatcove
