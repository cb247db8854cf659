#include "dispatch/send_permits.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace kumquatcove {

void SendPermits::Add(int count, MonotonicTime now) {
  std::erase_if(m_expiries,
                [now](MonotonicTime expiry) { return expiry <= now; });
  m_expiries.insert(m_expiries.end(), static_cast<std::size_t>(count),
                    now + kValidity);
  m_received += static_cast<std::uint64_t>(count);
}

int SendPermits::CountValid(MonotonicTime now) const {
  return static_cast<int>(
      m_expiries.end() -
      std::upper_bound(m_expiries.begin(), m_expiries.end(), now));
}

bool SendPermits::Take(MonotonicTime now) {
  std::erase_if(m_expiries,
                [now](MonotonicTime expiry) { return expiry <= now; });
  if (m_expiries.empty()) {
    return false;
  }
  m_expiries.pop_front();
  return true;
}

void SendPermits::SetForecast(Duration wait, int wanted, MonotonicTime now) {
  m_forecast_wait = wait;
  m_forecast_wanted = wanted;
  m_forecast_at = now;
}

Duration SendPermits::EstimateWait(int ahead,
                                   double rate,
                                   MonotonicTime now) const {
  assert(rate > 0);
  const int valid = CountValid(now);
  if (ahead < valid) {
    return Duration::zero();
  }
  const int unknown = ahead - valid - m_forecast_wanted;
  const auto further = Duration(std::llround(unknown / rate * 1'000'000));
  const Duration known = m_forecast_wait - (now - m_forecast_at);
  return std::max(Duration::zero(), known + further);
}

}  // namespace kumquatcove
