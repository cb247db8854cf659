#ifndef MEASURE_LATENCY_DISTRIBUTION_H_
#define MEASURE_LATENCY_DISTRIBUTION_H_

#include <cstdint>
#include <map>

namespace kumquatcove::measure {

/**
 * Latencies of requests, including those that did not run.
 *
 * Requests that did not run count as slower than all others, since leaving them
 * out would favour whoever fails the slow ones. Thread safety: none.
 */
class LatencyDistribution {
 public:
  /** Adds `count` requests that took up to `upper_ms`. */
  void Add(double upper_ms, std::uint64_t count) { m_bins[upper_ms] += count; }
  void AddNotRun(std::uint64_t count) { m_not_run += count; }
  void Add(const LatencyDistribution& other);

  /** Returns the latency below which the share `quantile` lies; `not_run_ms` if
   * that is a request that did not run, 0 without requests. Precondition: 0 <
   * quantile <= 1. */
  double QuantileMs(double quantile, double not_run_ms) const;
  std::uint64_t Count() const;

 private:
  /** Counts by upper end in milliseconds. */
  std::map<double, std::uint64_t> m_bins;
  std::uint64_t m_not_run = 0;
};

}  // namespace kumquatcove::measure

#endif  // MEASURE_LATENCY_DISTRIBUTION_H_
