#include "node/request_coordinator.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "limits/shift_schedule.h"
#include "node/service_resolver.h"

namespace kumquatcove {
namespace {

// Limits the memory used by requests in progress; above it new requests are
// refused.
constexpr std::size_t kMaxPendingRequests = 10'000;

// Attempts that ended before the request was sent put no load on an upstream,
// so this many are repeated outside the retry budget.
constexpr int kUnbudgetedRetries = 2;

// A hedge is sent once an attempt has taken longer than this quantile of the
// service times, but never earlier than kMinHedgeDelay.
constexpr Duration kMinHedgeDelay = Milliseconds(4);
constexpr double kHedgeQuantile = 0.95;

// Requests that arrive with less time left are refused.
constexpr Duration kMinRemainingTime = Milliseconds(1);

CallerAnswer MakeRefusal(Outcome outcome, RefusalReason reason) {
  CallerAnswer answer;
  answer.outcome = outcome;
  answer.reason = reason;
  return answer;
}

bool IsRelayFor(const RequestOrigin& origin, bool claim_owner) {
  const auto* relay = std::get_if<RelayOrigin>(&origin);
  return relay != nullptr &&
         (relay->purpose == RelayPurpose::kClaimOwner) == claim_owner;
}

bool IsFromCaller(const RequestOrigin& origin) {
  return std::holds_alternative<CallerOrigin>(origin);
}

// Returns whether the request was refused for lack of capacity in this region,
// so that another region may be able to run it.
bool IsLackOfCapacity(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kQueueFull:
    case RefusalReason::kNoUpstream:
    case RefusalReason::kDeadlineTooShort:
    case RefusalReason::kOverloaded:
      return true;
    default:
      return false;
  }
}

}  // namespace

void RequestCoordinator::OnRequestArrived(Context& context,
                                          const RequestArrived& event) {
  const ServiceEntry* service = ResolveService(context.Catalogue(), event.http);
  PendingRequest request;
  request.id = event.request;
  request.origin = CallerOrigin{};
  request.http = std::make_shared<const HttpRequest>(event.http);
  request.arrived = context.Now();
  request.deadline =
      context.Now() + (service == nullptr
                           ? Duration(0)
                           : RequestTimeout(event.http, service->limits));
  Admit(context, std::move(request), service);
}

void RequestCoordinator::OnRelayRequest(Context& context,
                                        const InstanceId& from,
                                        const RelayRequest& message) {
  if (!m_relays.RecordReceived(message.relay)) {
    return;
  }
  PendingRequest request;
  request.id = RequestId{context.NextUniqueNumber()};
  request.origin = RelayOrigin{from, message.relay, message.purpose};
  request.http = std::make_shared<const HttpRequest>(message.http);
  request.arrived = context.Now();
  request.deadline = context.Now() + message.patience;
  Admit(context, std::move(request),
        context.Catalogue().FindService(message.service));
}

void RequestCoordinator::OnCallerGone(Context& context, RequestId id) {
  PendingRequest* request = Find(id);
  if (request == nullptr) {
    return;
  }
  request->origin = NoOrigin{};
  if (request->awaits_claim) {
    // The claim may still be granted; OnVerdict then ends the request.
    return;
  }
  const bool must_continue =
      request->request_class == RequestClass::kNonIdempotent &&
      HasBeenSent(*request);
  if (!must_continue) {
    Refuse(context, *request, RefusalReason::kDeadlineExpired);
  }
}

void RequestCoordinator::OnRelayCancel(Context& context,
                                       const InstanceId& from,
                                       const RelayCancel& message) {
  const std::optional<RequestId> id = m_relays.FindIncoming(message.relay);
  const PendingRequest* request = id ? Find(*id) : nullptr;
  const auto* origin =
      request == nullptr ? nullptr : std::get_if<RelayOrigin>(&request->origin);
  if (origin != nullptr && origin->instance == from) {
    m_relays.EraseIncoming(message.relay);
    OnCallerGone(context, request->id);
  }
}

RefusalReason RequestCoordinator::CheckAdmission(
    Context& context,
    const PendingRequest& request,
    const ServiceEntry* service) const {
  if (!m_modules.configuration.IsReady()) {
    return RefusalReason::kNotReady;
  }
  if (m_modules.configuration.IsIsolated()) {
    return RefusalReason::kIsolated;
  }
  if (service == nullptr) {
    return RefusalReason::kUnknownService;
  }
  const bool leaving = m_modules.members.Phase() == InstancePhase::kLeaving;
  if (m_refuse_new || (leaving && IsRelayFor(request.origin, false))) {
    return RefusalReason::kLeaving;
  }
  if (m_requests.size() >= kMaxPendingRequests) {
    return RefusalReason::kOverloaded;
  }
  if (service->request_class == RequestClass::kNonIdempotent &&
      request.http->idempotency_key.empty()) {
    return RefusalReason::kMissingKey;
  }
  if (request.deadline - context.Now() < kMinRemainingTime) {
    return RefusalReason::kDeadlineTooShort;
  }
  if (m_modules.suspicions.LevelOf(
          context, ContentHash(service->service, *request.http)) ==
      SuspicionLevel::kQuarantined) {
    return RefusalReason::kQuarantined;
  }
  return RefusalReason::kNone;
}

void RequestCoordinator::Admit(Context& context,
                               PendingRequest request,
                               const ServiceEntry* service) {
  RefusalReason reason = CheckAdmission(context, request, service);
  if (reason != RefusalReason::kNone) {
    RefuseAtOnce(context, request, reason);
    return;
  }
  request.service = service->service;
  request.request_class = service->request_class;
  request.priority = service->limits.priority;
  request.content_hash = ContentHash(service->service, *request.http);
  request.length =
      m_modules.classifier.Classify(service->service, request.http->target);
  request.isolate =
      m_modules.suspicions.LevelOf(context, request.content_hash) ==
      SuspicionLevel::kSuspect;
  if (IsRelayFor(request.origin, false)) {
    reason = AdmitSpillover(context, request);
    if (reason != RefusalReason::kNone) {
      RefuseAtOnce(context, request, reason);
      return;
    }
  }

  Budgets& budgets = m_budgets[request.service];
  budgets.retries.OnRequest(service->limits.retry_permille);
  budgets.hedges.OnRequest(service->limits.hedge_permille);
  const bool needs_claim =
      request.request_class == RequestClass::kNonIdempotent &&
      !IsRelayFor(request.origin, false);
  if (needs_claim) {
    request.claim = ClaimKey{request.service, request.http->idempotency_key};
  }
  const RequestId id = request.id;
  if (const auto* origin = std::get_if<RelayOrigin>(&request.origin)) {
    m_relays.BindIncoming(origin->relay, id);
  }
  const auto [position, inserted] = m_requests.emplace(id, std::move(request));
  assert(inserted);
  (void)inserted;
  PendingRequest& admitted = position->second;
  if (needs_claim) {
    admitted.awaits_claim = true;
    m_modules.claims.Begin(context, id, *admitted.claim, admitted.content_hash,
                           admitted.deadline, IsMarkedAsResend(*admitted.http));
  } else {
    Place(context, admitted);
  }
}

RefusalReason RequestCoordinator::AdmitSpillover(Context& context,
                                                 PendingRequest& request) {
  if (m_modules.members.IsRecoveringFromPause()) {
    return RefusalReason::kHeadroom;
  }
  const LimitKey limit{LimitKind::kSpilloverSlots, request.service,
                       RegionName(), context.Self().region};
  if (!m_modules.budgets.TryTakeSlot(context, limit)) {
    return RefusalReason::kHeadroom;
  }
  request.holds_spillover_slot = true;
  return RefusalReason::kNone;
}

void RequestCoordinator::RefuseAtOnce(Context& context,
                                      const PendingRequest& request,
                                      RefusalReason reason) {
  Deliver(context, request, MakeRefusal(OutcomeOfRefusal(request), reason));
}

Outcome RequestCoordinator::OutcomeOfRefusal(
    const PendingRequest& request) const {
  // An earlier send of the same request may have run, unless this request was
  // granted the claim.
  const bool earlier_send_may_have_run =
      !request.claim_granted && IsMarkedAsResend(*request.http);
  return earlier_send_may_have_run || HasBeenSent(request)
             ? Outcome::kUnknown
             : Outcome::kDidNotRun;
}

void RequestCoordinator::Place(Context& context, PendingRequest& request) {
  if (IsFromCaller(request.origin) && !request.shift_tried) {
    request.shift_tried = true;
    if (TryShift(context, request)) {
      return;
    }
  }
  StartAttempt(context, request, /*hedge=*/false);
}

void RequestCoordinator::StartAttempt(Context& context,
                                      PendingRequest& request,
                                      bool hedge) {
  AttemptSpec spec;
  spec.request = request.id;
  spec.service = request.service;
  spec.http = request.http;
  spec.deadline = request.deadline;
  spec.length = request.length;
  spec.priority = request.priority;
  spec.spillover = IsRelayFor(request.origin, false);
  spec.hedge = hedge;
  spec.isolate = request.isolate;
  // If an upstream closes an idle connection while a request is in flight, the
  // outcome is unknown. A fresh connection costs 1 ms and avoids this for
  // requests that can't be repeated.
  spec.fresh_connection = request.request_class == RequestClass::kNonIdempotent;
  spec.exclude = request.tried_upstreams;
  if (request.claim_granted) {
    spec.claim = request.claim;
  }
  request.attempts.push_back(m_runner.Start(context, std::move(spec)));
}

bool RequestCoordinator::TryShift(Context& context, PendingRequest& request) {
  const CatalogueEntry* entry =
      context.Catalogue().FindEntry(request.service.Text());
  if (entry == nullptr) {
    return false;
  }
  const std::optional<RegionName> region = ShiftTarget(
      *entry, context.Self().region, request.content_hash, context.Wall());
  if (!region) {
    return false;
  }
  const std::optional<RegionChoice> choice = RegionSelector::Resolve(
      context, m_modules.members, m_modules.health, request.service, *region);
  const LimitKey cap{LimitKind::kShift, request.service, RegionName(), *region};
  if (!choice || !m_modules.budgets.TryTakeRate(context, cap, 1.0)) {
    return false;
  }
  return StartRegionRelay(context, request, choice->region, choice->instance,
                          RelayPurpose::kShift);
}

bool RequestCoordinator::TrySpillover(Context& context,
                                      PendingRequest& request) {
  if (!IsFromCaller(request.origin) ||
      m_modules.members.IsRecoveringFromPause()) {
    return false;
  }
  const std::optional<RegionChoice> choice =
      m_modules.regions.Choose(context, m_modules.members, m_modules.health,
                               request.service, request.tried_regions);
  return choice && StartRegionRelay(context, request, choice->region,
                                    choice->instance, RelayPurpose::kSpillover);
}

bool RequestCoordinator::StartRegionRelay(Context& context,
                                          PendingRequest& request,
                                          const RegionName& region,
                                          const InstanceId& instance,
                                          RelayPurpose purpose) {
  const Member* member = m_modules.members.Find(instance);
  const bool link_has_room = m_link_charge.TryCharge(context, m_modules.budgets,
                                                     region, *request.http);
  if (!link_has_room || member == nullptr) {
    return false;
  }
  if (request.claim_granted &&
      !m_modules.claims.MarkSent(context, *request.claim)) {
    return false;
  }
  request.tried_regions.push_back(region);
  SendRelay(context, request,
            {RelayId(), instance, member->record.incarnation, region, purpose});
  return true;
}

void RequestCoordinator::RelayToClaimOwner(Context& context,
                                           PendingRequest& request,
                                           const ClaimVerdict& verdict) {
  const bool reachable = m_modules.members.IsLiveIncarnation(
                             verdict.owner, verdict.owner_incarnation) &&
                         IsFromCaller(request.origin);
  if (!reachable) {
    // The owner may have sent the request before it became unreachable.
    request.may_have_run = true;
    Refuse(context, request, RefusalReason::kOwnerUnreachable);
    return;
  }
  SendRelay(context, request,
            {RelayId(), verdict.owner, verdict.owner_incarnation, RegionName(),
             RelayPurpose::kClaimOwner});
}

void RequestCoordinator::SendRelay(Context& context,
                                   PendingRequest& request,
                                   OutgoingRelay relay) {
  relay.relay = RelayId{context.NextUniqueNumber()};
  context.Record("relay_sent", FormatRequestId(request.id),
                 {{"relay", std::to_string(relay.relay.number)},
                  {"to", relay.instance.Text()},
                  {"purpose", std::string(ToString(relay.purpose))},
                  {"key", request.http->idempotency_key}});
  m_relays.BindOutgoing(relay.relay, request.id);
  m_modules.members.Send(
      context, relay.instance,
      RelayRequest{relay.relay, relay.purpose, request.service,
                   request.deadline - context.Now(), *request.http});
  request.relay = std::move(relay);
}

void RequestCoordinator::OnRelayAnswer(Context& context,
                                       const InstanceId& from,
                                       const RelayAnswer& message) {
  const std::optional<RequestId> id = m_relays.FindOutgoing(message.relay);
  PendingRequest* request = id ? Find(*id) : nullptr;
  if (request == nullptr || !request->relay ||
      request->relay->instance != from) {
    return;
  }
  const OutgoingRelay relay = *request->relay;
  m_relays.EraseOutgoing(message.relay);
  request->relay.reset();

  if (message.answer.outcome == Outcome::kRan) {
    if (!relay.region.IsEmpty()) {
      m_link_charge.OnAnswer(context, m_modules.budgets, relay.region,
                             message.answer.http);
      m_modules.regions.OnAdmitted(request->service, relay.region);
    }
    Finish(context, request->id, message.answer);
    return;
  }
  if (message.answer.outcome == Outcome::kUnknown) {
    request->may_have_run = true;
    Refuse(context, *request, message.answer.reason);
    return;
  }
  HandleRelayRefusal(context, *request, relay, message.answer.reason);
}

void RequestCoordinator::HandleRelayRefusal(Context& context,
                                            PendingRequest& request,
                                            const OutgoingRelay& relay,
                                            RefusalReason reason) {
  if (relay.purpose == RelayPurpose::kClaimOwner) {
    Refuse(context, request, reason);
    return;
  }
  if (request.claim_granted) {
    m_modules.claims.MarkNotExecuted(context, *request.claim);
  }
  if (relay.purpose == RelayPurpose::kShift) {
    StartAttempt(context, request, /*hedge=*/false);
    return;
  }
  m_modules.regions.OnRefused(context, request.service, relay.region);
  if (!TrySpillover(context, request)) {
    Refuse(context, request, reason);
  }
}

bool RequestCoordinator::ProcessDecisions(Context& context) {
  bool any = false;
  for (const ClaimVerdict& verdict : m_modules.claims.TakeVerdicts()) {
    OnVerdict(context, verdict);
    any = true;
  }
  m_runner.ProcessDecisions(context);
  for (const AttemptEnd& end : m_runner.TakeEnded()) {
    OnAttemptEnd(context, end);
    any = true;
  }
  for (const RequestId id : m_modules.suspicions.TakeReleased()) {
    PendingRequest* request = Find(id);
    if (request != nullptr && request->held_answer) {
      const CallerAnswer answer = *request->held_answer;
      request->held_answer.reset();
      Finish(context, id, answer);
      any = true;
    }
  }
  return any;
}

void RequestCoordinator::OnVerdict(Context& context,
                                   const ClaimVerdict& verdict) {
  PendingRequest* request = Find(verdict.request);
  if (request == nullptr) {
    return;
  }
  request->awaits_claim = false;
  switch (verdict.kind) {
    case ClaimVerdictKind::kGranted:
      request->claim_granted = true;
      if (std::holds_alternative<NoOrigin>(request->origin)) {
        Refuse(context, *request, RefusalReason::kDeadlineExpired);
      } else {
        Place(context, *request);
      }
      return;
    case ClaimVerdictKind::kAnswered:
      Finish(context, request->id, verdict.answer);
      return;
    case ClaimVerdictKind::kOwnedElsewhere:
      RelayToClaimOwner(context, *request, verdict);
      return;
    case ClaimVerdictKind::kKeyReused:
      Refuse(context, *request, RefusalReason::kKeyReused);
      return;
    case ClaimVerdictKind::kUnavailable:
      Refuse(context, *request, RefusalReason::kStoreUnavailable);
      return;
  }
}

void RequestCoordinator::OnAttemptEnd(Context& context, const AttemptEnd& end) {
  PendingRequest* request = Find(end.spec.request);
  if (request == nullptr) {
    return;
  }
  std::erase(request->attempts, end.ticket);
  if (!end.upstream.IsEmpty()) {
    request->tried_upstreams.push_back(end.upstream);
  }
  switch (end.result) {
    case AttemptResult::kAnswered:
      OnAnswered(context, *request, end);
      return;
    case AttemptResult::kNotSent:
      OnNotSent(context, *request, end);
      return;
    case AttemptResult::kShed:
      OnShed(context, *request, end);
      return;
    case AttemptResult::kFailed:
      OnAttemptFailed(context, *request, end);
      return;
    case AttemptResult::kTimedOut:
      OnTimedOut(context, *request);
      return;
    case AttemptResult::kCancelled:
      return;
  }
}

void RequestCoordinator::OnAnswered(Context& context,
                                    PendingRequest& request,
                                    const AttemptEnd& end) {
  m_modules.classifier.OnAnswered(request.service, request.http->target,
                                  end.service_time);
  if (m_modules.suspicions.OnSuccess(context, request.content_hash)) {
    m_modules.members.Broadcast(
        context, Suspicion{request.content_hash, SuspicionLevel::kCleared,
                           end.upstream});
  }
  CallerAnswer answer;
  answer.outcome = Outcome::kRan;
  answer.http = end.answer;
  Finish(context, request.id, answer);
}

void RequestCoordinator::OnNotSent(Context& context,
                                   PendingRequest& request,
                                   const AttemptEnd& end) {
  if (!request.attempts.empty() || request.held_answer) {
    return;
  }
  if (end.upstream.IsEmpty()) {
    const bool relayed =
        IsLackOfCapacity(end.reason) && TrySpillover(context, request);
    if (!relayed) {
      Refuse(context, request, end.reason);
    }
    return;
  }
  if (++request.failures_before_sending <= kUnbudgetedRetries &&
      context.Now() < request.deadline) {
    StartAttempt(context, request, /*hedge=*/false);
    return;
  }
  RetryOrRefuse(context, request, end.reason);
}

void RequestCoordinator::OnShed(Context& context,
                                PendingRequest& request,
                                const AttemptEnd& end) {
  if (request.claim_granted) {
    m_modules.claims.MarkNotExecuted(context, *request.claim);
  }
  if (request.attempts.empty() && !request.held_answer) {
    RetryOrRefuse(context, request, end.reason);
  }
}

void RequestCoordinator::OnAttemptFailed(Context& context,
                                         PendingRequest& request,
                                         const AttemptEnd& end) {
  request.may_have_run = true;
  const Suspicion suspicion = m_modules.suspicions.OnBreak(
      context, request.content_hash, end.upstream, end.spec.isolate);
  context.Record("attempt_broken", FormatRequestId(request.id),
                 {{"upstream", end.upstream.Text()},
                  {"content", std::to_string(request.content_hash)},
                  {"suspicion", std::string(ToString(suspicion.level))}});
  m_modules.members.Broadcast(context, suspicion);
  request.isolate = true;
  if (!request.attempts.empty()) {
    return;
  }
  const bool may_repeat = request.request_class == RequestClass::kIdempotent &&
                          suspicion.level != SuspicionLevel::kQuarantined &&
                          m_budgets[request.service].retries.TryTake();
  if (may_repeat && context.Now() < request.deadline) {
    StartAttempt(context, request, /*hedge=*/false);
    return;
  }
  const RefusalReason reason = suspicion.level == SuspicionLevel::kQuarantined
                                   ? RefusalReason::kQuarantined
                                   : RefusalReason::kUpstreamFailed;
  // The caller may resend the request to any entry instance as soon as it gets
  // the answer, so the peers must receive the suspicion first.
  request.held_answer = MakeRefusal(Outcome::kUnknown, reason);
  m_modules.suspicions.HoldAnswer(context, request.id, suspicion,
                                  m_modules.members.LivePeers());
}

void RequestCoordinator::OnTimedOut(Context& context, PendingRequest& request) {
  request.may_have_run = true;
  if (request.attempts.empty() && !request.held_answer) {
    Refuse(context, request, RefusalReason::kDeadlineExpired);
  }
}

void RequestCoordinator::RetryOrRefuse(Context& context,
                                       PendingRequest& request,
                                       RefusalReason reason) {
  const bool in_time = context.Now() < request.deadline;
  if (in_time && m_budgets[request.service].retries.TryTake()) {
    StartAttempt(context, request, /*hedge=*/false);
    return;
  }
  if (in_time && IsLackOfCapacity(reason) && TrySpillover(context, request)) {
    return;
  }
  Refuse(context, request, reason);
}

bool RequestCoordinator::HasBeenSent(const PendingRequest& request) const {
  if (request.relay || request.may_have_run) {
    return true;
  }
  return std::any_of(
      request.attempts.begin(), request.attempts.end(), [&](TicketId ticket) {
        const Attempt* attempt = m_runner.Find(ticket);
        return attempt != nullptr && attempt->state == AttemptState::kSent;
      });
}

void RequestCoordinator::OnTick(Context& context) {
  m_runner.OnTick(context);
  std::vector<RequestId> ids;
  ids.reserve(m_requests.size());
  for (const auto& [id, request] : m_requests) {
    ids.push_back(id);
  }
  for (const RequestId id : ids) {
    ExpireIfDue(context, id);
    if (PendingRequest* request = Find(id)) {
      HedgeIfDue(context, *request);
      CheckRelayTarget(context, *request);
    }
  }
}

void RequestCoordinator::ExpireIfDue(Context& context, RequestId id) {
  PendingRequest* request = Find(id);
  // Attempts and claims monitor the deadline and report its expiry. A relay's
  // deadline is monitored only here.
  const bool waits_for_relay = request->relay && request->attempts.empty();
  if (!waits_for_relay || context.Now() < request->deadline) {
    return;
  }
  request->may_have_run = true;
  Refuse(context, *request, RefusalReason::kDeadlineExpired);
}

void RequestCoordinator::CheckRelayTarget(Context& context,
                                          PendingRequest& request) {
  if (!request.relay ||
      !m_modules.members.HasIncarnationEnded(request.relay->instance,
                                             request.relay->incarnation)) {
    return;
  }
  const OutgoingRelay relay = *request.relay;
  m_relays.EraseOutgoing(relay.relay);
  request.relay.reset();
  request.may_have_run = true;
  if (request.request_class == RequestClass::kIdempotent &&
      m_budgets[request.service].retries.TryTake()) {
    StartAttempt(context, request, /*hedge=*/false);
    return;
  }
  Refuse(context, request, RefusalReason::kPeerUnreachable);
}

void RequestCoordinator::HedgeIfDue(Context& context, PendingRequest& request) {
  const bool eligible = m_settings.hedging &&
                        request.request_class == RequestClass::kIdempotent &&
                        !request.hedged && !request.isolate &&
                        request.attempts.size() == 1;
  if (!eligible) {
    return;
  }
  const Attempt* attempt = m_runner.Find(request.attempts.front());
  if (attempt == nullptr || attempt->state != AttemptState::kSent) {
    return;
  }
  const Duration typical = m_modules.classifier.Quantile(
      request.service, request.length, kHedgeQuantile);
  if (typical.count() == 0 ||
      context.Now() - attempt->since < std::max(typical, kMinHedgeDelay)) {
    return;
  }
  if (!m_budgets[request.service].hedges.TryTake()) {
    return;
  }
  request.hedged = true;
  request.tried_upstreams.push_back(attempt->upstream);
  StartAttempt(context, request, /*hedge=*/true);
}

void RequestCoordinator::Refuse(Context& context,
                                PendingRequest& request,
                                RefusalReason reason) {
  Finish(context, request.id, MakeRefusal(OutcomeOfRefusal(request), reason));
}

void RequestCoordinator::Finish(Context& context,
                                RequestId id,
                                const CallerAnswer& answer) {
  const auto found = m_requests.find(id);
  assert(found != m_requests.end());
  PendingRequest request = std::move(found->second);
  m_requests.erase(found);
  StopWork(context, request);
  if (request.claim_granted) {
    m_modules.claims.Finish(context, *request.claim, answer);
  }
  Deliver(context, request, answer);
}

void RequestCoordinator::StopWork(Context& context, PendingRequest& request) {
  for (const TicketId ticket : request.attempts) {
    m_runner.Cancel(context, ticket);
  }
  if (request.relay) {
    m_relays.EraseOutgoing(request.relay->relay);
    m_modules.members.Send(context, request.relay->instance,
                           RelayCancel{request.relay->relay});
  }
  if (request.holds_spillover_slot) {
    m_modules.budgets.ReturnSlot({LimitKind::kSpilloverSlots, request.service,
                                  RegionName(), context.Self().region});
  }
  if (const auto* origin = std::get_if<RelayOrigin>(&request.origin)) {
    m_relays.EraseIncoming(origin->relay);
  }
}

void RequestCoordinator::Deliver(Context& context,
                                 const PendingRequest& request,
                                 const CallerAnswer& answer) const {
  std::vector<TimelineField> fields{
      {"service", request.service.Text()},
      {"outcome", std::string(ToString(answer.outcome))},
      {"reason", std::string(ToString(answer.reason))},
      {"key", request.http->idempotency_key},
      {"duration_us",
       std::to_string((context.Now() - request.arrived).count())}};
  if (const auto* origin = std::get_if<RelayOrigin>(&request.origin)) {
    fields.push_back({"relay", std::to_string(origin->relay.number)});
    m_modules.members.Send(context, origin->instance,
                           RelayAnswer{origin->relay, answer});
  } else if (IsFromCaller(request.origin)) {
    context.Emit(AnswerCaller{request.id, answer});
  }
  context.Record("request_finished", FormatRequestId(request.id),
                 std::move(fields));
}

PendingRequest* RequestCoordinator::Find(RequestId id) {
  const auto found = m_requests.find(id);
  return found == m_requests.end() ? nullptr : &found->second;
}

}  // namespace kumquatcove
