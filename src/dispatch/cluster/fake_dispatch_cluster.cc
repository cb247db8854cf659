#include "dispatch/cluster/fake_dispatch_cluster.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <variant>

namespace kumquatcove {
namespace {

constexpr Duration kTick = Milliseconds(10);
// Time from the start of the processes until they know each other.
constexpr Duration kStartTime = Seconds(4);

}  // namespace

FakeDispatchCluster::FakeDispatchCluster(const std::vector<std::string>& zones,
                                         std::uint64_t seed)
    : m_random(seed) {
  for (const std::string& zone : zones) {
    m_settings.zones[zone] = zone.substr(0, zone.rfind('-'));
  }
  m_settings.resend_extra = 60;
}

void FakeDispatchCluster::AddInstance(const std::string& name,
                                      const std::string& zone) {
  Node& node = m_nodes[InstanceId(name)];
  node.identity.instance = InstanceId(name);
  node.identity.zone = ZoneName(zone);
  node.identity.region = RegionOf(node.identity.zone);
  node.identity.caller_address = name + ":1";
  node.identity.peer_address = name + ":2";
}

FakeRatedUpstream& FakeDispatchCluster::AddUpstream(const std::string& id,
                                                    const std::string& service,
                                                    const std::string& zone,
                                                    std::int32_t slots) {
  FakeRatedUpstream& upstream = m_upstreams[UpstreamId(id)];
  upstream.registration.id = UpstreamId(id);
  upstream.registration.service = ServiceName(service);
  upstream.registration.zone = ZoneName(zone);
  upstream.registration.address = id + ":80";
  upstream.registration.slots = slots;
  upstream.registration.started_ms = 1;
  upstream.registration.sequence = 1;
  rows->Put("upstreams/" + id, UpstreamRow(upstream.registration));
  return upstream;
}

void FakeDispatchCluster::Start(const std::string& routes) {
  rows->page = 10'000;
  rows->Put("operator/config", routes);
  for (const auto& [id, node] : m_nodes) {
    StartInstance(id.Text());
  }
  Schedule(m_now + kTick, [this] { TickAll(); });
  Advance(kStartTime);
}

void FakeDispatchCluster::StartInstance(const std::string& name) {
  Node& node = m_nodes.at(InstanceId(name));
  ++node.run;
  node.identity.incarnation = m_now.time_since_epoch().count();
  node.reducer = std::make_unique<DispatchReducer>(
      DispatchNodeSettings{node.identity, m_settings, m_random.Next()}, codec);
  node.table = std::make_unique<FakeTable>(rows);
  node.pending.clear();
  node.connections.clear();
  Deliver(node.identity.instance, node.run, Started{});
}

void FakeDispatchCluster::Kill(const std::string& name) {
  Node& node = m_nodes.at(InstanceId(name));
  node.reducer.reset();
  node.table.reset();
}

void FakeDispatchCluster::Freeze(const std::string& name, Duration time) {
  m_nodes.at(InstanceId(name)).frozen_until = m_now + time;
}

void FakeDispatchCluster::CutFromPeers(const std::string& name, bool cut) {
  m_nodes.at(InstanceId(name)).cut = cut;
}

void FakeDispatchCluster::Stop(const std::string& name) {
  const Node& node = m_nodes.at(InstanceId(name));
  Deliver(node.identity.instance, node.run, StopRequested{});
}

void FakeDispatchCluster::SetLoad(const std::string& instance,
                                  const FakeLoad& load) {
  Node& node = m_nodes.at(InstanceId(instance));
  const bool idle = node.load.requests_per_second <= 0;
  node.load = load;
  if (idle) {
    ScheduleArrival(node.identity.instance);
  }
}

void FakeDispatchCluster::ResetOutcomes() {
  for (auto& [id, node] : m_nodes) {
    node.outcomes = FakeOutcomes{};
  }
}

void FakeDispatchCluster::Renew(const std::string& upstream) {
  UpstreamRegistration& registration = Upstream(upstream).registration;
  ++registration.sequence;
  rows->Put("upstreams/" + upstream, UpstreamRow(registration));
}

void FakeDispatchCluster::RenewAfter(Duration delay,
                                     const std::string& upstream) {
  Schedule(m_now + delay, [this, upstream] { Renew(upstream); });
}

void FakeDispatchCluster::RestartUpstream(const std::string& upstream) {
  ++Upstream(upstream).registration.started_ms;
  Renew(upstream);
}

void FakeDispatchCluster::Lapse(const std::string& upstream) {
  rows->Remove("upstreams/" + upstream);
}

void FakeDispatchCluster::Advance(Duration time) {
  const MonotonicTime end = m_now + time;
  while (!m_actions.empty() && m_actions.begin()->first <= end) {
    m_now = std::max(m_now, m_actions.begin()->first);
    const std::function<void()> action = std::move(m_actions.begin()->second);
    m_actions.erase(m_actions.begin());
    action();
  }
  m_now = end;
}

void FakeDispatchCluster::Schedule(MonotonicTime at,
                                   std::function<void()> action) {
  m_actions.emplace(at, std::move(action));
}

void FakeDispatchCluster::Deliver(const InstanceId& id,
                                  int run,
                                  const Event& event) {
  Node& node = m_nodes.at(id);
  if (node.reducer == nullptr || node.run != run) {
    return;
  }
  if (m_now < node.frozen_until) {
    Schedule(node.frozen_until,
             [this, id, run, event] { Deliver(id, run, event); });
    return;
  }
  const std::vector<Effect> effects = node.reducer->Reduce(
      event, {m_now, WallTime{m_now.time_since_epoch().count()}});
  node.table->Take(effects);
  for (const Effect& effect : effects) {
    Execute(node, effect);
  }
}

void FakeDispatchCluster::DeliverAfter(Duration delay,
                                       const Node& node,
                                       Event event) {
  Schedule(m_now + delay,
           [this, id = node.identity.instance, run = node.run,
            event = std::move(event)] { Deliver(id, run, event); });
}

void FakeDispatchCluster::Execute(Node& node, const Effect& effect) {
  if (const auto* open = std::get_if<OpenConnection>(&effect)) {
    const FakeRatedUpstream& upstream = m_upstreams.at(open->upstream);
    node.connections[open->connection] = open->upstream;
    DeliverAfter(
        DelayBetween(node.identity.zone, upstream.registration.zone) * 2, node,
        ConnectionOpened{open->connection});
  } else if (const auto* send = std::get_if<SendUpstream>(&effect)) {
    SendToUpstream(node, *send);
  } else if (const auto* answer = std::get_if<AnswerCaller>(&effect)) {
    const auto pending = node.pending.find(answer->request);
    if (answer->answer.outcome == Outcome::kRan) {
      ++node.outcomes.answered;
    } else {
      ++node.outcomes.refused;
      node.outcomes.unknown_route +=
          answer->answer.reason == RefusalReason::kUnknownService ? 1 : 0;
      node.outcomes.slowest_refusal =
          std::max(node.outcomes.slowest_refusal, m_now - pending->second);
    }
    node.pending.erase(pending);
  } else if (const auto* peer = std::get_if<SendPeer>(&effect)) {
    SendPeerMessage(node, *peer);
  } else if (std::holds_alternative<Exit>(effect)) {
    Schedule(m_now, [this, id = node.identity.instance, run = node.run] {
      if (m_nodes.at(id).run == run) {
        Kill(id.Text());
      }
    });
  }
}

void FakeDispatchCluster::SendPeerMessage(const Node& node,
                                          const SendPeer& effect) {
  const auto receiver = m_nodes.find(effect.to);
  if (receiver == m_nodes.end() || node.cut || receiver->second.cut) {
    return;
  }
  ++peer_messages;
  if (std::holds_alternative<PermitRequest>(effect.message) ||
      std::holds_alternative<PermitGrant>(effect.message)) {
    ++permit_messages;
  }
  const Node& to = receiver->second;
  DeliverAfter(
      DelayBetween(node.identity.zone, to.identity.zone), to,
      PeerMessageArrived{node.identity.instance, effect.sent, effect.message});
}

void FakeDispatchCluster::SendToUpstream(const Node& node,
                                         const SendUpstream& effect) {
  const UpstreamId id = node.connections.at(effect.connection);
  const FakeRatedUpstream& upstream = m_upstreams.at(id);
  const Duration delay =
      DelayBetween(node.identity.zone, upstream.registration.zone);
  Schedule(m_now + delay, [this, id, instance = node.identity.instance,
                           run = node.run, connection = effect.connection] {
    FakeRatedUpstream& receiver = m_upstreams.at(id);
    receiver.arrivals.push_back(m_now);
    ++receiver.running;
    Schedule(m_now + receiver.work, [this, instance, run, connection, id] {
      AnswerFromUpstream(instance, run, connection, id);
    });
  });
}

void FakeDispatchCluster::AnswerFromUpstream(const InstanceId& instance,
                                             int run,
                                             ConnectionId connection,
                                             const UpstreamId& upstream) {
  FakeRatedUpstream& sender = m_upstreams.at(upstream);
  --sender.running;
  const Node& node = m_nodes.at(instance);
  UpstreamAnswered answer;
  answer.connection = connection;
  answer.answer.status = 200;
  answer.load =
      UpstreamLoadReport{sender.running, 0, sender.registration.slots, 100};
  answer.rate_limit = sender.rate_limit;
  Schedule(m_now + DelayBetween(node.identity.zone, sender.registration.zone),
           [this, instance, run, answer] { Deliver(instance, run, answer); });
}

void FakeDispatchCluster::PollStore(Node& node) {
  if (store_silent) {
    return;
  }
  const StoreStatus status =
      store_up ? StoreStatus::kOk : StoreStatus::kRefused;
  while (const std::optional<StoreReplyArrived> reply =
             node.table == nullptr ? std::nullopt : node.table->Reply(status)) {
    Deliver(node.identity.instance, node.run, *reply);
    if (!store_up) {
      return;
    }
  }
}

void FakeDispatchCluster::TickAll() {
  for (auto& [id, node] : m_nodes) {
    // A frozen process gets no ticks; all else is delivered when it wakes.
    if (m_now >= node.frozen_until) {
      Deliver(id, node.run, Tick{});
      PollStore(node);
    }
  }
  Schedule(m_now + kTick, [this] { TickAll(); });
}

void FakeDispatchCluster::ScheduleArrival(const InstanceId& id) {
  const Node& node = m_nodes.at(id);
  if (node.load.requests_per_second <= 0) {
    return;
  }
  const double wait_s =
      -std::log(1 - m_random.NextFraction()) / node.load.requests_per_second;
  Schedule(m_now + Duration(std::llround(wait_s * 1'000'000)), [this, id] {
    Node& receiver = m_nodes.at(id);
    const FakeLoad& load = receiver.load;
    if (receiver.reducer != nullptr && load.requests_per_second > 0) {
      RequestArrived event;
      event.request = RequestId{++m_requests};
      event.http.method = "GET";
      event.http.target = load.target;
      event.http.host = "a.example";
      event.http.deadline = load.deadline;
      event.attempt = "attempt-" + std::to_string(m_requests);
      event.object = std::to_string(
          m_random.NextBelow(static_cast<std::uint64_t>(load.objects)));
      receiver.pending[event.request] = m_now;
      Deliver(id, receiver.run, event);
    }
    ScheduleArrival(id);
  });
}

Duration FakeDispatchCluster::DelayBetween(const ZoneName& left,
                                           const ZoneName& right) const {
  return RegionOf(left) == RegionOf(right) ? kZoneDelay : kRegionDelay;
}

RegionName FakeDispatchCluster::RegionOf(const ZoneName& zone) const {
  return RegionName(m_settings.zones.at(zone.Text()));
}

}  // namespace kumquatcove
