#ifndef RUNTIME_METRICS_H_
#define RUNTIME_METRICS_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "base/clock_reading.h"
#include "protocol/outcome.h"

namespace kumquatcove {

/**
 * Counters and latency histograms of one process.
 *
 * Labels come from callers, so the number of distinct services is bounded; all
 * further ones are counted as `other`. Thread safety: all functions may be
 * called from any thread.
 */
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /** Counts an answered request. */
  void CountRequest(std::string_view service,
                    Outcome outcome,
                    RefusalReason reason,
                    Duration latency);

  /** Adds to a counter without labels; `name` is a Prometheus metric name
   * without the prefix. */
  void Add(std::string_view name, std::uint64_t count = 1);

  /** Sets a gauge. */
  void Set(std::string_view name, std::int64_t value);

  /** Returns all metrics in the Prometheus text format. */
  std::string Format() const;

 private:
  class Implementation;
  std::unique_ptr<Implementation> m_implementation;
};

}  // namespace kumquatcove

#endif  // RUNTIME_METRICS_H_
