#ifndef DISPATCH_ANSWER_LEARNER_H_
#define DISPATCH_ANSWER_LEARNER_H_

#include "base/clock_reading.h"
#include "dispatch/dispatch_request.h"
#include "dispatch/service_time_learner.h"
#include "dispatch/service_times.h"
#include "dispatch/shared_load.h"
#include "dispatch/upstream_table.h"
#include "dispatch/zone_distances.h"
#include "protocol/event.h"

namespace kumquatcove {

/**
 * Learns from successful answers how fast upstreams are and which objects they
 * have handled.
 *
 * Thread safety: none.
 */
class AnswerLearner {
 public:
  /** The references must outlive this object. */
  AnswerLearner(UpstreamTable& upstreams,
                ServiceTimes& times,
                HitProbabilityEstimator& hit_probabilities,
                const ZoneDistances& distances,
                SharedLoad& shared_load)
      : m_upstreams(upstreams),
        m_times(times),
        m_learner(times, hit_probabilities),
        m_distances(distances),
        m_shared_load(shared_load) {}

  /** Records a success of `send`. */
  void OnSuccess(const DispatchRequest& request,
                 const ActiveSend& send,
                 const UpstreamAnswered& event,
                 MonotonicTime now);

 private:
  UpstreamTable& m_upstreams;
  const ServiceTimes& m_times;
  ServiceTimeLearner m_learner;
  const ZoneDistances& m_distances;
  SharedLoad& m_shared_load;
};

}  // namespace kumquatcove

#endif  // DISPATCH_ANSWER_LEARNER_H_
