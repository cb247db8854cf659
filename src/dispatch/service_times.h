#ifndef DISPATCH_SERVICE_TIMES_H_
#define DISPATCH_SERVICE_TIMES_H_

#include <array>

#include <absl/container/flat_hash_map.h>

#include "base/clock_reading.h"
#include "base/enum_table.h"
#include "base/name.h"

namespace kumquatcove {

/** Predicts whether an upstream has the object of a request cached. */
enum class CachePrediction { kMiss, kHit };

constexpr auto EnumNames(CachePrediction) {
  return std::array{
      EnumName<CachePrediction>{CachePrediction::kMiss, "unknown"},
      EnumName<CachePrediction>{CachePrediction::kHit, "familiar"}};
}

/**
 * Estimates the service time of each service's requests at an upstream, learned
 * from answers.
 *
 * Times with a cache hit and with a miss are averaged separately, and
 * normalised to the usual speed of the upstream's machine. A few requests take
 * many times as long as the rest, so each sample is bounded before it enters
 * the average. Thread safety: none.
 */
class ServiceTimes {
 public:
  /** Time assumed for a service before its first answer. */
  static constexpr Duration kInitialTime = Milliseconds(250);
  /** Assumed ratio of the time with a cache hit to that with a miss, until
   * there are answers of both kinds. */
  static constexpr double kInitialHitTimeRatio = 0.5;

  /** Adds the time of one answer at usual speed. */
  void Add(const ServiceName& service,
           CachePrediction prediction,
           Duration time);

  /** Returns the expected time at usual speed. */
  Duration Expect(const ServiceName& service, CachePrediction prediction) const;

 private:
  struct Averages {
    double miss_us = 0;
    double hit_us = 0;
  };

  absl::flat_hash_map<ServiceName, Averages> m_services;
};

}  // namespace kumquatcove

#endif  // DISPATCH_SERVICE_TIMES_H_
