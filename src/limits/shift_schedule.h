#ifndef LIMITS_SHIFT_SCHEDULE_H_
#define LIMITS_SHIFT_SCHEDULE_H_

#include <cstdint>
#include <optional>

#include "base/clock_reading.h"
#include "base/name.h"
#include "catalogue/entry.h"

namespace kumquatcove {

/** Returns the share of traffic, in thousandths, that a shift committed at
 * `committed` moves at `now`. */
std::int32_t MovedPermille(const ShiftDeclaration& shift,
                           WallTime committed,
                           WallTime now);

/**
 * Returns the region that a request should be moved to, or nothing.
 *
 * `content_hash` picks the requests that move, so that the same request moves
 * on every entry instance and the set of moved requests only grows while the
 * ramp goes up.
 */
std::optional<RegionName> ShiftTarget(const CatalogueEntry& entry,
                                      const RegionName& own_region,
                                      std::uint64_t content_hash,
                                      WallTime now);

}  // namespace kumquatcove

#endif  // LIMITS_SHIFT_SCHEDULE_H_
