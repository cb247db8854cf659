#include "claims/claim_sweeper.h"

#include <algorithm>
#include <cassert>
#include <cstdlib>
#include <utility>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "base/json_codec.h"
#include "claims/claim_row.h"

namespace kumquatcove {
namespace {

constexpr std::int64_t kMinute = 60'000'000;
constexpr std::size_t kMinuteDigits = 10;
constexpr std::int64_t kMaxClockJump = kMinute;
// Maximum number of log rows processed from one scan; a later sweep processes
// the others.
constexpr std::size_t kMaxLogs = 512;
constexpr std::size_t kMaxLoggedRows = 16;
// Retention for services that the catalogue no longer contains.
constexpr std::int64_t kDefaultRetention = 1440 * kMinute;

std::string LogPrefix(std::int64_t minute) {
  std::string digits = std::to_string(minute);
  digits.insert(0, kMinuteDigits - std::min(kMinuteDigits, digits.size()), '0');
  return "claim-log/" + digits + "/";
}

std::int64_t RetentionOf(const Context& context, const std::string& row_key) {
  for (const ServiceName& name : context.Catalogue().Services()) {
    if (row_key.starts_with(ClaimRowKey({name, ""}))) {
      return FindClaimRetention(context, name).count();
    }
  }
  return kDefaultRetention;
}

std::vector<std::string> DecodeLog(const std::string& text) {
  boost::system::error_code error;
  const boost::json::value json = boost::json::parse(text, error);
  if (error) {
    return {};
  }
  try {
    std::vector<std::string> rows = FromJson<ClaimLog>(json).rows;
    const bool valid =
        rows.size() <= kMaxLoggedRows &&
        std::all_of(rows.begin(), rows.end(), [](const std::string& row) {
          return row.starts_with("claims/");
        });
    return valid ? rows : std::vector<std::string>();
  } catch (const JsonCodecError&) {
    return {};
  }
}

StoreTransaction MakeDelete(const StoreRow& row) {
  return {{{row.key, row.version}}, {{row.key, std::nullopt}}};
}

}  // namespace

Duration FindClaimRetention(const Context& context,
                            const ServiceName& service) {
  const ServiceEntry* entry = context.Catalogue().FindService(service);
  return entry == nullptr ? Duration(kDefaultRetention)
                          : Seconds(entry->limits.claim_retention_s);
}

StoreTransaction ClaimSweeper::MakeLogTransaction(
    Context& context,
    std::vector<std::string> rows) const {
  const std::string key = LogPrefix(context.Wall().microseconds / kMinute) +
                          context.Self().instance.Text() + "/" +
                          std::to_string(context.NextUniqueNumber());
  return {{},
          {{key, boost::json::serialize(ToJson(ClaimLog{std::move(rows)}))}}};
}

void ClaimSweeper::OnTick(Context& context) {
  if (m_stopped || m_state != State::kIdle) {
    return;
  }
  if (m_next_sweep && HasClockJumped(context)) {
    m_stopped = true;
    context.Record("claim_sweep_stopped", context.Self().instance.Text());
    return;
  }
  if (m_next_sweep && context.Now() >= *m_next_sweep) {
    StartSweep(context);
  } else if (m_next_sweep) {
    return;
  }
  if (!m_next_sweep) {
    m_clock_offset =
        context.Wall().microseconds - context.Now().time_since_epoch().count();
  }
  const auto mean = static_cast<std::uint64_t>(
      kSweepInterval.count() *
      std::max(1, context.Catalogue().Topology().max_instances));
  m_next_sweep =
      context.Now() + Duration(static_cast<std::int64_t>(
                          context.RandomNumbers().NextBelow(2 * mean)));
}

bool ClaimSweeper::HasClockJumped(const Context& context) const {
  const std::int64_t offset =
      context.Wall().microseconds - context.Now().time_since_epoch().count();
  return std::abs(offset - m_clock_offset) > kMaxClockJump;
}

void ClaimSweeper::StartSweep(Context& context) {
  std::optional<std::int64_t> shortest;
  std::int64_t longest = 0;
  for (const ServiceName& name : context.Catalogue().Services()) {
    const ServiceEntry* service = context.Catalogue().FindService(name);
    if (service->request_class == RequestClass::kNonIdempotent) {
      const std::int64_t retention = FindClaimRetention(context, name).count();
      shortest = std::min(shortest.value_or(retention), retention);
      longest = std::max(longest, retention);
    }
  }
  if (!shortest) {
    return;
  }
  const std::int64_t last =
      (context.Wall().microseconds - *shortest - kClockMargin.count()) /
          kMinute -
      1;
  const std::int64_t window =
      (longest - *shortest + kSweepWindow.count()) / kMinute;
  m_minute = last - static_cast<std::int64_t>(context.RandomNumbers().NextBelow(
                        static_cast<std::uint64_t>(window)));
  m_call = StoreScan{LogPrefix(std::max<std::int64_t>(0, m_minute))};
  m_state = State::kScan;
}

ClaimStep ClaimSweeper::NextStep() const {
  if (m_state == State::kIdle || m_in_flight) {
    return ClaimStep::kNone;
  }
  return m_state == State::kWrite ? ClaimStep::kWrite : ClaimStep::kRead;
}

StoreOperation ClaimSweeper::TakeCall(Context& /*context*/) {
  assert(NextStep() != ClaimStep::kNone);
  m_in_flight = true;
  return std::move(m_call);
}

void ClaimSweeper::OnReply(Context& context, const StoreReply& reply) {
  assert(m_in_flight);
  m_in_flight = false;
  if (reply.status != StoreStatus::kOk) {
    m_state = State::kIdle;
    return;
  }
  switch (m_state) {
    case State::kIdle:
      break;
    case State::kScan:
      m_logs = reply.rows;
      m_logs.resize(std::min(m_logs.size(), kMaxLogs));
      ReadNextLog();
      break;
    case State::kRead:
      ProcessClaims(context, reply.rows);
      break;
    case State::kWrite:
      m_logs.pop_back();
      ReadNextLog();
      break;
  }
}

void ClaimSweeper::ReadNextLog() {
  if (m_logs.empty()) {
    m_state = State::kIdle;
    return;
  }
  // An invalid log row decodes to an empty list and is deleted.
  m_call = StoreRead{DecodeLog(m_logs.back().value)};
  m_state = State::kRead;
}

void ClaimSweeper::ProcessClaims(const Context& context,
                                 const std::vector<StoreRow>& rows) {
  StoreWrite write;
  bool all_done = true;
  for (const StoreRow& row : rows) {
    if (row.version == 0) {
      continue;
    }
    const std::optional<ClaimRow> claim = DecodeClaimRow(row.value);
    if (claim && claim->created.microseconds >= (m_minute + 1) * kMinute) {
      // The key was claimed again since; a later log row lists it.
      continue;
    }
    if (IsExpired(context, row)) {
      write.transactions.push_back(MakeDelete(row));
    } else {
      all_done = false;
    }
  }
  if (all_done) {
    write.transactions.push_back(MakeDelete(m_logs.back()));
  }
  if (write.transactions.empty()) {
    m_logs.pop_back();
    ReadNextLog();
    return;
  }
  m_call = std::move(write);
  m_state = State::kWrite;
}

bool ClaimSweeper::IsExpired(const Context& context,
                             const StoreRow& row) const {
  const std::optional<ClaimRow> claim = DecodeClaimRow(row.value);
  const std::int64_t since =
      claim ? claim->created.microseconds : (m_minute + 1) * kMinute;
  return since + RetentionOf(context, row.key) + kClockMargin.count() <
         context.Wall().microseconds;
}

}  // namespace kumquatcove
