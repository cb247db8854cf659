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
 * Divides the requests that arrive in region `home` among the regions.
 *
 * Designed for regions with similar demand and different numbers of slots:
 * requests stay in the home region as far as its slots suffice, and the
 * remainder goes to the other regions in proportion to their surplus slots. All
 * instances of a region compute the same shares, which change only when
 * upstreams are added or removed, independent of the load. Precondition: some
 * region has slots.
 */
RegionShares PlanRegions(const RegionName& home, const RegionSlots& slots);

/** Load of the home region relative to the mean of all regions above which its
 * requests are sent elsewhere: crossing costs time and bytes, and upstreams
 * that have their objects cached are far from full. */
inline constexpr double kHomePreference = 1.2;

}  // namespace kumquatcove

#endif  // DISPATCH_REGION_PLAN_H_
