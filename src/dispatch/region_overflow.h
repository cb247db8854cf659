#ifndef DISPATCH_REGION_OVERFLOW_H_
#define DISPATCH_REGION_OVERFLOW_H_

#include <optional>

#include "base/clock_reading.h"
#include "dispatch/sliding_count.h"

namespace kumquatcove {

/**
 * Limits the rate at which requests of this instance's callers move to regions
 * other than the planned ones.
 *
 * The platform bounds the share of a region's requests that change the region
 * from one window of two seconds to the next. Each instance keeps its own share
 * within a limit that rises slowly while requests are denied an overflow and
 * falls slowly afterwards, so that the bound holds for all instances of the
 * region without messages. Thread safety: none.
 */
class RegionOverflow {
 public:
  /** The platform's window. */
  static constexpr Duration kWindow = Seconds(2);

  /** `max_shift` is the greatest share that may move within a window, 0 to 1.
   */
  explicit RegionOverflow(double max_shift);

  void SetMaxShift(double max_shift) { m_max_shift = max_shift; }

  /** Returns whether a request may run in another region than the planned one.
   */
  bool IsAllowed(MonotonicTime now) const;

  /** Records a placed request. */
  void OnPlaced(bool overflow, MonotonicTime now);

  /** Records that a request was denied a better region. */
  void OnDenied(MonotonicTime now) { m_denied = now; }

  /** Adjusts the limit; to be called at least every 100 ms. */
  void OnTick(MonotonicTime now);

 private:
  double m_max_shift;
  double m_limit;
  SlidingCount m_placed;
  SlidingCount m_overflowed;
  MonotonicTime m_adjusted;
  std::optional<MonotonicTime> m_denied;
};

}  // namespace kumquatcove

#endif  // DISPATCH_REGION_OVERFLOW_H_
