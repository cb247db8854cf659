#ifndef LIMITS_RATE_BUDGET_H_
#define LIMITS_RATE_BUDGET_H_

#include <cstdint>

namespace kumquatcove {

/**
 * Budget of extra attempts (retries or hedges) as a share of requests, so that
 * an outage can't multiply the load.
 *
 * Each request adds the share to the balance, each extra attempt takes one; the
 * balance is bounded so that a quiet time doesn't save up a burst. Thread
 * safety: none.
 */
class RateBudget {
 public:
  /** Adds the share of one request. `permille` is the share in thousandths, at
   * least 0. */
  void OnRequest(std::int32_t permille);

  /** Takes one extra attempt and returns true, or returns false if the balance
   * is below one. */
  bool TryTake();

 private:
  std::int64_t m_balance_permille = 0;
};

}  // namespace kumquatcove

#endif  // LIMITS_RATE_BUDGET_H_
