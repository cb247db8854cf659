#include "dispatch/send_permits.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace kumquatcove {
namespace {

// Requests that would wait longer are refused, so that a longer queue shrinks
// faster than by the permits.
constexpr Duration kMaxForecast = Milliseconds(500);
// Time for which a forecast of another instance makes a report of an own one
// needless.
constexpr Duration kForecastInterval = Milliseconds(300);
// Shorter waits make no request go elsewhere.
constexpr Duration kMinSharedWait = Milliseconds(100);

}  // namespace

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
  m_own_forecast_at = now;
}

void SendPermits::OnPeerForecast(const PermitForecast& forecast,
                                 int wanted,
                                 MonotonicTime now) {
  if (forecast.wait < Duration::zero() || forecast.age < Duration::zero() ||
      now - forecast.age <= m_forecast_at) {
    return;
  }
  m_forecast_wait = forecast.wait;
  m_forecast_wanted = wanted;
  m_forecast_at = now - forecast.age;
  m_peer_forecast_at = now;
}

std::optional<PermitForecast> SendPermits::FindForecastToShare(
    std::uint64_t upstream_hash,
    MonotonicTime since,
    MonotonicTime now) const {
  const bool is_known = now - m_peer_forecast_at < kForecastInterval;
  if (m_own_forecast_at < since || is_known ||
      FindKnownWait(now) <= kMinSharedWait) {
    return std::nullopt;
  }
  return PermitForecast{upstream_hash, m_forecast_wait, now - m_forecast_at};
}

Duration SendPermits::FindKnownWait(MonotonicTime now) const {
  return std::max(Duration::zero(), std::min(m_forecast_wait, kMaxForecast) -
                                        (now - m_forecast_at));
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
  return std::max(Duration::zero(), FindKnownWait(now) + further);
}

}  // namespace kumquatcove
