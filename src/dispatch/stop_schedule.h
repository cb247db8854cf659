#ifndef DISPATCH_STOP_SCHEDULE_H_
#define DISPATCH_STOP_SCHEDULE_H_

#include "base/clock_reading.h"

namespace kumquatcove {

/**
 * Times of a planned stop, all derived from its begin and from the time that
 * the platform allows until SIGKILL.
 *
 * While callers may still hold lookup answers that name the instance, requests
 * are accepted if they will probably finish; after that only if their whole
 * time lies before the end of work. Thread safety: a value.
 */
class StopSchedule {
 public:
  /** `begin` is the time of the stop request, `grace` the time from there to
   * SIGKILL. */
  StopSchedule(MonotonicTime begin, Duration grace);

  /** Returns whether a new request that ends at `deadline` at the latest may be
   * accepted. */
  bool IsAdmissible(MonotonicTime now, MonotonicTime deadline) const;

  /** Returns whether work that is expected to take `expected` may begin. */
  bool MayBegin(MonotonicTime now, Duration expected) const;

  /** From now on no connection is accepted. */
  MonotonicTime IntakeEnd() const { return m_intake_end; }
  /** Requests that have no answer by now get one that says so. */
  MonotonicTime WorkEnd() const { return m_work_end; }
  /** The process must have exited. */
  MonotonicTime ExitEnd() const { return m_exit_end; }

 private:
  MonotonicTime m_lookups_end;
  MonotonicTime m_intake_end;
  MonotonicTime m_work_end;
  MonotonicTime m_exit_end;
};

/** Time to live of lookup answers; callers repeat the lookup after it. */
inline constexpr Duration kLookupTimeToLive = Milliseconds(1000);

}  // namespace kumquatcove

#endif  // DISPATCH_STOP_SCHEDULE_H_
