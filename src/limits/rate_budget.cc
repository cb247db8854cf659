#include "limits/rate_budget.h"

#include <algorithm>
#include <cassert>

namespace kumquatcove {
namespace {

constexpr std::int64_t kWholeAttempt = 1000;
// Extra attempts that a busy time may save up; more would let an outage that
// follows it start with a burst.
constexpr std::int64_t kMaxBalance = 10 * kWholeAttempt;

}  // namespace

void RateBudget::OnRequest(std::int32_t permille) {
  assert(permille >= 0);
  m_balance_permille = std::min(kMaxBalance, m_balance_permille + permille);
}

bool RateBudget::TryTake() {
  if (m_balance_permille < kWholeAttempt) {
    return false;
  }
  m_balance_permille -= kWholeAttempt;
  return true;
}

}  // namespace kumquatcove
