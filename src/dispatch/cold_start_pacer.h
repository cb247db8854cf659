#ifndef DISPATCH_COLD_START_PACER_H_
#define DISPATCH_COLD_START_PACER_H_

#include <optional>

#include "base/clock_reading.h"

namespace kumquatcove {

/** Share of an instance in the requests to the cold upstreams of its region. */
struct ColdStartShare {
  /** Permitted requests per second to one cold upstream, over all instances. */
  double rate = 0;
  /** Instances of the region, at least 1. */
  int instances = 1;
  /** Rank of this instance among them, from 0. */
  int rank = 0;
};

/**
 * Paces the requests of one instance to one cold upstream.
 *
 * The permitted rate of a cold upstream applies to all instances together, and
 * all of them discover a cold upstream at the same moment. Only the instances
 * of its region send to it. Each has its own time slots by wall-clock time and
 * may send one request in each, so that the total stays within the rate without
 * messages at any load. Clocks that differ by a few hundred milliseconds shift
 * the windows by as much. Thread safety: none.
 */
class ColdStartPacer {
 public:
  /** Maximum window length, long enough for an instance to receive a request in
   * it. Any second overlaps the windows of at most `rate` * 1.5 instances, the
   * excess that the platform allows. */
  static constexpr Duration kMaxWindow = Milliseconds(500);

  /** Returns the start of this instance's window if it is open, otherwise
   * `std::nullopt`. */
  static std::optional<WallTime> FindWindow(WallTime now,
                                            const ColdStartShare& share);

  /** Returns whether a request may be sent in the window that began at
   * `window`. */
  bool IsDue(WallTime window) const { return !m_last || *m_last < window; }

  /** Records a sent request. Precondition: IsDue() for the open window. */
  void RecordSend(WallTime now) { m_last = now; }

 private:
  std::optional<WallTime> m_last;
};

}  // namespace kumquatcove

#endif  // DISPATCH_COLD_START_PACER_H_
