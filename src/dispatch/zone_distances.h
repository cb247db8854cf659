#ifndef DISPATCH_ZONE_DISTANCES_H_
#define DISPATCH_ZONE_DISTANCES_H_

#include <map>
#include <string>

#include <absl/container/flat_hash_map.h>

#include "base/clock_reading.h"
#include "base/name.h"
#include "protocol/dispatch_settings.h"

namespace kumquatcove {

/**
 * Estimates the round-trip time to each availability zone, and maps zones to
 * regions.
 *
 * Round-trip times are learned from the time that new connections take to open.
 * Thread safety: none.
 */
class ZoneDistances {
 public:
  ZoneDistances(ZoneName zone, RegionName region, DispatchSettings settings);

  void SetSettings(DispatchSettings settings) {
    m_settings = std::move(settings);
  }

  /** Returns the region of a zone; empty if the zone is unknown. */
  RegionName RegionOf(const ZoneName& zone) const;

  /** Records the time that a connection to an upstream of `zone` took to open.
   */
  void AddRoundTrip(const ZoneName& zone, Duration time);

  /** Returns the expected round trip. */
  Duration RoundTrip(const ZoneName& zone) const;

  /** Returns the cost of sending a request to the zone, as a time. */
  Duration CrossingCost(const ZoneName& zone) const;

 private:
  ZoneName m_zone;
  RegionName m_region;
  DispatchSettings m_settings;
  absl::flat_hash_map<ZoneName, Duration> m_round_trips;
};

}  // namespace kumquatcove

#endif  // DISPATCH_ZONE_DISTANCES_H_
