#include "dispatch/zone_distances.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace kumquatcove {
namespace {

// Assumed until a connection has been opened.
constexpr Duration kSameRegionRoundTrip = Milliseconds(2);
constexpr Duration kOtherRegionRoundTrip = Milliseconds(50);

Duration FromSeconds(double seconds) {
  return Duration(std::llround(seconds * 1'000'000));
}

}  // namespace

ZoneDistances::ZoneDistances(ZoneName zone,
                             RegionName region,
                             DispatchSettings settings)
    : m_zone(std::move(zone)),
      m_region(std::move(region)),
      m_settings(std::move(settings)) {}

RegionName ZoneDistances::RegionOf(const ZoneName& zone) const {
  const auto found = m_settings.zones.find(zone.Text());
  return found == m_settings.zones.end() ? RegionName()
                                         : RegionName(found->second);
}

void ZoneDistances::AddRoundTrip(const ZoneName& zone, Duration time) {
  const auto [entry, inserted] = m_round_trips.try_emplace(zone, time);
  if (!inserted) {
    // Lost packets and busy upstreams only lengthen the sample, so the estimate
    // rises slowly and falls at once.
    entry->second = std::min(time, entry->second + entry->second / 32);
  }
}

Duration ZoneDistances::RoundTrip(const ZoneName& zone) const {
  const auto found = m_round_trips.find(zone);
  if (found != m_round_trips.end()) {
    return found->second;
  }
  return RegionOf(zone) == m_region ? kSameRegionRoundTrip
                                    : kOtherRegionRoundTrip;
}

Duration ZoneDistances::CrossingCost(const ZoneName& zone) const {
  if (zone == m_zone) {
    return Duration::zero();
  }
  return FromSeconds(RegionOf(zone) == m_region
                         ? m_settings.zone_crossing_cost_s
                         : m_settings.region_crossing_cost_s);
}

}  // namespace kumquatcove
