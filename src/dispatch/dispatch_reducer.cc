#include "dispatch/dispatch_reducer.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <variant>

namespace kumquatcove {
namespace {

// Events arrive at least once a tick, so a longer gap means that the process or
// its machine was suspended.
constexpr Duration kPauseThreshold = Seconds(1);

// A longer gap between events means that the process didn't run. A stop that is
// requested right after it may have been requested during it.
constexpr Duration kStallThreshold = Milliseconds(100);
// Longest time by which a stop is taken to have begun earlier than it was seen.
constexpr Duration kMaxSignalDelay = Milliseconds(450);

// Time for events of the transport to reach the reducer.
constexpr Duration kIntakeDelay = Milliseconds(50);

// Memory bounds what an instance may buffer, since bodies are read whole; the
// platform's limit on bodies may be higher.
constexpr std::int64_t kMaxBufferedBody = 32LL << 20U;

Duration FromSeconds(double seconds) {
  return Duration(std::llround(seconds * 1'000'000));
}

}  // namespace

struct DispatchReducer::EventVisitor {
  DispatchReducer& reducer;

  void operator()(const Started&) const { reducer.HandleStarted(); }
  void operator()(const Tick&) const { reducer.HandleTick(); }
  void operator()(const RequestArrived& event) const {
    reducer.m_dispatcher.OnRequestArrived(reducer.m_context, event);
  }
  void operator()(const CallerGone& event) const {
    reducer.m_dispatcher.OnCallerGone(reducer.m_context, event.request);
  }
  void operator()(const LookupArrived& event) const {
    reducer.HandleLookup(event);
  }
  void operator()(const OperatorCommandArrived& event) const {
    reducer.HandleOperatorCommand(event);
  }
  void operator()(const PeerMessageArrived& event) const {
    reducer.m_dispatcher.OnPeerContact(event.from);
    if (const auto* gossip = std::get_if<Gossip>(&event.message)) {
      reducer.m_presence.OnHeartbeat(reducer.m_context, *gossip);
      for (const MemberRecord& record : gossip->records) {
        reducer.m_registry.OnPeerConfigurationVersion(record.catalogue_revision,
                                                      reducer.m_context.Now());
      }
    } else if (const auto* suspicion = std::get_if<Suspicion>(&event.message)) {
      reducer.m_dispatcher.OnSuspicion(reducer.m_context, *suspicion);
    } else if (const auto* digest = std::get_if<LoadDigest>(&event.message)) {
      reducer.m_dispatcher.OnLoadDigest(reducer.m_context, event.from, *digest);
      reducer.m_registry.OnPeerVersions(
          {digest->operator_version, digest->upstreams_version,
           digest->store_era},
          reducer.m_context.Now());
    } else if (const auto* request =
                   std::get_if<PermitRequest>(&event.message)) {
      reducer.m_dispatcher.OnPermitRequest(reducer.m_context, event.from,
                                           *request);
    } else if (const auto* grant = std::get_if<PermitGrant>(&event.message)) {
      reducer.m_dispatcher.OnPermitGrant(reducer.m_context, event.from, *grant);
    }
  }
  void operator()(const StoreReplyArrived& event) const {
    reducer.HandleStoreReply(event);
  }
  void operator()(const InstanceListArrived&) const {}
  void operator()(const ConnectionOpened& event) const {
    reducer.m_dispatcher.OnConnectionOpened(reducer.m_context,
                                            event.connection);
  }
  void operator()(const ConnectionLost& event) const {
    reducer.m_dispatcher.OnConnectionLost(reducer.m_context, event);
  }
  void operator()(const UpstreamAnswered& event) const {
    reducer.m_dispatcher.OnUpstreamAnswered(reducer.m_context, event);
  }
  void operator()(const ProbeCompleted&) const {}
  void operator()(const StopRequested&) const { reducer.HandleStopRequested(); }
  void operator()(const SettingsReloaded& event) const {
    reducer.HandleSettings(event.dispatch);
  }
};

struct DispatchReducer::ChangeVisitor {
  DispatchReducer& reducer;

  void operator()(const RoutesChanged& change) const {
    reducer.m_dispatcher.SetRoutes(change.routes);
    reducer.m_presence.SetConfiguration(reducer.m_context,
                                        change.routes->Version());
    reducer.ApplyCallerLimits();
  }
  void operator()(const UpstreamRegistered& change) const {
    reducer.m_dispatcher.OnUpstreamRegistered(reducer.m_context,
                                              change.registration);
  }
  void operator()(const UpstreamRemoved& change) const {
    reducer.m_dispatcher.OnUpstreamGone(reducer.m_context, change.id);
  }
  void operator()(const EvacuationChanged& change) const {
    reducer.m_dispatcher.OnEvacuationChanged(change.zone, change.evacuated);
  }
  void operator()(const EntryRegistered& change) const {
    reducer.m_presence.OnRegistered(reducer.m_context, change.registration);
  }
  void operator()(const EntryRemoved& change) const {
    reducer.m_presence.OnRemoved(change.instance);
  }
  void operator()(const StoreRestored& /*change*/) const {
    reducer.m_presence.OnStoreRestored(reducer.m_context);
  }
};

DispatchReducer::DispatchReducer(const DispatchNodeSettings& settings,
                                 const RegistryCodec& codec)
    : m_context(settings.identity, settings.seed),
      m_settings(settings.dispatch),
      m_registry(codec, FromSeconds(settings.dispatch.drain_s)),
      m_presence(codec.KeyPrefix(RegistryTable::kEntries)),
      m_dispatcher(settings.identity, settings.dispatch) {}

std::vector<Effect> DispatchReducer::Reduce(const Event& event,
                                            ClockReading now) {
  m_context.SetNow(now);
  if (!std::holds_alternative<Started>(event)) {
    DetectPause();
  }
  const bool is_first = m_last_event == MonotonicTime{};
  if (!is_first && m_context.Now() - m_last_event >= kStallThreshold) {
    m_stall_begin = m_last_event;
    m_stall_end = m_context.Now();
  }
  m_last_event = m_context.Now();
  std::visit(EventVisitor{*this}, event);
  ApplyChanges();
  m_dispatcher.ExchangePermits(m_context, m_presence);
  BroadcastSuspicions();
  return m_context.TakeEffects();
}

void DispatchReducer::HandleStarted() {
  m_context.Record("instance_started", m_context.Self().instance.Text(),
                   {{"zone", m_context.Self().zone.Text()},
                    {"region", m_context.Self().region.Text()}});
  m_context.Emit(SetReadiness{false});
  m_registry.Restart(m_context);
}

void DispatchReducer::HandleTick() {
  m_registry.SetShortWatches(m_presence.IsFirstOfRegion(m_context));
  m_registry.OnTick(m_context);
  m_presence.OnTick(m_context);
  ApplyChanges();
  m_dispatcher.SetInstanceCounts(
      {m_presence.CountRegistered(m_context.Self().region),
       m_presence.CountRegistered(), m_presence.RankInRegion(m_context.Self()),
       m_registry.HasReadEntries()});
  UpdatePhase();
  m_dispatcher.OnTick(m_context);
  ShareLoad();
  ExitWhenDone();
}

void DispatchReducer::DetectPause() {
  if (m_context.Now() - m_last_event < kPauseThreshold) {
    return;
  }
  m_context.Record(
      "pause_detected", m_context.Self().instance.Text(),
      {{"duration_us",
        std::to_string((m_context.Now() - m_last_event).count())}});
  // Expires requests whose deadline has passed, so that delayed events don't
  // send them.
  m_dispatcher.OnTick(m_context);
  m_registry.Restart(m_context);
  if (m_registry.HasReadEntries()) {
    m_registry.ReadEntries(m_context);
  }
}

void DispatchReducer::HandleStoreReply(const StoreReplyArrived& event) {
  StoreClientModule module{};
  if (!m_context.TakeStoreCall(event.id, module)) {
    return;
  }
  switch (module) {
    case StoreClientModule::kRegistry:
      m_registry.OnReply(m_context, event.id, event.reply);
      ApplyChanges();
      UpdatePhase();
      return;
    case StoreClientModule::kPresence:
      if (m_presence.OnReply(m_context, event.id, event.reply)) {
        m_registry.ReadEntries(m_context);
      }
      return;
    case StoreClientModule::kConfiguration:
    case StoreClientModule::kClaims:
    case StoreClientModule::kLimits:
      return;
  }
}

void DispatchReducer::ApplyChanges() {
  for (const RegistryChange& change : m_registry.TakeChanges()) {
    std::visit(ChangeVisitor{*this}, change);
  }
}

void DispatchReducer::UpdatePhase() {
  const bool ready = m_registry.IsReady(m_context.Now()) && !m_stop_requested;
  if (ready == m_ready) {
    return;
  }
  m_ready = ready;
  if (!m_stop_requested) {
    m_dispatcher.SetReady(ready);
    m_presence.SetPhase(
        m_context, ready ? InstancePhase::kServing : InstancePhase::kJoining);
  }
  m_context.Emit(SetReadiness{ready});
}

void DispatchReducer::ApplyCallerLimits() {
  const CallerLimits& limits = m_registry.Routes()->Configuration().limits;
  m_context.Emit(
      SetCallerLimits{limits.max_header_bytes,
                      std::min(limits.max_body_bytes, kMaxBufferedBody),
                      limits.idle_timeout, m_intake});
}

void DispatchReducer::HandleLookup(const LookupArrived& event) {
  const Duration time_to_live =
      std::min(kLookupTimeToLive, FromSeconds(m_settings.max_lookup_ttl_s));
  m_context.Emit(AnswerLookup{
      event.request, m_presence.Answer(m_context, event.zone, time_to_live)});
}

void DispatchReducer::HandleOperatorCommand(
    const OperatorCommandArrived& event) {
  // The operator of such a deployment writes to the platform's store.
  OperatorAnswer answer;
  answer.result = OperatorResult::kUnavailable;
  answer.message = "this deployment is configured through the platform's store";
  m_context.Emit(AnswerOperator{event.request, std::move(answer)});
}

void DispatchReducer::HandleSettings(const DispatchSettings& settings) {
  m_settings = settings;
  m_dispatcher.SetSettings(settings);
  m_registry.SetDrainLimit(FromSeconds(settings.drain_s));
  m_context.Record("settings_reloaded", m_context.Self().instance.Text());
}

void DispatchReducer::HandleStopRequested() {
  if (m_stop_requested) {
    return;
  }
  m_stop_requested = FindStopBegin();
  m_context.Record("stop_requested", m_context.Self().instance.Text(),
                   {{"pending", std::to_string(m_dispatcher.PendingCount())}});
  m_stop_schedule.emplace(*m_stop_requested, FromSeconds(m_settings.grace_s));
  m_dispatcher.BeginStop(m_context, *m_stop_schedule);
  m_presence.SetPhase(m_context, InstancePhase::kLeaving);
  m_intake = CallerIntake::kClosing;
  UpdatePhase();
  ApplyCallerLimits();
}

MonotonicTime DispatchReducer::FindStopBegin() const {
  const MonotonicTime now = m_context.Now();
  const bool after_stall = now - m_stall_end < kStallThreshold;
  return after_stall ? std::max(m_stall_begin, now - kMaxSignalDelay) : now;
}

void DispatchReducer::ShareLoad() {
  // Finding the receivers is skipped unless a digest may be due.
  if (!m_dispatcher.IsDigestDue(1, m_context.Now())) {
    return;
  }
  const std::vector<InstanceAddress> receivers =
      m_presence.FindLoadReceivers(m_context);
  if (!m_dispatcher.IsDigestDue(receivers.size(), m_context.Now())) {
    return;
  }
  LoadDigest digest = m_dispatcher.MakeDigest(m_context.Now());
  const NewestRowVersions seen = m_registry.NewestVersions();
  digest.operator_version = seen.operators;
  digest.upstreams_version = seen.upstreams;
  digest.store_era = seen.era;
  for (const InstanceAddress& receiver : receivers) {
    m_context.SendTo(receiver.instance, receiver.peer_address, digest);
  }
}

void DispatchReducer::BroadcastSuspicions() {
  for (const Suspicion& suspicion : m_dispatcher.TakeSuspicions()) {
    m_presence.Broadcast(m_context, suspicion);
  }
}

void DispatchReducer::ExitWhenDone() {
  if (!m_stop_schedule || m_exited) {
    return;
  }
  const MonotonicTime now = m_context.Now();
  const Duration stopping = now - *m_stop_requested;
  if (now >= m_stop_schedule->IntakeEnd() &&
      m_intake != CallerIntake::kClosed) {
    m_intake = CallerIntake::kClosed;
    ApplyCallerLimits();
    RecordStopStage("intake_closed", stopping);
    // Requests that were read before this effect may not have arrived here yet.
    m_closed = now;
    return;
  }
  const bool done = m_intake == CallerIntake::kClosed &&
                    m_dispatcher.PendingCount() == 0 &&
                    now >= m_closed + kIntakeDelay;
  if (done || now >= m_stop_schedule->ExitEnd()) {
    m_exited = true;
    RecordStopStage("instance_stopped", stopping);
    m_context.Emit(Exit{m_stop_schedule->ExitEnd()});
  }
}

void DispatchReducer::RecordStopStage(const char* event, Duration stopping) {
  m_context.Record(event, m_context.Self().instance.Text(),
                   {{"pending", std::to_string(m_dispatcher.PendingCount())},
                    {"sent", std::to_string(m_dispatcher.SentCount())},
                    {"stopping_us", std::to_string(stopping.count())}});
}

}  // namespace kumquatcove
