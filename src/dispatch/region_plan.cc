#include "dispatch/region_plan.h"

#include <algorithm>
#include <cassert>

namespace kumquatcove {

RegionShares PlanRegions(const RegionName& home, const RegionSlots& slots) {
  double total = 0;
  for (const auto& [region, count] : slots) {
    total += count;
  }
  assert(total > 0);
  const auto home_entry = slots.find(home);
  const double home_region_slots =
      home_entry == slots.end() ? 0 : home_entry->second;
  // Callers may be in a region without upstreams of the service.
  const auto regions =
      static_cast<double>(slots.size() + (home_entry == slots.end() ? 1 : 0));
  const double fair = total / regions;

  RegionShares shares;
  const double home_share =
      std::min(1.0, kHomePreference * home_region_slots / fair);
  shares[home] = home_share;
  double surplus = 0;
  for (const auto& [region, count] : slots) {
    if (region != home) {
      surplus += std::max(0.0, count - fair);
    }
  }
  for (const auto& [region, count] : slots) {
    if (region == home) {
      continue;
    }
    const double part = surplus > 0 ? std::max(0.0, count - fair) / surplus
                                    : count / (total - home_region_slots);
    shares[region] = (1 - home_share) * part;
  }
  return shares;
}

}  // namespace kumquatcove
