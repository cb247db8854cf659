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
 * How far the availability zones are from this instance, and which region each
 * belongs to.
 *
 * Round trips are learned from the time that new connections take. Thread
 * safety: none.
 */
class ZoneDistances {
 public:
  ZoneDistances(ZoneName zone, RegionName region, DispatchSettings settings);

  void SetSettings(DispatchSettings settings) {
    m_settings = std::move(settings);
  }

  /** Returns the region of a zone; empty if it isn't known. */
  RegionName RegionOf(const ZoneName& zone) const;

  /** Notes the time that a connection to an upstream of `zone` took to open. */
  void AddRoundTrip(const ZoneName& zone, Duration time);

  /** Returns the expected round trip. */
  Duration RoundTrip(const ZoneName& zone) const;

  /** Returns what carrying a request there costs, as time. */
  Duration CrossingCost(const ZoneName& zone) const;

 private:
  ZoneName m_zone;
  RegionName m_region;
  DispatchSettings m_settings;
  absl::flat_hash_map<ZoneName, Duration> m_round_trips;
};

}  // namespace kumquatcove

#endif  // DISPATCH_ZONE_DISTANCES_H_
