#ifndef DISPATCH_COLD_START_PACER_H_
#define DISPATCH_COLD_START_PACER_H_

#include <algorithm>

#include "base/clock_reading.h"

namespace kumquatcove {

/**
 * Paces the requests of one instance to one cold upstream.
 *
 * The rate that a cold upstream bears holds for all instances together. Only
 * the instances of its region send to it, each at an equal part of the rate, so
 * that the sum holds without messages. Thread safety: none.
 */
class ColdStartPacer {
 public:
  /** Returns whether a request may be sent now. `rate` is this instance's part
   * in requests per second. */
  bool IsDue(MonotonicTime now, double rate) const {
    return rate > 0 &&
           (!m_used || now - m_last >= Duration(static_cast<std::int64_t>(
                                           1'000'000 / rate)));
  }

  /** Notes a request. Precondition: IsDue. */
  void Take(MonotonicTime now) {
    m_last = now;
    m_used = true;
  }

 private:
  MonotonicTime m_last;
  bool m_used = false;
};

}  // namespace kumquatcove

#endif  // DISPATCH_COLD_START_PACER_H_
