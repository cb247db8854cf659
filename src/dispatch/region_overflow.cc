#include "dispatch/region_overflow.h"

#include <algorithm>

namespace kumquatcove {
namespace {

// Share of the platform's bound by which the limit changes in one window.
// Random variation alone changes the share of some hundred requests by a few
// hundredths.
constexpr double kUsablePart = 0.55;
// Share that is allowed immediately, as a fraction of the bound.
constexpr double kInitialPart = 0.25;
constexpr Duration kAdjustInterval = Milliseconds(100);
// The limit rises for this long after a request was denied an overflow. An
// instance gets some ten requests a second, not all of which would overflow, so
// that a shorter time would end the rise between two of them.
constexpr Duration kWantedTime = Seconds(1);

}  // namespace

RegionOverflow::RegionOverflow(double max_shift)
    : m_max_shift(max_shift),
      m_limit(max_shift * kInitialPart),
      m_placed(kWindow),
      m_overflowed(kWindow) {}

bool RegionOverflow::IsAllowed(MonotonicTime now) const {
  return m_overflowed.Sum(now) + 1 <= m_limit * (m_placed.Sum(now) + 1);
}

void RegionOverflow::OnPlaced(bool overflow, MonotonicTime now) {
  m_placed.Add(now);
  if (overflow) {
    m_overflowed.Add(now);
  }
}

void RegionOverflow::OnTick(MonotonicTime now) {
  const Duration passed = now - m_adjusted;
  if (passed < kAdjustInterval) {
    return;
  }
  const double step = m_max_shift * kUsablePart *
                      std::min(1.0, static_cast<double>(passed.count()) /
                                        static_cast<double>(kWindow.count()));
  m_adjusted = now;
  const bool wanted = m_denied && now - *m_denied < kWantedTime;
  const double initial = m_max_shift * kInitialPart;
  m_limit = std::clamp(m_limit + (wanted ? step : -step), initial, 1.0);
}

}  // namespace kumquatcove
