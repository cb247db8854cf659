#include "claims/store_breaker.h"

namespace kumquatcove {

void StoreBreaker::OnReply(StoreStatus status, MonotonicTime now) {
  if (status == StoreStatus::kOk) {
    m_failures = m_open ? kFailuresToOpen - 1 : 0;
    m_open = false;
    return;
  }
  ++m_failures;
  if (m_failures >= kFailuresToOpen && !m_open) {
    m_open = true;
    m_next_probe = now + kProbeInterval;
  }
}

bool StoreBreaker::TakeProbe(MonotonicTime now) {
  if (!m_open || now < m_next_probe) {
    return false;
  }
  m_next_probe = now + kProbeInterval;
  return true;
}

}  // namespace kumquatcove
