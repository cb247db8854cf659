#include "node/latency_window.h"

#include <algorithm>
#include <cmath>

namespace kumquatcove {
namespace {

constexpr std::uint32_t kWindow = 2048;
constexpr double kFirstBucketMicroseconds = 50.0;
constexpr double kGrowth = 1.2;

}  // namespace

void LatencyWindow::Add(Duration duration) {
  const double ratio =
      static_cast<double>(duration.count()) / kFirstBucketMicroseconds;
  const double position =
      ratio <= 1.0 ? 0.0 : std::ceil(std::log(ratio) / std::log(kGrowth));
  const auto bucket =
      std::min(static_cast<std::size_t>(position), kBuckets - 1);
  ++m_counts[bucket];
  ++m_total;
  if (m_total < kWindow) {
    return;
  }
  m_total = 0;
  for (std::uint32_t& count : m_counts) {
    count /= 2;
    m_total += count;
  }
}

Duration LatencyWindow::Quantile(double fraction) const {
  const double rank = fraction * m_total;
  double cumulative = 0.0;
  for (std::size_t bucket = 0; bucket < kBuckets; ++bucket) {
    cumulative += m_counts[bucket];
    if (m_counts[bucket] > 0 && cumulative >= rank) {
      return Duration(
          std::llround(kFirstBucketMicroseconds *
                       std::pow(kGrowth, static_cast<double>(bucket))));
    }
  }
  return Duration(0);
}

}  // namespace kumquatcove
