#ifndef DISPATCH_SERVICE_TIME_LEARNER_H_
#define DISPATCH_SERVICE_TIME_LEARNER_H_

#include "base/clock_reading.h"
#include "base/name.h"
#include "dispatch/hit_probability_estimator.h"
#include "dispatch/placement.h"
#include "dispatch/service_times.h"

namespace kumquatcove {

/**
 * Learns from successes the service times with and without a cache hit, and the
 * probabilities that upstreams still have objects cached.
 *
 * The two depend on each other: a time counts as a hit only if the upstream
 * handled the object just before, and as a miss only if it is clearly longer.
 * Thread safety: none.
 */
class ServiceTimeLearner {
 public:
  /** The references must outlive this object. */
  ServiceTimeLearner(ServiceTimes& times,
                     HitProbabilityEstimator& hit_probabilities)
      : m_times(times), m_hit_probabilities(hit_probabilities) {}

  /** Records the time of a success, normalised to the usual speed of the
   * machine. `slots` are those of the upstream in `choice`. */
  void RecordSuccess(const PlacementRequest& request,
                     const PlacementChoice& choice,
                     int slots,
                     Duration time);

 private:
  ServiceTimes& m_times;
  HitProbabilityEstimator& m_hit_probabilities;
};

}  // namespace kumquatcove

#endif  // DISPATCH_SERVICE_TIME_LEARNER_H_
