#ifndef CLAIMS_STORE_BREAKER_H_
#define CLAIMS_STORE_BREAKER_H_

#include "base/clock_reading.h"
#include "protocol/store_operation.h"

namespace kumquatcove {

/**
 * Circuit breaker for store calls. While it is open, the store is considered
 * unavailable, and requests fail immediately instead of waiting for a timeout.
 *
 * Thread safety: none.
 */
class StoreBreaker {
 public:
  bool IsOpen() const { return m_open; }

  /** Processes the status of a reply. One successful reply closes the breaker.
   * After that, a single failure opens it again, unless a second successful
   * reply came first. */
  void OnReply(StoreStatus status, MonotonicTime now);

  /** Returns whether to send a probe now: at most once in kProbeInterval while
   * the breaker is open.
   */
  bool TakeProbe(MonotonicTime now);

  static constexpr Duration kProbeInterval = Seconds(1);
  /** Number of consecutive failures that open the breaker. A single failure may
   * be just a lost reply.
   */
  static constexpr int kFailuresToOpen = 2;

 private:
  bool m_open = false;
  int m_failures = 0;
  MonotonicTime m_next_probe;
};

}  // namespace kumquatcove

#endif  // CLAIMS_STORE_BREAKER_H_
