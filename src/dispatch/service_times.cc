#include "dispatch/service_times.h"

#include <algorithm>

namespace kumquatcove {
namespace {

// Weight of a new sample; the average follows the last twenty or so.
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
                       ObjectFamiliarity familiarity,
                       Duration time) {
  Averages& averages = m_services[service];
  const auto sample = static_cast<double>(time.count());
  if (sample <= 0) {
    return;
  }
  Update(familiarity == ObjectFamiliarity::kFamiliar ? averages.familiar_us
                                                     : averages.unknown_us,
         sample);
}

Duration ServiceTimes::Expect(const ServiceName& service,
                              ObjectFamiliarity familiarity) const {
  const auto found = m_services.find(service);
  const Averages averages =
      found == m_services.end() ? Averages{} : found->second;
  const auto initial = static_cast<double>(kInitialTime.count());
  const bool familiar = familiarity == ObjectFamiliarity::kFamiliar;
  const double same = familiar ? averages.familiar_us : averages.unknown_us;
  const double other = familiar ? averages.unknown_us : averages.familiar_us;
  const double share =
      familiar ? kInitialFamiliarShare : 1 / kInitialFamiliarShare;
  if (same > 0) {
    return Duration(static_cast<std::int64_t>(same));
  }
  if (other > 0) {
    return Duration(static_cast<std::int64_t>(other * share));
  }
  return Duration(static_cast<std::int64_t>(
      familiar ? initial * kInitialFamiliarShare : initial));
}

}  // namespace kumquatcove
