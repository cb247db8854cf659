#include "measure/latency_distribution.h"

#include <cassert>
#include <cmath>

namespace kumquatcove::measure {

void LatencyDistribution::Add(const LatencyDistribution& other) {
  for (const auto& [upper_ms, count] : other.m_bins) {
    m_bins[upper_ms] += count;
  }
  m_not_run += other.m_not_run;
}

std::uint64_t LatencyDistribution::Count() const {
  std::uint64_t count = m_not_run;
  for (const auto& [upper_ms, bin] : m_bins) {
    count += bin;
  }
  return count;
}

double LatencyDistribution::QuantileMs(double quantile,
                                       double not_run_ms) const {
  assert(quantile > 0 && quantile <= 1);
  const std::uint64_t count = Count();
  if (count == 0) {
    return 0;
  }
  const auto rank = static_cast<std::uint64_t>(
      std::ceil(quantile * static_cast<double>(count)));
  std::uint64_t seen = 0;
  for (const auto& [upper_ms, bin] : m_bins) {
    seen += bin;
    if (seen >= rank) {
      return upper_ms;
    }
  }
  return not_run_ms;
}

}  // namespace kumquatcove::measure
