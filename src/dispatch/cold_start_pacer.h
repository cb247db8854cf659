#ifndef DISPATCH_COLD_START_PACER_H_
#define DISPATCH_COLD_START_PACER_H_

#include <optional>

#include "base/clock_reading.h"

namespace kumquatcove {

/** Part of an instance in sending to the cold upstreams of its region. */
struct ColdStartShare {
  /** Requests per second that one cold upstream bears from all instances. */
  double rate = 0;
  /** Instances of the region, at least 1. */
  int instances = 1;
  /** Place of this instance among them, from 0. */
  int rank = 0;
};

/**
 * Paces the requests of one instance to one cold upstream.
 *
 * The rate that a cold upstream bears holds for all instances together, and all
 * of them learn of a cold upstream at the same moment. Only the instances of
 * its region send to it. They take turns by the time of day: each may send one
 * request in a window of its own, so that the sum holds without messages and
 * whatever the load does. Clocks that differ by a few hundred milliseconds
 * shift the windows by as much. Thread safety: none.
 */
class ColdStartPacer {
 public:
  /** Longest window, which leaves each instance time to have a request at hand.
   * Any second meets the windows of `rate` * 1.5 instances at most, the surplus
   * that the platform allows. */
  static constexpr Duration kMaxWindow = Milliseconds(500);

  /** Returns the start of this instance's window if it is open, or nothing. */
  static std::optional<WallTime> FindWindow(WallTime now,
                                            const ColdStartShare& share);

  /** Returns whether a request may be sent in the window that began at
   * `window`. */
  bool IsDue(WallTime window) const { return !m_last || *m_last < window; }

  /** Notes a request. Precondition: IsDue for the window that is open. */
  void Take(WallTime now) { m_last = now; }

 private:
  std::optional<WallTime> m_last;
};

}  // namespace kumquatcove

#endif  // DISPATCH_COLD_START_PACER_H_
