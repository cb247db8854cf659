#include "dispatch/stated_rate_limit.h"

#include <cassert>
#include <cmath>

namespace kumquatcove {
namespace {

// Longest time that a message of another instance is assumed to take. The end
// of a limit takes effect later by this time, so that it doesn't end a limit
// that was stated after it.
constexpr Duration kMaxMessageDelay = Milliseconds(100);

}  // namespace

bool StatedRateLimit::Apply(std::optional<double> rate,
                            MonotonicTime known_at) {
  if (known_at < m_known_at) {
    return false;
  }
  m_known_at = known_at;
  const bool changed = rate != m_rate;
  m_rate = rate;
  return changed;
}

bool StatedRateLimit::OnAnswer(std::optional<double> rate,
                               MonotonicTime sent,
                               MonotonicTime received) {
  assert(sent <= received);
  return Apply(rate, rate ? received : sent);
}

bool StatedRateLimit::OnPeerReport(const StatedLimit& report,
                                   MonotonicTime now) {
  if (report.age < Duration::zero()) {
    return false;
  }
  const MonotonicTime known_at = now - report.age;
  if (std::isfinite(report.rate) && report.rate >= 0) {
    return Apply(report.rate, known_at);
  }
  return Apply(std::nullopt, known_at - kMaxMessageDelay);
}

StatedLimit StatedRateLimit::Report(MonotonicTime now) const {
  return {m_rate.value_or(-1), now - m_known_at};
}

}  // namespace kumquatcove
