#ifndef DISPATCH_WORK_LEARNER_H_
#define DISPATCH_WORK_LEARNER_H_

#include "base/clock_reading.h"
#include "base/name.h"
#include "dispatch/object_recall.h"
#include "dispatch/placement.h"
#include "dispatch/service_times.h"

namespace kumquatcove {

/**
 * Learns from successes how long work takes with and without the object at
 * hand, and how long upstreams remember objects.
 *
 * Each is needed to tell the other: a time counts as one with the object at
 * hand only if the upstream handled it just before, and as one without only if
 * it is clearly longer. Thread safety: none.
 */
class WorkLearner {
 public:
  /** The references must outlive this object. */
  WorkLearner(ServiceTimes& times, ObjectRecall& recall)
      : m_times(times), m_recall(recall) {}

  /** Takes the time of a success at the usual speed of the machine. `slots` are
   * those of the upstream that `choice` names. */
  void OnSuccess(const PlacementRequest& request,
                 const PlacementChoice& choice,
                 int slots,
                 Duration time);

 private:
  ServiceTimes& m_times;
  ObjectRecall& m_recall;
};

}  // namespace kumquatcove

#endif  // DISPATCH_WORK_LEARNER_H_
