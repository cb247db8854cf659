#ifndef DISPATCH_REQUEST_DISPATCHER_H_
#define DISPATCH_REQUEST_DISPATCHER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dispatch/answer_learner.h"
#include "dispatch/crash_monitor.h"
#include "dispatch/dispatch_request.h"
#include "dispatch/hit_probability_estimator.h"
#include "dispatch/pending_requests.h"
#include "dispatch/placement.h"
#include "dispatch/region_overflow.h"
#include "dispatch/resend_budget.h"
#include "dispatch/service_splitter.h"
#include "dispatch/service_times.h"
#include "dispatch/shared_load.h"
#include "dispatch/stop_schedule.h"
#include "dispatch/upstream_connections.h"
#include "dispatch/upstream_rate_limiter.h"
#include "dispatch/upstream_table.h"
#include "dispatch/waiting_queue.h"
#include "dispatch/zone_distances.h"
#include "protocol/context.h"
#include "protocol/event.h"
#include "protocol/peer_message.h"

namespace kumquatcove {

/** Numbers of entry instances, by which limits are divided. */
struct InstanceCounts {
  int in_region = 1;
  int in_total = 1;
  /** Rank of this instance among those of its region, from 0. */
  int rank_in_region = 0;
  /** The other instances were read from the registry; until then the counts may
   * be too low. */
  bool are_known = false;
};

/**
 * Handles each request on a deployment whose upstreams are registered: route,
 * queue, upstream, connection, resend and answer.
 *
 * Every request passed in gets exactly one answer. A non-idempotent request is
 * sent once more only if no byte of it was written, or if the upstream itself
 * reported that it didn't execute it. The process that accepted it from its
 * caller decides this alone, without stored state. The outcome did-not-run is
 * returned only in these cases, too. Thread safety: none; owned by one reducer.
 */
class RequestDispatcher {
 public:
  RequestDispatcher(const Identity& self, const DispatchSettings& settings);

  void SetSettings(const DispatchSettings& settings);
  void SetRoutes(std::shared_ptr<const RouteTable> routes) {
    m_routes = std::move(routes);
  }
  void SetInstanceCounts(InstanceCounts counts) { m_counts = counts; }
  /** Refuses requests until there is a configuration. */
  void SetReady(bool ready) { m_ready = ready; }

  /** From now on refuses what can't be finished before the end of work; called
   * once. */
  void BeginStop(Context& context, const StopSchedule& schedule);

  void OnUpstreamRegistered(Context& context,
                            const UpstreamRegistration& registration);
  void OnUpstreamGone(Context& context, const UpstreamId& id);
  void OnEvacuationChanged(const ZoneName& zone, bool evacuated);
  /** Handles a report of another instance on a content hash. */
  void OnSuspicion(Context& context, const Suspicion& suspicion) {
    m_crashes.OnSuspicion(context, suspicion);
  }

  /** Handles a load digest of another instance. */
  void OnLoadDigest(Context& context,
                    const InstanceId& sender,
                    const LoadDigest& digest);
  /** Returns whether a load digest to `receivers` other instances is due. */
  bool IsDigestDue(std::size_t receivers, MonotonicTime now) const {
    return m_shared_load.IsDue(receivers, now);
  }
  /** Returns the digest to be sent now. */
  LoadDigest MakeDigest(MonotonicTime now);

  /** Records that a message of another instance has arrived. */
  void OnPeerContact(const InstanceId& sender) {
    m_rate_limiter.OnPeerContact(sender);
  }
  void OnPermitRequest(Context& context,
                       const InstanceId& sender,
                       const PermitRequest& request) {
    m_rate_limiter.OnPermitRequest(context, sender, request);
  }
  void OnPermitGrant(Context& context,
                     const InstanceId& sender,
                     const PermitGrant& grant) {
    m_rate_limiter.OnPermitGrant(context, sender, grant);
  }
  /** Requests and issues permits of upstreams that state a rate limit, and
   * sends the requests for which permits have arrived; to be called after each
   * event. */
  void ExchangePermits(Context& context, const EntryPresence& presence);

  void OnRequestArrived(Context& context, const RequestArrived& event);
  void OnCallerGone(Context& context, RequestId request);
  void OnConnectionOpened(Context& context, ConnectionId connection);
  void OnConnectionLost(Context& context, const ConnectionLost& event);
  void OnUpstreamAnswered(Context& context, const UpstreamAnswered& event);
  void OnTick(Context& context);

  /** Returns the changes of suspicions since the last call, to be sent to the
   * other instances. */
  std::vector<Suspicion> TakeSuspicions() { return m_crashes.TakeChanges(); }

  std::size_t PendingCount() const { return m_requests.Count(); }
  /** Returns how many of them an upstream may be executing. */
  std::size_t SentCount() const { return m_requests.CountSent(); }

 private:
  // Admission.
  const Route* FindRoute(const HttpRequest& http) const;
  RefusalReason CheckAdmission(const DispatchRequest& request,
                               MonotonicTime now) const;

  // Placement.
  void Enqueue(Context& context, DispatchRequest& request);
  void AddToQueue(const DispatchRequest& request);
  /** Places requests that wait for an upstream that has room now, and some of
   * the others. */
  void PlaceWaiting(Context& context, const ServiceName& service);
  bool MayHaveRoom(const DispatchRequest& request, MonotonicTime now) const;
  /** Returns whether the request keeps waiting for a permit of the upstream
   * that was chosen for it a moment ago. */
  bool KeepsWaitingForPermit(const DispatchRequest& request,
                             MonotonicTime now) const;
  /** Returns whether a request that has missed its latency objective is to be
   * checked, since rate limits may leave no room for it. */
  bool IsLateCheckDue(const DispatchRequest& request, MonotonicTime now) const;
  /** Starts a send, or records the upstream for which the request waits, or
   * refuses the request if it would miss its deadline. */
  bool TryStart(Context& context, DispatchRequest& request);
  /** Returns whether waiting for the chosen upstream isn't worthwhile. */
  bool IsTooLate(const DispatchRequest& request,
                 const PlacementChoice& choice,
                 MonotonicTime now) const;
  /** Returns whether too little time is left before this instance stops to
   * begin the choice. */
  bool IsBeyondStop(const PlacementChoice& choice, MonotonicTime now) const;
  void RefuseForLackOfRoom(Context& context,
                           DispatchRequest& request,
                           const PlacementChoice& choice);
  /** Chooses an upstream and clears the awaited one of the request. Returns
   * `std::nullopt` if no upstream is permitted. */
  std::optional<PlacementChoice> Choose(Context& context,
                                        DispatchRequest& request);
  void SetAwaited(DispatchRequest& request, std::optional<UpstreamId> awaited);
  void Start(Context& context,
             DispatchRequest& request,
             PlacementChoice choice);
  void Send(Context& context, DispatchRequest& request);
  double FindColdRate(const ServiceName& service) const;

  // Results.
  /** Returns this instance's share of the connections that an upstream of the
   * service accepts and that may be idle; infinite if it isn't known. */
  double FindMaxIdle(const ServiceName& service) const;
  void EndSend(Context& context, DispatchRequest& request, SendResult result);
  void OnOpenFailed(Context& context, DispatchRequest& request);
  void OnBroken(Context& context, DispatchRequest& request);
  void OnRejected(Context& context,
                  DispatchRequest& request,
                  const UpstreamAnswered& event);
  /** Queues the request again if the limits allow another send. */
  bool TryResend(Context& context, DispatchRequest& request);
  bool MayResend(const DispatchRequest& request, MonotonicTime now) const;

  // Crashes.
  void OnCrashed(Context& context, const CrashCheck& check);
  /** Resends the idempotent requests in flight at a crashed upstream to others,
   * as far as the limits allow. */
  void ResendFrom(Context& context, const UpstreamId& upstream);

  // Time.
  void ExpireIfDue(Context& context, DispatchRequest& request);

  // End.
  void Refuse(Context& context,
              DispatchRequest& request,
              RefusalReason reason,
              Duration retry_after);
  void Deliver(Context& context, DispatchRequest& request, HttpAnswer answer);
  void Finish(Context& context,
              DispatchRequest& request,
              CallerAnswer answer,
              std::optional<Duration> retry_after);

  RegionName m_region;
  std::shared_ptr<const RouteTable> m_routes;
  InstanceCounts m_counts;
  bool m_ready = false;
  /** Set from the begin of a planned stop on. */
  std::optional<StopSchedule> m_stop;
  UpstreamTable m_upstreams;
  ServiceTimes m_times;
  HitProbabilityEstimator m_hit_probabilities;
  ZoneDistances m_distances;
  Placement m_placement;
  UpstreamConnections m_connections;
  RegionOverflow m_overflow;
  SharedLoad m_shared_load;
  AnswerLearner m_answers;
  UpstreamRateLimiter m_rate_limiter;
  ResendBudget m_resends;
  ServiceSplitter m_splitter;
  CrashMonitor m_crashes;
  PendingRequests m_requests;
  std::map<ServiceName, WaitingQueue> m_queues;
};

}  // namespace kumquatcove

#endif  // DISPATCH_REQUEST_DISPATCHER_H_
