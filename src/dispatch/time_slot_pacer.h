#ifndef DISPATCH_TIME_SLOT_PACER_H_
#define DISPATCH_TIME_SLOT_PACER_H_

#include <optional>

#include "base/clock_reading.h"

namespace kumquatcove {

/** Share of an instance in the requests to the upstreams of its region whose
 * rate is limited. */
struct TimeSlotShare {
  /** Instances of the region, at least 1. */
  int instances = 1;
  /** Rank of this instance among them, from 0. */
  int rank = 0;
  WallTime now;
};

/**
 * Paces the requests of one instance to one upstream that accepts only a
 * limited rate from all instances together, without messages.
 *
 * Only the instances of the upstream's region send to it. Each has its own time
 * slots by wall-clock time and may send one request in each, so that the total
 * stays within the rate at any load. Clocks that differ by a few hundred
 * milliseconds shift the slots by as much. Thread safety: none.
 */
class TimeSlotPacer {
 public:
  /** Maximum length of the window in which a slot may be used, long enough for
   * an instance to receive a request in it. Any second overlaps the windows of
   * at most rate * 1.5 instances, the excess that the platform allows. */
  static constexpr Duration kMaxWindow = Milliseconds(500);

  /** Returns whether a request may be sent at `share.now` to an upstream that
   * accepts `rate` requests per second. */
  bool IsDue(double rate, const TimeSlotShare& share) const;

  /** Records a sent request. Precondition: IsDue() at that time. */
  void RecordSend(WallTime now) { m_last = now; }

 private:
  std::optional<WallTime> m_last;
};

}  // namespace kumquatcove

#endif  // DISPATCH_TIME_SLOT_PACER_H_
