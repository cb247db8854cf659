#include "dispatch/recent_objects.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <iterator>
#include <tuple>

#include "base/hash.h"

namespace kumquatcove {

ObjectHash HashObject(const std::string& route, const std::string& object) {
  assert(!object.empty());
  return std::max<ObjectHash>(StableHash({route, object}), 1);
}

void RecentObjects::Record(ObjectHash object) {
  const auto found = m_positions.find(object);
  if (found != m_positions.end()) {
    m_order.splice(m_order.begin(), m_order, found->second);
    return;
  }
  if (m_order.size() >= kCapacity) {
    m_positions.erase(m_order.back());
    m_order.pop_back();
  }
  m_order.push_front(object);
  m_positions[object] = m_order.begin();
}

void RecentObjects::Clear() {
  m_order.clear();
  m_positions.clear();
}

std::optional<std::size_t> RecentObjects::FindRecencyRank(
    ObjectHash object) const {
  if (!Contains(object)) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(std::distance(
      m_order.begin(), std::find(m_order.begin(), m_order.end(), object)));
}

std::vector<UpstreamId> ChooseAffinityUpstreams(
    ObjectHash object,
    const std::vector<AffinityCandidate>& candidates,
    std::size_t count) {
  struct Ranked {
    double score = 0;
    const AffinityCandidate* candidate = nullptr;
  };
  std::vector<Ranked> ranked;
  ranked.reserve(candidates.size());
  for (const AffinityCandidate& candidate : candidates) {
    if (candidate.weight <= 0) {
      continue;
    }
    // A uniform number in (0, 1) from the upper bits of the hash.
    const double uniform =
        (static_cast<double>(StableHash(candidate.id.Text(), object) >> 11U) +
         0.5) *
        0x1p-53;
    ranked.push_back({-std::log(uniform) / candidate.weight, &candidate});
  }
  count = std::min(count, ranked.size());
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<std::ptrdiff_t>(count),
                    ranked.end(), [](const Ranked& left, const Ranked& right) {
                      return std::tie(left.score, left.candidate->id) <
                             std::tie(right.score, right.candidate->id);
                    });
  std::vector<UpstreamId> chosen;
  for (std::size_t i = 0; i < count; ++i) {
    chosen.push_back(ranked[i].candidate->id);
  }
  return chosen;
}

}  // namespace kumquatcove
