#include "emulator/token_bucket.h"

#include <algorithm>
#include <chrono>

namespace kumquatcove::emulator {
namespace {

constexpr double kBurstSeconds = 0.25;

}  // namespace

TokenBucket::TokenBucket(double rate_per_second)
    : m_rate(rate_per_second),
      m_burst(std::max(1.0, rate_per_second * kBurstSeconds)),
      m_tokens(m_burst) {}

bool TokenBucket::Take(MonotonicTime now) {
  const double elapsed = std::chrono::duration<double>(now - m_last).count();
  m_last = now;
  m_tokens = std::min(m_burst, m_tokens + elapsed * m_rate);
  if (m_tokens < 1) {
    return false;
  }
  m_tokens -= 1;
  return true;
}

}  // namespace kumquatcove::emulator
