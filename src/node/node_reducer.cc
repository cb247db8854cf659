#include "node/node_reducer.h"

#include <algorithm>
#include <utility>

#include <boost/json/serialize.hpp>

#include "base/json_codec.h"
#include "node/node_modules.h"
#include "node/request_coordinator.h"

namespace kumquatcove {
namespace {

// A longer gap between events means that the process was paused. Timeouts are
// then handled before the event.
constexpr Duration kMaxEventGap = Seconds(1);

// Interval at which each instance reads the platform's instance list. With more
// than kListReadersAtFullRate instances each reads less often, so that together
// they stay within a few reads per second.
constexpr Duration kListInterval = Seconds(2);
constexpr std::size_t kListReadersAtFullRate = 10;

// Added to the time to live of lookup answers before a leaving instance refuses
// requests. Covers delivery time and differences between clock rates.
constexpr Duration kLeavingMargin = Milliseconds(500);

// Time for writing the last answers before the process exits.
constexpr Duration kAnswerWriteTime = Seconds(2);

// An instance serves only after it has had time to receive heartbeats from its
// peers: three heartbeat intervals and the longest delay between regions.
// Earlier it would select itself as the slot home and couldn't reach the owners
// of claims.
constexpr Duration kJoinTime = Milliseconds(800);

// A leaving instance keeps running for this long after its last request, so
// that peers get its messages.
constexpr Duration kExitDelay = Seconds(1);

// A leaving instance waits for this long after its last request until the
// answers of claims are recorded. Exceeds the time after which calls to a store
// that is back succeed again; longer outages aren't waited for.
constexpr Duration kRecordLimit = Seconds(5);

}  // namespace

struct NodeReducer::MessageVisitor {
  NodeReducer& node;
  const InstanceId& from;

  void operator()(const Gossip& message) const {
    node.m_modules->members.OnGossip(node.m_context, from, message);
    node.m_modules->configuration.OnGossip(
        node.m_context, node.m_modules->members, from, message);
  }
  void operator()(const SlotRequest& message) const {
    node.m_modules->slot_home.OnRequest(node.m_context, node.m_modules->members,
                                        node.m_modules->health, from, message);
  }
  void operator()(const SlotGrant& message) const {
    node.m_modules->slot_client.OnGrant(node.m_context, node.m_modules->members,
                                        from, message);
  }
  void operator()(const SlotRefusal& message) const {
    node.m_modules->slot_client.OnRefusal(
        node.m_context, node.m_modules->members, from, message);
  }
  void operator()(const SlotQueued& message) const {
    node.m_modules->slot_client.OnQueued(
        node.m_context, node.m_modules->members, from, message);
  }
  void operator()(const SlotRelease& message) const {
    // Attempts of this instance were already counted when they ended.
    if (from != node.m_context.Self().instance && !message.upstream.IsEmpty()) {
      node.m_modules->health.OnAttempt(node.m_context, message.upstream,
                                       message.result, message.service_time);
    }
    node.m_modules->slot_home.OnRelease(node.m_context, node.m_modules->members,
                                        node.m_modules->health, from, message);
  }
  void operator()(const SlotInventory& message) const {
    node.m_modules->slot_home.OnInventory(
        node.m_context, node.m_modules->members, from, message);
  }
  void operator()(const RelayRequest& message) const {
    node.m_coordinator->OnRelayRequest(node.m_context, from, message);
  }
  void operator()(const RelayAnswer& message) const {
    node.m_coordinator->OnRelayAnswer(node.m_context, from, message);
  }
  void operator()(const RelayCancel& message) const {
    node.m_coordinator->OnRelayCancel(node.m_context, from, message);
  }
  void operator()(const UpstreamNotice& message) const {
    node.m_modules->health.OnNotice(node.m_context, message);
  }
  void operator()(const Suspicion& message) const {
    node.m_modules->suspicions.OnSuspicion(node.m_context, message);
    node.m_modules->members.Send(
        node.m_context, from,
        SuspicionAck{message.content_hash, message.level});
  }
  void operator()(const SuspicionAck& message) const {
    node.m_modules->suspicions.OnAck(node.m_context, from, message);
  }
  void operator()(const CatalogueRequest& message) const {
    node.m_modules->configuration.OnCatalogueRequest(
        node.m_context, node.m_modules->members, from, message);
  }
  /** Ignored: slot homes track the exact load in this kind of deployment. */
  void operator()(const LoadDigest& /*message*/) const {}
  void operator()(const PermitRequest& /*message*/) const {}
  void operator()(const PermitGrant& /*message*/) const {}
  void operator()(const CatalogueDelta& message) const {
    node.m_modules->configuration.OnCatalogueDelta(
        node.m_context, node.m_modules->members, from, message);
  }
};

struct NodeReducer::EventVisitor {
  NodeReducer& node;

  void operator()(const Started&) const {
    node.m_started = node.m_context.Now();
    node.m_modules->members.Start(node.m_context);
    node.m_modules->configuration.Start(node.m_context,
                                        node.m_modules->members);
    node.m_context.Record(
        "instance_started", node.m_context.Self().instance.Text(),
        {{"incarnation", std::to_string(node.m_context.Self().incarnation)}});
  }
  void operator()(const Tick&) const { node.HandleTick(); }
  void operator()(const RequestArrived& event) const {
    node.m_coordinator->OnRequestArrived(node.m_context, event);
  }
  void operator()(const CallerGone& event) const {
    node.m_coordinator->OnCallerGone(node.m_context, event.request);
  }
  void operator()(const LookupArrived& event) const {
    node.HandleLookup(event);
  }
  void operator()(const OperatorCommandArrived& event) const {
    node.HandleOperatorCommand(event);
  }
  void operator()(const PeerMessageArrived& event) const {
    node.m_context.MergeTimestamp(event.sent);
    node.HandleMessage(event.from, event.message);
  }
  void operator()(const StoreReplyArrived& event) const {
    node.HandleStoreReply(event);
  }
  void operator()(const InstanceListArrived& event) const {
    node.m_modules->members.OnInstanceList(node.m_context, event.instances);
    for (const UpstreamId& upstream : event.leaving_upstreams) {
      node.m_modules->health.OnDrainSignal(node.m_context, upstream);
    }
  }
  void operator()(const ConnectionOpened& event) const {
    node.m_coordinator->Runner().OnConnectionOpened(node.m_context,
                                                    event.connection);
  }
  void operator()(const ConnectionLost& event) const {
    node.m_coordinator->Runner().OnConnectionLost(node.m_context,
                                                  event.connection);
  }
  void operator()(const UpstreamAnswered& event) const {
    node.m_coordinator->Runner().OnUpstreamAnswered(node.m_context, event);
  }
  void operator()(const ProbeCompleted& event) const {
    node.m_modules->health.OnProbe(node.m_context, event);
  }
  void operator()(const StopRequested&) const { node.HandleStopRequested(); }
  /** Ignored: applies only to deployments with registered upstreams. */
  void operator()(const SettingsReloaded&) const {}
};

NodeReducer::NodeReducer(NodeSettings settings)
    : m_context(std::move(settings.identity), settings.seed),
      m_modules(std::make_unique<NodeModules>(settings.routing)),
      m_coordinator(
          std::make_unique<RequestCoordinator>(*m_modules, settings.routing)) {}

NodeReducer::~NodeReducer() = default;

std::vector<Effect> NodeReducer::Reduce(const Event& event, ClockReading now) {
  m_context.SetNow(now);
  const bool was_paused = m_last_event.time_since_epoch().count() != 0 &&
                          now.monotonic - m_last_event > kMaxEventGap;
  m_last_event = now.monotonic;
  UpdateLastWork();
  if (was_paused && !std::holds_alternative<Tick>(event)) {
    HandleTick();
    ProcessUntilIdle();
  }
  std::visit(EventVisitor{*this}, event);
  ProcessUntilIdle();
  UpdateLastWork();
  return std::exchange(m_output, {});
}

void NodeReducer::HandleMessage(const InstanceId& from,
                                const PeerMessage& message) {
  std::visit(MessageVisitor{*this, from}, message);
}

void NodeReducer::HandleTick() {
  NodeModules& modules = *m_modules;
  modules.members.OnTick(m_context);
  ResetAfterPause();
  modules.configuration.OnTick(m_context, modules.members);
  modules.budgets.OnTick(m_context);
  modules.claims.OnTick(m_context);
  modules.suspicions.OnTick(m_context);
  for (const ServiceName& service : m_context.Catalogue().Services()) {
    modules.health.Watch(
        m_context, service,
        modules.slot_home.IsHome(m_context, modules.members, service));
  }
  modules.health.OnTick(m_context);
  modules.slot_home.OnTick(m_context, modules.members, modules.health);
  modules.slot_client.OnTick(m_context, modules.members, modules.health);
  modules.connections.OnTick(m_context);
  m_coordinator->OnTick(m_context);
  UpdatePhase();
  if (m_context.Now() >= m_next_list_fetch) {
    const std::size_t members =
        std::max(modules.members.All().size(), kListReadersAtFullRate);
    m_next_list_fetch =
        m_context.Now() + kListInterval * (members / kListReadersAtFullRate);
    m_context.Emit(FetchInstanceList{});
  }
}

void NodeReducer::HandleStoreReply(const StoreReplyArrived& event) {
  StoreClientModule module{};
  if (!m_context.TakeStoreCall(event.id, module)) {
    return;
  }
  m_modules->claims.OnStoreEra(m_context, event.reply.era);
  switch (module) {
    case StoreClientModule::kConfiguration:
      m_modules->configuration.OnStoreReply(m_context, m_modules->members,
                                            event.id, event.reply);
      return;
    case StoreClientModule::kClaims:
      m_modules->claims.OnStoreReply(m_context, event.id, event.reply);
      return;
    case StoreClientModule::kLimits:
      m_modules->budgets.OnStoreReply(m_context, event.id, event.reply);
      return;
    case StoreClientModule::kRegistry:
    case StoreClientModule::kPresence:
      // These modules belong to DispatchReducer.
      return;
  }
}

void NodeReducer::HandleOperatorCommand(const OperatorCommandArrived& event) {
  OperatorAnswer answer;
  if (std::holds_alternative<StatusCommand>(event.command)) {
    answer.document = boost::json::serialize(ToJson(MakeStatusReport()));
  } else if (const auto* timeline =
                 std::get_if<TimelineCommand>(&event.command)) {
    answer.document = boost::json::serialize(
        ToJson(m_modules->timeline.Find(timeline->subject)));
  } else if (m_refuses_work &&
             !std::holds_alternative<GetCatalogueCommand>(event.command)) {
    answer.result = OperatorResult::kUnavailable;
    answer.message = "not executed: this instance is stopping";
  } else {
    m_modules->configuration.OnOperatorCommand(m_context, m_modules->members,
                                               event);
    return;
  }
  m_context.Emit(AnswerOperator{event.request, std::move(answer)});
}

void NodeReducer::HandleLookup(const LookupArrived& event) {
  LookupAnswer answer;
  if (!m_modules->configuration.IsReady()) {
    answer.reason = RefusalReason::kNotReady;
  } else if (m_modules->configuration.IsIsolated()) {
    answer.reason = RefusalReason::kIsolated;
  } else {
    answer = m_modules->selector.Select(m_context, m_modules->members,
                                        event.service, event.client_address);
  }
  m_context.Emit(AnswerLookup{event.request, std::move(answer)});
}

void NodeReducer::HandleStopRequested() {
  if (m_stop_requested) {
    return;
  }
  m_stop_requested = m_context.Now();
  m_last_work = m_context.Now();
  SetCallerLimits closing;
  closing.intake = CallerIntake::kClosing;
  m_context.Emit(closing);
  m_modules->members.SetPhase(m_context, InstancePhase::kLeaving);
  m_context.Record(
      "stop_requested", m_context.Self().instance.Text(),
      {{"pending", std::to_string(m_coordinator->PendingCount())}});
}

void NodeReducer::ProcessUntilIdle() {
  bool any = true;
  while (any) {
    any = m_coordinator->ProcessDecisions(m_context);
    for (const UpstreamNotice& notice : m_modules->health.TakeNotices()) {
      m_context.Record("upstream_state", notice.upstream.Text(),
                       {{"state", std::string(ToString(notice.state))}});
      m_modules->members.Broadcast(m_context, notice);
      any = true;
    }
    any = DeliverOwnMessages() || any;
  }
}

bool NodeReducer::DeliverOwnMessages() {
  bool any = false;
  for (Effect& effect : m_context.TakeEffects()) {
    auto* message = std::get_if<SendPeer>(&effect);
    if (message != nullptr && message->to == m_context.Self().instance) {
      HandleMessage(message->to, message->message);
      any = true;
      continue;
    }
    if (const auto* record = std::get_if<RecordTimeline>(&effect)) {
      m_modules->timeline.Add(record->event);
    }
    m_output.push_back(std::move(effect));
  }
  return any;
}

void NodeReducer::UpdatePhase() {
  MemberTable& members = m_modules->members;
  if (!m_stop_requested) {
    const bool joined = m_context.Now() - m_started >= kJoinTime;
    if (members.Phase() == InstancePhase::kJoining && joined &&
        m_modules->configuration.IsReady()) {
      members.SetPhase(m_context, InstancePhase::kServing);
      m_context.Record(
          "serving", m_context.Self().instance.Text(),
          {{"revision", std::to_string(m_context.Catalogue().Revision())}});
    }
    return;
  }
  const Duration time_to_live =
      Milliseconds(m_context.Catalogue().Topology().lookup_ttl_ms);
  if (m_context.Now() - *m_stop_requested >= time_to_live + kLeavingMargin) {
    m_refuses_work = true;
    m_coordinator->RefuseNewRequests();
  }
  if (!m_exited && IsDrained()) {
    m_exited = true;
    m_context.Record("instance_stopped", m_context.Self().instance.Text());
    m_context.Emit(Exit{m_context.Now() + kAnswerWriteTime});
  }
}

void NodeReducer::UpdateLastWork() {
  if (m_stop_requested && HasWork()) {
    m_last_work = m_context.Now();
  }
}

bool NodeReducer::HasWork() const {
  return m_coordinator->PendingCount() > 0 ||
         m_modules->configuration.PendingCommands() > 0;
}

bool NodeReducer::IsDrained() const {
  const Duration since_work = m_context.Now() - m_last_work;
  return m_refuses_work && !HasWork() && since_work >= kExitDelay &&
         (since_work >= kRecordLimit || m_modules->claims.IsRecorded());
}

void NodeReducer::ResetAfterPause() {
  const bool recovering = m_modules->members.IsRecoveringFromPause();
  if (recovering && !m_was_recovering) {
    m_modules->slot_home.Reset();
    m_context.Record("pause_detected", m_context.Self().instance.Text());
  }
  m_was_recovering = recovering;
}

StatusReport NodeReducer::MakeStatusReport() const {
  const NodeModules& modules = *m_modules;
  StatusReport report;
  report.instance = m_context.Self().instance;
  report.region = m_context.Self().region;
  report.phase = modules.members.Phase();
  report.ready = modules.configuration.IsReady();
  report.isolated = modules.configuration.IsIsolated();
  report.store_reachable = modules.configuration.IsStoreReachable();
  report.catalogue_revision = m_context.Catalogue().Revision();
  report.catalogue_digest = m_context.Catalogue().Digest();
  report.pending_requests = m_coordinator->PendingCount();
  report.open_connections = modules.connections.Size();
  report.claims = modules.claims.Size();
  for (const auto& [instance, member] : modules.members.All()) {
    report.members.push_back(
        {instance, member.record.region, std::string(ToString(member.health)),
         member.record.phase, member.record.catalogue_revision});
  }
  for (const ServiceName& service : m_context.Catalogue().Services()) {
    const SlotUsage usage = modules.slot_home.Usage(m_context, service);
    if (usage.total > 0) {
      report.services.push_back(
          {service, usage.total, usage.busy, usage.queued});
    }
    for (const UpstreamDeclaration& upstream :
         m_context.Catalogue().FindService(service)->upstreams) {
      const UpstreamState state =
          modules.health.StateOf(m_context, upstream.id);
      if (state != UpstreamState::kServing) {
        report.upstreams.push_back({upstream.id, state});
      }
    }
  }
  return report;
}

}  // namespace kumquatcove
