#include "dispatch/request_dispatcher.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "base/hash.h"
#include "dispatch/answer_status.h"
#include "dispatch/request_log.h"

namespace kumquatcove {
namespace {

// Timeout for connecting to an upstream, if two round trips don't take longer.
// A live one answers within one round trip; one that has lost its power or its
// network doesn't answer at all, and waiting for the kernel to retransmit a
// lost packet would cost more than using another upstream.
constexpr Duration kConnectTimeout = Milliseconds(350);

// An upstream ends work itself at the deadline that it was sent; its answer
// needs up to this time to arrive.
constexpr Duration kAnswerMargin = Milliseconds(120);
// A request that has less time left than this isn't sent any more.
constexpr Duration kMinSendTime = Milliseconds(20);

// Share of the connections that an upstream accepts from all instances which
// may be idle; the others are for requests.
constexpr double kMaxIdleShare = 0.5;

// For callers that state no deadline; the timeout of the route bounds it.
constexpr Duration kDefaultDeadline = Seconds(10);

// Interval at which a request that waits for a permit, or is late, considers
// other upstreams. Each change of the upstream costs messages, and its place in
// the queue.
constexpr Duration kRecheckInterval = Milliseconds(100);

// Bounds of the retry time sent to refused callers. The upper bound also holds
// for callers that are refused because the expected wait is too long.
constexpr Duration kMinRetryAfter = Milliseconds(100);
constexpr Duration kMaxRetryAfter = Milliseconds(1000);
// Retry time until the configuration is available.
constexpr Duration kNotReadyRetryAfter = Milliseconds(300);

}  // namespace

RequestDispatcher::RequestDispatcher(const Identity& self,
                                     const DispatchSettings& settings)
    : m_region(self.region),
      m_routes(std::make_shared<const RouteTable>()),
      m_distances(self.zone, self.region, settings),
      m_placement(m_upstreams,
                  m_times,
                  m_hit_probabilities,
                  m_distances,
                  self.region),
      m_overflow(settings.max_region_shift),
      m_shared_load(m_upstreams),
      m_answers(m_upstreams,
                m_times,
                m_hit_probabilities,
                m_distances,
                m_shared_load),
      m_rate_limiter(m_upstreams),
      m_resends(settings),
      m_crashes(m_upstreams, m_distances, m_connections) {}

void RequestDispatcher::SetSettings(const DispatchSettings& settings) {
  m_distances.SetSettings(settings);
  m_overflow.SetMaxShift(settings.max_region_shift);
  m_resends.SetSettings(settings);
}

void RequestDispatcher::BeginStop(Context& context,
                                  const StopSchedule& schedule) {
  m_stop = schedule;
  for (const RequestId id : m_requests.List()) {
    DispatchRequest& request = *m_requests.Find(id);
    request.deadline = std::min(request.deadline, schedule.WorkEnd());
  }
  // Waiting requests that can't be finished any more are refused at once.
  OnTick(context);
}

void RequestDispatcher::OnUpstreamRegistered(
    Context& context,
    const UpstreamRegistration& registration) {
  const RegionName region = m_distances.RegionOf(registration.zone);
  if (region.IsEmpty()) {
    context.Record(
        "upstream_ignored", registration.id.Text(),
        {{"reason", "unknown zone"}, {"zone", registration.zone.Text()}});
    OnUpstreamGone(context, registration.id);
    return;
  }
  const TrackedUpstream* known = m_upstreams.Find(registration.id);
  const bool moved =
      known != nullptr && known->registration.address != registration.address;
  m_upstreams.OnRegistered(registration, region, context.Now());
  m_rate_limiter.OnRegistered(context, registration.id);
  if (moved || registration.draining) {
    m_connections.CloseIdle(context, registration.id);
  }
  PlaceWaiting(context, registration.service);
}

void RequestDispatcher::OnUpstreamGone(Context& context, const UpstreamId& id) {
  m_upstreams.MarkRemoved(id, context.Now());
  m_connections.CloseIdle(context, id);
}

void RequestDispatcher::OnEvacuationChanged(const ZoneName& zone,
                                            bool evacuated) {
  m_upstreams.SetEvacuated(zone, evacuated);
}

const Route* RequestDispatcher::FindRoute(const HttpRequest& http) const {
  const std::string_view target = http.target;
  return m_routes->Find(http.host, target.substr(0, target.find('?')));
}

RefusalReason RequestDispatcher::CheckAdmission(const DispatchRequest& request,
                                                MonotonicTime now) const {
  if (m_requests.Count() > PendingRequests::kMaxRequests) {
    return RefusalReason::kOverloaded;
  }
  if (m_crashes.IsRejected(request.content_hash, now)) {
    return RefusalReason::kQuarantined;
  }
  return RefusalReason::kNone;
}

void RequestDispatcher::OnRequestArrived(Context& context,
                                         const RequestArrived& event) {
  DispatchRequest& request = m_requests.Add(event.request);
  request.id = event.request;
  request.http = std::make_shared<const HttpRequest>(event.http);
  request.attempt = event.attempt;
  request.table = m_routes;
  request.arrived = context.Now();
  request.deadline =
      context.Now() + event.http.deadline.value_or(kDefaultDeadline);
  if (!m_ready) {
    Refuse(context, request, RefusalReason::kNotReady, kNotReadyRetryAfter);
    return;
  }
  request.route = FindRoute(event.http);
  if (request.route == nullptr) {
    Refuse(context, request, RefusalReason::kUnknownService, Duration::zero());
    return;
  }
  const Route& route = *request.route;
  request.deadline = std::min(request.deadline, context.Now() + route.timeout);
  if (m_stop) {
    if (!m_stop->IsAdmissible(context.Now(), request.deadline)) {
      Refuse(context, request, RefusalReason::kLeaving, kMinRetryAfter);
      return;
    }
    request.deadline = std::min(request.deadline, m_stop->WorkEnd());
  }
  request.service = m_splitter.Next(route);
  request.content_hash = StableHash(
      {event.http.host, event.http.method, event.http.target, event.http.body});
  request.placement.service = request.service;
  request.placement.home_regions = route.home_regions;
  request.placement.useful_until = context.Now() + route.latency_objective;
  if (route.has_object_affinity && !event.object.empty()) {
    request.placement.object = HashObject(route.name, event.object);
  }
  m_resends.OnRequest(request.service, context.Now());
  const RefusalReason reason = CheckAdmission(request, context.Now());
  if (reason != RefusalReason::kNone) {
    Refuse(context, request, reason, kMaxRetryAfter);
    return;
  }
  Enqueue(context, request);
}

double RequestDispatcher::FindColdRate(const ServiceName& service) const {
  const ServiceTraits* traits = m_routes->FindService(service);
  return traits == nullptr ? 0 : traits->cold_requests_per_second;
}

void RequestDispatcher::Enqueue(Context& context, DispatchRequest& request) {
  const MonotonicTime now = context.Now();
  const std::optional<PlacementChoice> choice = Choose(context, request);
  if (!choice) {
    Refuse(context, request, RefusalReason::kNoUpstream, kMaxRetryAfter);
    return;
  }
  if (IsTooLate(request, *choice, now)) {
    RefuseForLackOfRoom(context, request, *choice);
    return;
  }
  if (choice->has_room) {
    Start(context, request, *choice);
    return;
  }
  SetAwaited(request, choice->upstream);
  AddToQueue(request);
}

void RequestDispatcher::AddToQueue(const DispatchRequest& request) {
  const Duration work = m_times.Expect(request.service, CachePrediction::kHit);
  m_queues[request.service].Add(
      request.id, request.route->priority, request.arrived,
      request.arrived + request.route->latency_objective - work);
}

std::optional<PlacementChoice> RequestDispatcher::Choose(
    Context& context,
    DispatchRequest& request) {
  const MonotonicTime now = context.Now();
  request.chosen = now;
  SetAwaited(request, std::nullopt);
  request.placement.cold_rate = FindColdRate(request.service);
  request.placement.time_slots =
      m_counts.are_known
          ? std::optional(TimeSlotShare{
                m_counts.in_region, m_counts.rank_in_region, context.Wall()})
          : std::nullopt;
  request.placement.may_overflow = m_overflow.IsAllowed(now);
  // Instances that have sent no recent digest are assumed to have as many
  // waiting requests as the others.
  request.placement.waiting_ratio =
      std::max(1.0, static_cast<double>(m_counts.in_region) /
                        static_cast<double>(m_shared_load.CountSenders() + 1));
  std::optional<PlacementChoice> choice =
      m_placement.Choose(request.placement, now, context.RandomNumbers());
  if (choice && choice->overflow_denied) {
    m_overflow.OnDenied(now);
  }
  return choice;
}

void RequestDispatcher::SetAwaited(DispatchRequest& request,
                                   std::optional<UpstreamId> awaited) {
  if (request.awaited) {
    m_upstreams.OnAwaited(*request.awaited, -1);
    m_rate_limiter.OnAwaitedChanged(*request.awaited);
  }
  if (awaited) {
    m_upstreams.OnAwaited(*awaited, 1);
    m_rate_limiter.OnAwaitedChanged(*awaited);
  }
  request.awaited = std::move(awaited);
}

bool RequestDispatcher::MayHaveRoom(const DispatchRequest& request,
                                    MonotonicTime now) const {
  const TrackedUpstream* upstream =
      request.awaited ? m_upstreams.Find(*request.awaited) : nullptr;
  return upstream == nullptr || !m_upstreams.IsOpen(*upstream, now) ||
         m_placement.HasRoom(*upstream, request.placement,
                             /*has_affinity=*/true, now);
}

bool RequestDispatcher::KeepsWaitingForPermit(const DispatchRequest& request,
                                              MonotonicTime now) const {
  const TrackedUpstream* upstream =
      request.awaited ? m_upstreams.Find(*request.awaited) : nullptr;
  return upstream != nullptr && upstream->rate_limit.Rate() &&
         now - request.chosen < kRecheckInterval;
}

bool RequestDispatcher::IsLateCheckDue(const DispatchRequest& request,
                                       MonotonicTime now) const {
  const MonotonicTime useful_until = request.placement.useful_until;
  return m_rate_limiter.HasLimits() && now >= useful_until &&
         (request.chosen < useful_until ||
          now - request.chosen >= kRecheckInterval);
}

void RequestDispatcher::PlaceWaiting(Context& context,
                                     const ServiceName& service) {
  const auto found = m_queues.find(service);
  if (found == m_queues.end() || found->second.IsEmpty()) {
    return;
  }
  // Choosing costs processor time, so each pass considers another upstream than
  // the awaited one only for a few requests, the oldest first.
  constexpr int kMaxFailures = 3;
  int failures = 0;
  for (const RequestId id : found->second.InOrder(context.Now())) {
    DispatchRequest* request = m_requests.Find(id);
    if (request == nullptr) {
      continue;
    }
    const bool skipped = failures >= kMaxFailures ||
                         KeepsWaitingForPermit(*request, context.Now());
    if (skipped && !IsLateCheckDue(*request, context.Now()) &&
        !MayHaveRoom(*request, context.Now())) {
      continue;
    }
    if (!TryStart(context, *request)) {
      ++failures;
    }
  }
}

bool RequestDispatcher::TryStart(Context& context, DispatchRequest& request) {
  const std::optional<PlacementChoice> choice = Choose(context, request);
  if (!choice) {
    return false;
  }
  if (choice->has_room && !IsBeyondStop(*choice, context.Now())) {
    m_queues[request.service].Remove(request.id);
    Start(context, request, *choice);
    return true;
  }
  if (IsTooLate(request, *choice, context.Now())) {
    RefuseForLackOfRoom(context, request, *choice);
    return false;
  }
  SetAwaited(request, choice->upstream);
  return false;
}

bool RequestDispatcher::IsTooLate(const DispatchRequest& request,
                                  const PlacementChoice& choice,
                                  MonotonicTime now) const {
  return choice.rate_exceeded || now + choice.completion > request.deadline ||
         IsBeyondStop(choice, now);
}

bool RequestDispatcher::IsBeyondStop(const PlacementChoice& choice,
                                     MonotonicTime now) const {
  return m_stop && !m_stop->MayBegin(now, choice.completion);
}

void RequestDispatcher::RefuseForLackOfRoom(Context& context,
                                            DispatchRequest& request,
                                            const PlacementChoice& choice) {
  request.considered = choice;
  Refuse(context, request,
         IsBeyondStop(choice, context.Now()) ? RefusalReason::kLeaving
                                             : RefusalReason::kQueueFull,
         std::clamp(choice.completion, kMinRetryAfter, kMaxRetryAfter));
}

void RequestDispatcher::Start(Context& context,
                              DispatchRequest& request,
                              PlacementChoice choice) {
  const MonotonicTime now = context.Now();
  TrackedUpstream& upstream = *m_upstreams.Find(choice.upstream);
  const bool has_permit =
      upstream.rate_limit.Rate() && upstream.permits.Take(now);
  if (m_upstreams.IsCold(upstream, now) ||
      (upstream.rate_limit.Rate() && !has_permit)) {
    upstream.pacer.RecordSend(context.Wall());
  }
  ActiveSend send;
  send.upstream = choice.upstream;
  send.started = now;
  send.choice = std::move(choice);
  if (upstream.rate_limit.Rate()) {
    send.allowance =
        has_permit ? SendAllowance::kPermit : SendAllowance::kTimeSlot;
  }
  m_overflow.OnPlaced(send.choice.overflow, now);
  m_upstreams.OnStarted(send.upstream);
  const std::optional<ConnectionId> idle =
      m_connections.Take(send.upstream, request.IsIdempotent(), now);
  send.connection = idle ? *idle : m_connections.NextId();
  send.reused = idle.has_value();
  m_requests.Connect(send.connection, request.id);
  request.active = std::move(send);
  if (idle) {
    Send(context, request);
  } else {
    context.Emit(OpenConnection{request.active->connection,
                                request.active->upstream,
                                upstream.registration.address});
  }
}

void RequestDispatcher::Send(Context& context, DispatchRequest& request) {
  ActiveSend& send = *request.active;
  send.sent = true;
  send.sent_at = context.Now();
  ++request.sends;
  context.Emit(SendUpstream{send.connection, request.deadline,
                            request.deadline - context.Now(), *request.http,
                            send.upstream, request.attempt});
}

void RequestDispatcher::OnConnectionOpened(Context& context,
                                           ConnectionId connection) {
  if (const std::optional<CrashCheck> check = m_crashes.Take(connection)) {
    // The upstream is alive: only the connection was lost.
    m_upstreams.OnConnected(check->upstream, context.Now());
    m_connections.Add(context, check->upstream, connection);
    return;
  }
  DispatchRequest* request = m_requests.FindByConnection(connection);
  if (request == nullptr || !request->active) {
    context.Emit(CloseConnection{connection});
    return;
  }
  const UpstreamId id = request->active->upstream;
  m_upstreams.OnConnected(id, context.Now());
  const TrackedUpstream* upstream = m_upstreams.Find(id);
  if (upstream != nullptr) {
    m_distances.AddRoundTrip(upstream->registration.zone,
                             context.Now() - request->active->started);
  }
  const bool open =
      upstream != nullptr && m_upstreams.IsOpen(*upstream, context.Now());
  if (!open || request->deadline - context.Now() < kMinSendTime) {
    // The upstream was marked as leaving after it was chosen, or too little
    // time is left for the send.
    context.Emit(CloseConnection{connection});
    EndSend(context, *request, SendResult::kAbandoned);
    Enqueue(context, *request);
    return;
  }
  Send(context, *request);
}

void RequestDispatcher::OnConnectionLost(Context& context,
                                         const ConnectionLost& event) {
  if (const std::optional<CrashCheck> check =
          m_crashes.Take(event.connection)) {
    OnCrashed(context, *check);
    return;
  }
  if (m_connections.Remove(event.connection)) {
    return;
  }
  DispatchRequest* request = m_requests.FindByConnection(event.connection);
  if (request == nullptr || !request->active) {
    return;
  }
  if (!request->active->sent) {
    OnOpenFailed(context, *request);
  } else if (event.unwritten) {
    --request->sends;
    EndSend(context, *request, SendResult::kAbandoned);
    if (request->abandoned) {
      Refuse(context, *request, RefusalReason::kDeadlineExpired,
             Duration::zero());
    } else {
      Enqueue(context, *request);
    }
  } else {
    OnBroken(context, *request);
  }
}

void RequestDispatcher::OnOpenFailed(Context& context,
                                     DispatchRequest& request) {
  const UpstreamId upstream = request.active->upstream;
  context.Record("upstream_unreachable", upstream.Text(),
                 {{"request", FormatRequestId(request.id)}});
  EndSend(context, request, SendResult::kAbandoned);
  m_upstreams.OnConnectFailed(upstream, context.Now());
  m_connections.CloseIdle(context, upstream);
  // No request was sent, so this isn't a resend.
  Enqueue(context, request);
}

void RequestDispatcher::OnBroken(Context& context, DispatchRequest& request) {
  const UpstreamId upstream = request.active->upstream;
  context.Record("connection_broken", FormatRequestId(request.id),
                 {{"upstream", upstream.Text()}, {"attempt", request.attempt}});
  request.may_have_run = true;
  EndSend(context, request, SendResult::kFailed);
  m_crashes.OnConnectionBroken(context, upstream, request.content_hash,
                               kConnectTimeout);
  if (request.abandoned) {
    Refuse(context, request, RefusalReason::kUpstreamFailed, Duration::zero());
    return;
  }
  request.placement.excluded.push_back(upstream);
  if (!request.IsIdempotent() || !TryResend(context, request)) {
    Refuse(context, request, RefusalReason::kUpstreamFailed, Duration::zero());
  }
}

void RequestDispatcher::ResendFrom(Context& context,
                                   const UpstreamId& upstream) {
  for (const RequestId id : m_requests.ListIdempotentAt(upstream)) {
    DispatchRequest* request = m_requests.Find(id);
    if (request == nullptr || !MayResend(*request, context.Now())) {
      continue;
    }
    context.Emit(CloseConnection{request->active->connection});
    request->may_have_run = true;
    request->placement.excluded.push_back(upstream);
    EndSend(context, *request, SendResult::kAbandoned);
    if (!TryResend(context, *request)) {
      Refuse(context, *request, RefusalReason::kUpstreamFailed,
             Duration::zero());
    }
  }
}

void RequestDispatcher::OnCrashed(Context& context, const CrashCheck& check) {
  context.Record("upstream_unreachable", check.upstream.Text(),
                 {{"contents", std::to_string(check.contents.size())}});
  m_upstreams.OnConnectFailed(check.upstream, context.Now());
  m_connections.CloseIdle(context, check.upstream);
  ResendFrom(context, check.upstream);
  m_crashes.SuspectContents(context, check);
}

void RequestDispatcher::OnUpstreamAnswered(Context& context,
                                           const UpstreamAnswered& event) {
  DispatchRequest* request = m_requests.FindByConnection(event.connection);
  if (request == nullptr || !request->active || !request->active->sent) {
    if (event.keep_alive) {
      context.Emit(CloseConnection{event.connection});
    }
    return;
  }
  const ActiveSend send = *request->active;
  const bool rejected = event.not_executed || event.wrong_upstream;
  const bool failed = IsServerError(event.answer.status);
  EndSend(context, *request,
          rejected ? SendResult::kRejected
                   : (failed ? SendResult::kFailed : SendResult::kAnswered));
  if (event.load) {
    m_upstreams.OnLoadReport(send.upstream, *event.load, context.Now());
  }
  m_rate_limiter.OnAnswer(context, send.upstream, request->id, event,
                          send.sent_at);
  const ServiceName service = request->service;
  if (event.keep_alive) {
    const TrackedUpstream* upstream = m_upstreams.Find(send.upstream);
    const bool usable = upstream != nullptr && !upstream->leaving &&
                        !event.draining && !event.wrong_upstream;
    m_connections.KeepOrClose(context, send.upstream, event,
                              usable ? FindMaxIdle(service) : 0);
  }
  if (rejected) {
    OnRejected(context, *request, event);
  } else {
    if (IsSuccess(event.answer.status)) {
      m_crashes.OnSuccess(send.upstream, request->content_hash);
      m_answers.OnSuccess(*request, send, event, context.Now());
    }
    request->may_have_run = true;
    request->placement.excluded.push_back(send.upstream);
    const bool resent = failed && request->IsIdempotent() &&
                        !request->abandoned && TryResend(context, *request);
    if (!resent) {
      Deliver(context, *request, event.answer);
    }
  }
  PlaceWaiting(context, service);
}

double RequestDispatcher::FindMaxIdle(const ServiceName& service) const {
  const ServiceTraits* traits = m_routes->FindService(service);
  if (traits == nullptr) {
    return std::numeric_limits<double>::infinity();
  }
  return traits->max_connections * kMaxIdleShare /
         std::max(m_counts.in_total, 1);
}

void RequestDispatcher::OnRejected(Context& context,
                                   DispatchRequest& request,
                                   const UpstreamAnswered& event) {
  const UpstreamId upstream = request.placement.excluded.empty()
                                  ? UpstreamId()
                                  : request.placement.excluded.back();
  context.Record("send_rejected", FormatRequestId(request.id),
                 {{"attempt", request.attempt},
                  {"upstream", upstream.Text()},
                  {"status", std::to_string(event.answer.status)}});
  if (event.wrong_upstream) {
    m_upstreams.OnDisplaced(upstream);
  }
  if (request.abandoned || !TryResend(context, request)) {
    Refuse(context, request, RefusalReason::kNoUpstream, kMinRetryAfter);
  }
}

bool RequestDispatcher::MayResend(const DispatchRequest& request,
                                  MonotonicTime now) const {
  const Duration work = m_times.Expect(request.service, CachePrediction::kHit);
  return request.sends < request.route->max_upstreams &&
         now + work <= request.deadline &&
         m_placement.HasCandidate(request.placement, now) &&
         !m_crashes.IsRejected(request.content_hash, now);
}

bool RequestDispatcher::TryResend(Context& context, DispatchRequest& request) {
  const MonotonicTime now = context.Now();
  if (!MayResend(request, now) ||
      !m_resends.TryTake(request.service, now, m_counts.in_total)) {
    return false;
  }
  AddToQueue(request);
  PlaceWaiting(context, request.service);
  return true;
}

void RequestDispatcher::EndSend(Context& context,
                                DispatchRequest& request,
                                SendResult result) {
  const ActiveSend send = std::move(*request.active);
  request.active.reset();
  m_requests.Disconnect(send.connection);
  m_upstreams.OnEnded(send.upstream, result, context.Now());
  if (result == SendResult::kRejected) {
    request.placement.excluded.push_back(send.upstream);
  }
  request.last = send;
}

void RequestDispatcher::OnCallerGone(Context& context, RequestId id) {
  DispatchRequest* request = m_requests.Find(id);
  if (request == nullptr) {
    return;
  }
  request->abandoned = true;
  // A non-idempotent request in flight is finished rather than cancelled: the
  // caller gets no answer either way.
  const bool must_continue = request->route != nullptr &&
                             !request->IsIdempotent() && request->active &&
                             request->active->sent;
  if (!must_continue) {
    Refuse(context, *request, RefusalReason::kDeadlineExpired,
           Duration::zero());
  }
}

void RequestDispatcher::OnLoadDigest(Context& context,
                                     const InstanceId& sender,
                                     const LoadDigest& digest) {
  m_shared_load.OnDigest(sender, digest, context.Now());
  m_rate_limiter.OnPeerLimits(context, sender, digest.limits);
  m_rate_limiter.OnPeerForecasts(digest.forecasts, context.Now());
}

LoadDigest RequestDispatcher::MakeDigest(MonotonicTime now) {
  const MonotonicTime since = m_shared_load.LastDigest();
  LoadDigest digest = m_shared_load.MakeDigest(now);
  digest.limits = m_rate_limiter.TakeLimitReports(since, now);
  digest.forecasts = m_rate_limiter.ListForecasts(since, now);
  return digest;
}

void RequestDispatcher::ExchangePermits(Context& context,
                                        const EntryPresence& presence) {
  m_rate_limiter.Exchange(context, presence);
  for (const UpstreamId& id : m_rate_limiter.TakeGranted()) {
    if (const TrackedUpstream* upstream = m_upstreams.Find(id)) {
      PlaceWaiting(context, upstream->registration.service);
    }
  }
}

void RequestDispatcher::OnTick(Context& context) {
  const MonotonicTime now = context.Now();
  m_shared_load.OnTick(now);
  m_overflow.OnTick(now);
  for (const ConnectionId connection : m_crashes.FindDue(now)) {
    context.Emit(CloseConnection{connection});
    OnCrashed(context, *m_crashes.Take(connection));
  }
  for (const RequestId id : m_requests.List()) {
    if (DispatchRequest* request = m_requests.Find(id)) {
      ExpireIfDue(context, *request);
    }
    if (const DispatchRequest* request = m_requests.Find(id)) {
      m_crashes.CheckIfUnresponsive(context, *request);
    }
  }
  for (auto& [service, queue] : m_queues) {
    PlaceWaiting(context, service);
  }
  m_connections.CloseExpired(context);
}

void RequestDispatcher::ExpireIfDue(Context& context,
                                    DispatchRequest& request) {
  const MonotonicTime now = context.Now();
  if (request.active && request.active->sent) {
    if (now >= request.deadline + kAnswerMargin) {
      context.Emit(CloseConnection{request.active->connection});
      if (request.active->reused) {
        // The connection may have stalled, and others as old with it.
        m_connections.CloseIdle(context, request.active->upstream);
      }
      request.may_have_run = true;
      EndSend(context, request, SendResult::kAbandoned);
      Refuse(context, request, RefusalReason::kDeadlineExpired,
             Duration::zero());
    }
    return;
  }
  const Duration work =
      m_times.Expect(request.service, CachePrediction::kHit) / 2;
  if (now + std::max(kMinSendTime, work) >= request.deadline) {
    const bool stopping = m_stop && request.deadline == m_stop->WorkEnd();
    Refuse(context, request,
           stopping ? RefusalReason::kLeaving : RefusalReason::kDeadlineExpired,
           kMinRetryAfter);
    return;
  }
  if (request.active) {
    const TrackedUpstream* upstream =
        m_upstreams.Find(request.active->upstream);
    const Duration limit =
        upstream == nullptr
            ? kConnectTimeout
            : std::max(kConnectTimeout,
                       m_distances.RoundTrip(upstream->registration.zone) * 2);
    if (now >= request.active->started + limit) {
      context.Emit(CloseConnection{request.active->connection});
      OnOpenFailed(context, request);
    }
  }
}

void RequestDispatcher::Refuse(Context& context,
                               DispatchRequest& request,
                               RefusalReason reason,
                               Duration retry_after) {
  if (request.active) {
    request.may_have_run = request.may_have_run || request.active->sent;
    context.Emit(CloseConnection{request.active->connection});
    EndSend(context, request, SendResult::kAbandoned);
  }
  const Outcome outcome =
      request.may_have_run ? Outcome::kUnknown : Outcome::kDidNotRun;
  std::optional<Duration> answer_retry_after;
  if (outcome == Outcome::kDidNotRun && retry_after > Duration::zero()) {
    answer_retry_after = retry_after;
  }
  Finish(context, request, {outcome, reason, {}}, answer_retry_after);
}

void RequestDispatcher::Deliver(Context& context,
                                DispatchRequest& request,
                                HttpAnswer answer) {
  if (!request.IsIdempotent() && PromisesNotRun(answer.status)) {
    // The upstream didn't report that it hasn't run the request, but the caller
    // would take the status to mean that.
    Refuse(context, request, RefusalReason::kUpstreamFailed, Duration::zero());
    return;
  }
  Finish(context, request,
         {Outcome::kRan, RefusalReason::kNone, std::move(answer)},
         std::nullopt);
}

void RequestDispatcher::Finish(Context& context,
                               DispatchRequest& request,
                               CallerAnswer answer,
                               std::optional<Duration> retry_after) {
  RecordRequestEnd(context, request, answer);
  if (!request.service.IsEmpty()) {
    m_queues[request.service].Remove(request.id);
  }
  SetAwaited(request, std::nullopt);
  const RequestId id = request.id;
  context.Emit(AnswerCaller{id, std::move(answer), retry_after});
  m_requests.Remove(id);
}

}  // namespace kumquatcove
