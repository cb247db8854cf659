#include "dispatch/service_times.h"

#include <algorithm>

namespace kumquatcove {
namespace {

// Weight of a new sample; the average covers about the last twenty.
constexpr double kSampleWeight = 0.05;
// A straggler counts as this many times the average at most.
constexpr double kMaxSampleRatio = 2.0;

void Update(double& average, double sample) {
  if (average == 0) {
    average = sample;
    return;
  }
  const double bounded = std::min(sample, average * kMaxSampleRatio);
  average += (bounded - average) * kSampleWeight;
}

}  // namespace

void ServiceTimes::Add(const ServiceName& service,
                       CachePrediction prediction,
                       Duration time) {
  Averages& averages = m_services[service];
  const auto sample = static_cast<double>(time.count());
  if (sample <= 0) {
    return;
  }
  Update(
      prediction == CachePrediction::kHit ? averages.hit_us : averages.miss_us,
      sample);
}

Duration ServiceTimes::Expect(const ServiceName& service,
                              CachePrediction prediction) const {
  const auto found = m_services.find(service);
  const Averages averages =
      found == m_services.end() ? Averages{} : found->second;
  const auto initial = static_cast<double>(kInitialTime.count());
  const bool hit = prediction == CachePrediction::kHit;
  const double same = hit ? averages.hit_us : averages.miss_us;
  const double other = hit ? averages.miss_us : averages.hit_us;
  const double share = hit ? kInitialHitTimeRatio : 1 / kInitialHitTimeRatio;
  if (same > 0) {
    return Duration(static_cast<std::int64_t>(same));
  }
  if (other > 0) {
    return Duration(static_cast<std::int64_t>(other * share));
  }
  return Duration(static_cast<std::int64_t>(hit ? initial * kInitialHitTimeRatio
                                                : initial));
}

}  // namespace kumquatcove
