#include "tests/fake_deployment.h"

#include <algorithm>
#include <cassert>
#include <stdexcept>
#include <tuple>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "base/json_codec.h"
#include "configuration/catalogue_rows.h"

namespace kumquatcove {

struct FakeDeployment::Node {
  InstanceId instance;
  std::int64_t incarnation = 0;
  RegionName region;
  ZoneName zone;
  std::unique_ptr<NodeReducer> reducer;
  bool frozen = false;
  bool exited = false;
  std::deque<Event> waiting;
  std::set<ConnectionId> connections;
};

struct FakeDeployment::EffectVisitor {
  FakeDeployment& deployment;
  Node& node;

  FakeConnection Key(ConnectionId connection) const {
    return {node.instance, node.incarnation, connection};
  }
  void operator()(const SendPeer& effect) const {
    ++deployment.m_peer_messages;
    const auto target = deployment.m_nodes.find(effect.to);
    const bool lost =
        deployment.random.NextBelow(1000) < deployment.lost_messages_permille;
    if (target == deployment.m_nodes.end() || lost ||
        deployment.IsCut(node.region, target->second->region)) {
      return;
    }
    deployment.DeliverAfter(
        deployment.DelayBetween(node.region, target->second->region), effect.to,
        target->second->incarnation,
        PeerMessageArrived{node.instance, effect.sent, effect.message});
  }
  void operator()(const CallStore& effect) const {
    deployment.CallStoreOf(node, effect);
  }
  void operator()(const FetchInstanceList&) const {
    InstanceListArrived list;
    for (const auto& [instance, other] : deployment.m_nodes) {
      list.instances.push_back({instance, other->region, other->zone,
                                instance.Text(), instance.Text(), false});
    }
    deployment.DeliverAfter(Milliseconds(5), node.instance, node.incarnation,
                            std::move(list));
  }
  void operator()(const OpenConnection& effect) const {
    const FakeConnection key = Key(effect.connection);
    const UpstreamId upstream = effect.upstream;
    FakeDeployment& owner = deployment;
    node.connections.insert(effect.connection);
    owner.After(Milliseconds(1), [&owner, key, upstream] {
      const bool opened = owner.upstreams.Open(upstream, key);
      owner.Deliver(key.instance, key.incarnation,
                    opened ? Event(ConnectionOpened{key.connection})
                           : Event(ConnectionLost{key.connection}));
    });
  }
  void operator()(const SendUpstream& effect) const {
    const FakeConnection key = Key(effect.connection);
    FakeDeployment& owner = deployment;
    owner.After(owner.m_delays.same_region, [&owner, key, http = effect.http] {
      owner.upstreams.Receive(key, http);
    });
  }
  void operator()(const CloseConnection& effect) const {
    const FakeConnection key = Key(effect.connection);
    FakeDeployment& owner = deployment;
    node.connections.erase(effect.connection);
    owner.After(owner.m_delays.same_region,
                [&owner, key] { owner.upstreams.Close(key); });
  }
  void operator()(const ProbeUpstream& effect) const {
    const FakeUpstream& upstream = deployment.upstreams.At(effect.upstream);
    const bool healthy = deployment.Now() >= upstream.down_until;
    deployment.DeliverAfter(
        Milliseconds(6), node.instance, node.incarnation,
        ProbeCompleted{effect.upstream, healthy, upstream.draining,
                       upstream.running +
                           static_cast<std::int32_t>(upstream.queue.size())});
  }
  void operator()(const AnswerCaller& effect) const {
    if (deployment.m_answers.contains(effect.request)) {
      throw std::logic_error("a request was answered twice");
    }
    deployment.m_answers[effect.request] = {
        effect.answer, deployment.m_now - deployment.m_sent[effect.request]};
  }
  void operator()(const AnswerLookup& effect) const {
    deployment.m_lookup_answers[effect.request] = effect.answer;
  }
  void operator()(const AnswerOperator& effect) const {
    deployment.m_command_answers[effect.request] = effect.answer;
  }
  void operator()(const RecordTimeline&) const {}
  // Effects of DispatchReducer.
  void operator()(const SetReadiness&) const {}
  void operator()(const SetCallerLimits&) const {}
  void operator()(const Exit&) const { node.exited = true; }
};

FakeDeployment::FakeDeployment(std::uint64_t seed,
                               const std::vector<EntryBody>& entries,
                               RegionName store_region,
                               FakeDelays delays)
    : random(seed), m_store_region(std::move(store_region)), m_delays(delays) {
  upstreams.after = [this](Duration delay, std::function<void()> action) {
    After(delay, std::move(action));
  };
  upstreams.now = [this] { return m_now; };
  upstreams.answered = [this](const FakeConnection& key,
                              const HttpAnswer& answer, bool draining) {
    DeliverAfter(
        m_delays.same_region, key.instance, key.incarnation,
        UpstreamAnswered{key.connection, answer, true, draining, false});
  };
  upstreams.lost = [this](const FakeConnection& key) {
    DeliverAfter(m_delays.same_region, key.instance, key.incarnation,
                 ConnectionLost{key.connection});
  };
  for (const EntryBody& body : entries) {
    if (const auto* topology = std::get_if<TopologyEntry>(&body)) {
      for (const RegionDeclaration& region : topology->regions) {
        for (const ZoneName& zone : region.zones) {
          m_zones[zone] = region.name;
        }
      }
    }
  }
  for (const EntryBody& body : entries) {
    if (const auto* service = std::get_if<ServiceEntry>(&body)) {
      for (const UpstreamDeclaration& upstream : service->upstreams) {
        upstreams.At(upstream.id).slots = service->limits.slots_per_upstream;
      }
    }
  }
  CommitCatalogue(entries);
}

void FakeDeployment::CommitCatalogue(const std::vector<EntryBody>& entries) {
  CatalogueSnapshot snapshot;
  snapshot.revision = 1;
  StoreTransaction commit;
  for (const EntryBody& body : entries) {
    snapshot.entries.push_back(
        {1, WallTime{m_now.time_since_epoch().count()}, body});
    commit.mutations.push_back(
        {EntryKey(EntryName(body)), EncodeRow(snapshot.entries.back())});
  }
  const HeadRow head{1, CatalogueIndex(snapshot).Digest()};
  commit.mutations.push_back({std::string(kHeadKey), EncodeRow(head)});
  store.Apply(StoreWrite{{commit}});
}

FakeDeployment::~FakeDeployment() = default;

void FakeDeployment::StartInstance(const InstanceId& instance,
                                   const ZoneName& zone,
                                   RoutingSettings routing) {
  auto node = std::make_unique<Node>();
  node->instance = instance;
  node->incarnation = m_now.time_since_epoch().count();
  node->zone = zone;
  node->region = m_zones.at(zone);
  NodeSettings settings;
  settings.identity = {instance, node->incarnation, node->region,
                       zone,     instance.Text(),   instance.Text()};
  settings.routing = routing;
  settings.seed = random.Next();
  node->reducer = std::make_unique<NodeReducer>(std::move(settings));
  Node& started = *(m_nodes[instance] = std::move(node));
  Reduce(started, Started{});
  ScheduleTick(instance, started.incarnation);
}

void FakeDeployment::Kill(const InstanceId& instance) {
  const auto found = m_nodes.find(instance);
  assert(found != m_nodes.end());
  Node& node = *found->second;
  for (const ConnectionId connection : node.connections) {
    upstreams.Close({node.instance, node.incarnation, connection});
  }
  m_nodes.erase(found);
}

void FakeDeployment::Freeze(const InstanceId& instance) {
  m_nodes.at(instance)->frozen = true;
}

void FakeDeployment::Thaw(const InstanceId& instance) {
  Node& node = *m_nodes.at(instance);
  node.frozen = false;
  for (const Event& event : std::exchange(node.waiting, {})) {
    Reduce(node, event);
  }
}

bool FakeDeployment::IsRunning(const InstanceId& instance) const {
  const auto found = m_nodes.find(instance);
  return found != m_nodes.end() && !found->second->frozen;
}

void FakeDeployment::RequestStop(const InstanceId& instance) {
  Deliver(instance, m_nodes.at(instance)->incarnation, StopRequested{});
}

bool FakeDeployment::HasExited(const InstanceId& instance) const {
  return m_nodes.at(instance)->exited;
}

RequestId FakeDeployment::Send(const InstanceId& instance, HttpRequest http) {
  const RequestId request = NextRequest();
  const auto node = m_nodes.find(instance);
  if (node != m_nodes.end()) {
    Deliver(instance, node->second->incarnation,
            RequestArrived{request, std::move(http)});
  }
  return request;
}

RequestId FakeDeployment::Command(const InstanceId& instance,
                                  const OperatorName& name,
                                  OperatorCommand command) {
  const RequestId request = NextRequest();
  Deliver(instance, m_nodes.at(instance)->incarnation,
          OperatorCommandArrived{request, name, std::move(command)});
  return request;
}

RequestId FakeDeployment::Lookup(const InstanceId& instance,
                                 const std::string& service,
                                 const std::string& client_address) {
  const RequestId request = NextRequest();
  Deliver(instance, m_nodes.at(instance)->incarnation,
          LookupArrived{request, service, client_address});
  return request;
}

const FakeAnswer* FakeDeployment::Answer(RequestId request) const {
  const auto found = m_answers.find(request);
  return found == m_answers.end() ? nullptr : &found->second;
}

const OperatorAnswer* FakeDeployment::CommandAnswer(RequestId request) const {
  const auto found = m_command_answers.find(request);
  return found == m_command_answers.end() ? nullptr : &found->second;
}

const LookupAnswer* FakeDeployment::LookupResult(RequestId request) const {
  const auto found = m_lookup_answers.find(request);
  return found == m_lookup_answers.end() ? nullptr : &found->second;
}

StatusReport FakeDeployment::Status(const InstanceId& instance) {
  const RequestId request =
      Command(instance, OperatorName("test"), StatusCommand{});
  return FromJson<StatusReport>(
      boost::json::parse(m_command_answers.at(request).document));
}

void FakeDeployment::Run(Duration duration) {
  const MonotonicTime end = m_now + duration;
  while (!m_actions.empty() && m_actions.top().time <= end) {
    const Action action = m_actions.top();
    m_actions.pop();
    m_now = action.time;
    action.run();
  }
  m_now = end;
}

void FakeDeployment::After(Duration delay, std::function<void()> action) {
  m_actions.push({m_now + delay, ++m_order, std::move(action)});
}

void FakeDeployment::Deliver(const InstanceId& instance,
                             std::int64_t incarnation,
                             Event event) {
  const auto found = m_nodes.find(instance);
  if (found == m_nodes.end() || found->second->incarnation != incarnation ||
      found->second->exited) {
    return;
  }
  Node& node = *found->second;
  if (!node.frozen) {
    Reduce(node, event);
  } else if (!std::holds_alternative<Tick>(event)) {
    node.waiting.push_back(std::move(event));
  }
}

void FakeDeployment::DeliverAfter(Duration delay,
                                  const InstanceId& instance,
                                  std::int64_t incarnation,
                                  Event event) {
  After(delay, [this, instance, incarnation, event = std::move(event)] {
    Deliver(instance, incarnation, event);
  });
}

void FakeDeployment::Reduce(Node& node, const Event& event) {
  const ClockReading now{m_now, WallTime{m_now.time_since_epoch().count()}};
  for (const Effect& effect : node.reducer->Reduce(event, now)) {
    if (on_effect) {
      on_effect(node.instance, effect);
    }
    std::visit(EffectVisitor{*this, node}, effect);
  }
}

void FakeDeployment::ScheduleTick(const InstanceId& instance,
                                  std::int64_t incarnation) {
  After(kTickInterval, [this, instance, incarnation] {
    const auto found = m_nodes.find(instance);
    if (found == m_nodes.end() || found->second->incarnation != incarnation) {
      return;
    }
    Deliver(instance, incarnation, Tick{});
    ScheduleTick(instance, incarnation);
  });
}

void FakeDeployment::CallStoreOf(Node& node, const CallStore& call) {
  const Duration one_way = DelayBetween(node.region, m_store_region);
  const InstanceId instance = node.instance;
  const std::int64_t incarnation = node.incarnation;
  const bool unreachable =
      store.faults.silent || IsCut(node.region, m_store_region);
  const bool lost = random.NextBelow(1000) < store.faults.lost_replies_permille;
  StoreReply unknown;
  unknown.status = StoreStatus::kUnknown;
  if (store.faults.down && !unreachable) {
    StoreReply refused;
    refused.status = StoreStatus::kRefused;
    DeliverAfter(2 * one_way, instance, incarnation,
                 StoreReplyArrived{call.id, refused});
    return;
  }
  const Duration until_reply = 2 * one_way + store.faults.delay;
  const bool in_time = !unreachable && !lost && until_reply < call.timeout;
  if (!unreachable) {
    After(one_way + store.faults.delay,
          [this, call, in_time, one_way, instance, incarnation] {
            StoreReply reply = store.Apply(call.operation);
            if (in_time) {
              DeliverAfter(one_way, instance, incarnation,
                           StoreReplyArrived{call.id, std::move(reply)});
            }
          });
  }
  if (!in_time) {
    DeliverAfter(call.timeout, instance, incarnation,
                 StoreReplyArrived{call.id, unknown});
  }
}

Duration FakeDeployment::DelayBetween(const RegionName& a,
                                      const RegionName& b) const {
  return a == b ? m_delays.same_region : m_delays.other_region;
}

bool FakeDeployment::IsCut(const RegionName& a, const RegionName& b) const {
  return m_cuts.contains(std::minmax(a, b));
}

RequestId FakeDeployment::NextRequest() {
  const RequestId request{++m_requests};
  m_sent[request] = m_now;
  return request;
}

}  // namespace kumquatcove
