#ifndef NODE_LATENCY_WINDOW_H_
#define NODE_LATENCY_WINDOW_H_

#include <array>
#include <cstdint>

#include "base/clock_reading.h"

namespace kumquatcove {

/**
 * Estimates quantiles of recent durations in constant memory.
 *
 * Durations are counted in buckets whose bounds grow by 20%. All counts are
 * halved once they total kWindow, so that old durations lose weight.
 * Thread safety: none.
 */
class LatencyWindow {
 public:
  void Add(Duration duration);

  /** Returns an upper bound of the quantile `fraction` (0 to 1), at most 20%
   * too high; zero if no duration was added. */
  Duration Quantile(double fraction) const;

  /** Returns the number of durations counted, after halving. */
  std::uint32_t Count() const { return m_total; }

 private:
  static constexpr std::size_t kBuckets = 96;

  std::array<std::uint32_t, kBuckets> m_counts{};
  std::uint32_t m_total = 0;
};

}  // namespace kumquatcove

#endif  // NODE_LATENCY_WINDOW_H_
