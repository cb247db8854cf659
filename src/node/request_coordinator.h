#ifndef NODE_REQUEST_COORDINATOR_H_
#define NODE_REQUEST_COORDINATOR_H_

#include <cstdint>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "limits/rate_budget.h"
#include "node/attempt_runner.h"
#include "node/link_charge.h"
#include "node/node_modules.h"
#include "node/pending_request.h"
#include "node/relay_register.h"
#include "protocol/context.h"
#include "protocol/event.h"

namespace kumquatcove {

/**
 * Handles each request from arrival to answer: admission, claim, choice of
 * region, attempts, hedges, retries and outcome.
 *
 * Every request gets exactly one answer. The outcome did-not-run is returned
 * only if the request was not sent, or if every upstream that received it
 * reported that it didn't execute it. Thread safety: none; owned by one
 * reducer.
 */
class RequestCoordinator {
 public:
  RequestCoordinator(NodeModules& modules, RoutingSettings settings)
      : m_modules(modules), m_settings(settings), m_runner(modules) {}

  void OnRequestArrived(Context& context, const RequestArrived& event);
  void OnCallerGone(Context& context, RequestId request);
  void OnRelayRequest(Context& context,
                      const InstanceId& from,
                      const RelayRequest& message);
  void OnRelayAnswer(Context& context,
                     const InstanceId& from,
                     const RelayAnswer& message);
  void OnRelayCancel(Context& context,
                     const InstanceId& from,
                     const RelayCancel& message);
  void OnTick(Context& context);

  /** Processes the decisions of other modules since the last call. Returns
   * whether there were any. */
  bool ProcessDecisions(Context& context);

  /** Refuses new requests from now on; requests in progress continue. */
  void RefuseNewRequests() { m_refuse_new = true; }

  AttemptRunner& Runner() { return m_runner; }

  /** Returns the number of requests that aren't answered yet. */
  std::size_t PendingCount() const { return m_requests.size(); }

 private:
  struct Budgets {
    RateBudget retries;
    RateBudget hedges;
  };

  // Admission.
  RefusalReason CheckAdmission(Context& context,
                               const PendingRequest& request,
                               const ServiceEntry* service) const;
  void Admit(Context& context,
             PendingRequest request,
             const ServiceEntry* service);
  RefusalReason AdmitSpillover(Context& context, PendingRequest& request);
  void RefuseAtOnce(Context& context,
                    const PendingRequest& request,
                    RefusalReason reason);

  // Placement.
  void Place(Context& context, PendingRequest& request);
  void StartAttempt(Context& context, PendingRequest& request, bool hedge);
  bool TryShift(Context& context, PendingRequest& request);
  bool TrySpillover(Context& context, PendingRequest& request);
  bool StartRegionRelay(Context& context,
                        PendingRequest& request,
                        const RegionName& region,
                        const InstanceId& instance,
                        RelayPurpose purpose);
  void RelayToClaimOwner(Context& context,
                         PendingRequest& request,
                         const ClaimVerdict& verdict);
  void SendRelay(Context& context,
                 PendingRequest& request,
                 OutgoingRelay relay);

  // Results.
  void OnVerdict(Context& context, const ClaimVerdict& verdict);
  void OnAttemptEnd(Context& context, const AttemptEnd& end);
  void OnAnswered(Context& context,
                  PendingRequest& request,
                  const AttemptEnd& end);
  void OnNotSent(Context& context,
                 PendingRequest& request,
                 const AttemptEnd& end);
  void OnShed(Context& context, PendingRequest& request, const AttemptEnd& end);
  void OnAttemptFailed(Context& context,
                       PendingRequest& request,
                       const AttemptEnd& end);
  void OnTimedOut(Context& context, PendingRequest& request);
  void RetryOrRefuse(Context& context,
                     PendingRequest& request,
                     RefusalReason reason);
  void HandleRelayRefusal(Context& context,
                          PendingRequest& request,
                          const OutgoingRelay& relay,
                          RefusalReason reason);
  Outcome OutcomeOfRefusal(const PendingRequest& request) const;
  bool HasBeenSent(const PendingRequest& request) const;

  // Timeouts and hedges.
  void HedgeIfDue(Context& context, PendingRequest& request);
  void ExpireIfDue(Context& context, RequestId id);
  void CheckRelayTarget(Context& context, PendingRequest& request);

  // Completion.
  void Refuse(Context& context, PendingRequest& request, RefusalReason reason);
  void Finish(Context& context, RequestId id, const CallerAnswer& answer);
  void Deliver(Context& context,
               const PendingRequest& request,
               const CallerAnswer& answer) const;
  void StopWork(Context& context, PendingRequest& request);

  PendingRequest* Find(RequestId id);

  NodeModules& m_modules;
  RoutingSettings m_settings;
  AttemptRunner m_runner;
  absl::flat_hash_map<RequestId, PendingRequest> m_requests;
  RelayRegister m_relays;
  absl::flat_hash_map<ServiceName, Budgets> m_budgets;
  LinkCharge m_link_charge;
  bool m_refuse_new = false;
};

}  // namespace kumquatcove

#endif  // NODE_REQUEST_COORDINATOR_H_
