#ifndef DISPATCH_REGION_PLAN_H_
#define DISPATCH_REGION_PLAN_H_

#include <map>

#include "base/name.h"

namespace kumquatcove {

/** Slots of a service in each region. */
using RegionSlots = std::map<RegionName, double>;

/** Share of a region's requests that each region is to run; the sum is 1. */
using RegionShares = std::map<RegionName, double>;

/**
 * Divides the requests that come in at `home` among the regions.
 *
 * Answers the load of regions with alike demand and unlike numbers of slots:
 * requests stay at home as far as its slots go, and what is left goes to the
 * regions in proportion to the slots that these don't need themselves. All
 * instances of a region compute the same, so that the shares move only when
 * upstreams come or go, whatever the load does. Precondition: some region has
 * slots.
 */
RegionShares PlanRegions(const RegionName& home, const RegionSlots& slots);

/** How far a region may be filled above the mean of all regions before its
 * requests are sent elsewhere: crossing costs time and bytes, and upstreams
 * that have their objects at hand are far from full. */
inline constexpr double kHomePreference = 1.2;

}  // namespace kumquatcove

#endif  // DISPATCH_REGION_PLAN_H_
