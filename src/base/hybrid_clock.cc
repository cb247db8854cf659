#include "base/hybrid_clock.h"

#include <algorithm>

namespace kumquatcove {
namespace {

// A peer whose wall clock is further ahead than this doesn't drag the local
// time stamps with it.
constexpr std::int64_t kMaxLeadMicroseconds = 60'000'000;

}  // namespace

HybridTimestamp HybridClock::Next(WallTime wall) {
  if (wall.microseconds > m_last.wall_microseconds) {
    m_last = {wall.microseconds, 0};
  } else {
    ++m_last.counter;
  }
  return m_last;
}

void HybridClock::Merge(HybridTimestamp remote, WallTime wall) {
  if (remote.wall_microseconds - wall.microseconds > kMaxLeadMicroseconds) {
    return;
  }
  m_last = std::max(m_last, remote);
}

}  // namespace kumquatcove
