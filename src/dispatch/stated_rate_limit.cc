#include "dispatch/stated_rate_limit.h"

#include <cassert>

namespace kumquatcove {

bool StatedRateLimit::OnAnswer(std::optional<double> rate,
                               MonotonicTime sent,
                               MonotonicTime received) {
  assert(sent <= received);
  const MonotonicTime known_at = rate ? received : sent;
  if (known_at < m_known_at) {
    return false;
  }
  m_known_at = known_at;
  const bool changed = rate != m_rate;
  m_rate = rate;
  return changed;
}

}  // namespace kumquatcove
