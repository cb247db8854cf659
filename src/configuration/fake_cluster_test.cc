#include "configuration/fake_cluster.h"

#include <doctest/doctest.h>

namespace kumquatcove {
namespace {

constexpr std::int64_t kEpochMicroseconds = 1'800'000'000'000'000;

}  // namespace

FakeCluster::FakeCluster(std::size_t count,
                         FakeNetwork::Settings settings,
                         std::uint64_t seed)
    : m_network(settings, seed), m_store(seed + 1), m_seed(seed) {
  for (std::size_t index = 0; index < count; ++index) {
    FakeNode node;
    node.identity.instance = InstanceId("e" + std::to_string(index));
    node.identity.region = RegionName("r" + std::to_string(index % 3));
    node.identity.zone = ZoneName(node.identity.region.Text() + "-a");
    node.identity.peer_address = "127.0.0.1:" + std::to_string(1000 + index);
    m_nodes.push_back(std::move(node));
  }
  for (std::size_t index = 0; index < count; ++index) {
    Launch(index);
  }
}

void FakeCluster::Launch(std::size_t index) {
  FakeNode& node = m_nodes[index];
  node.identity.incarnation =
      kEpochMicroseconds + m_now.time_since_epoch().count();
  node.context = std::make_unique<Context>(node.identity, ++m_seed);
  node.members = MemberTable();
  node.configuration = ConfigurationSync();
  node.process_number = ++m_process_count;
  node.running = true;
  node.last_disturbance = m_now;
  node.frozen_until = m_now;
  Prepare(node);
  node.members.Start(*node.context);
  std::vector<ListedInstance> list;
  for (const FakeNode& other : m_nodes) {
    list.push_back({other.identity.instance, other.identity.region,
                    other.identity.zone, "", other.identity.peer_address,
                    false});
  }
  node.members.OnInstanceList(*node.context, list);
  node.configuration.Start(*node.context, node.members);
  ExecuteEffects(index);
}

void FakeCluster::SetCut(int region, bool cut) {
  m_network.SetCut(RegionName("r" + std::to_string(region)), cut);
  for (FakeNode& node : m_nodes) {
    node.last_disturbance = m_now;
  }
}

void FakeCluster::Step() {
  m_now += kTickInterval;
  m_network.Deliver(
      m_now, [&](const InstanceId& to, const PeerMessageArrived& arrived) {
        const std::size_t index = std::stoul(to.Text().substr(1));
        FakeNode& node = m_nodes[index];
        if (node.running && m_now < node.frozen_until) {
          return false;
        }
        if (node.running) {
          Deliver(node, arrived);
          ExecuteEffects(index);
        }
        return true;
      });
  m_store.Step(m_now, [&](std::size_t index, std::uint64_t process_number,
                          StoreRequestId id, const StoreReply& reply) {
    FakeNode& node = m_nodes[index];
    if (!node.running || node.process_number != process_number) {
      return true;
    }
    if (m_now < node.frozen_until) {
      return false;
    }
    Prepare(node);
    StoreClientModule module{};
    REQUIRE(node.context->TakeStoreCall(id, module));
    node.configuration.OnStoreReply(*node.context, node.members, id, reply);
    ExecuteEffects(index);
    return true;
  });
  for (std::size_t index = 0; index < m_nodes.size(); ++index) {
    FakeNode& node = m_nodes[index];
    if (!node.running) {
      continue;
    }
    if (m_now < node.frozen_until) {
      node.last_disturbance = m_now;
      continue;
    }
    Prepare(node);
    node.members.OnTick(*node.context);
    node.configuration.OnTick(*node.context, node.members);
    if (node.configuration.IsReady()) {
      node.members.SetPhase(*node.context, InstancePhase::kServing);
    }
    ExecuteEffects(index);
  }
}

void FakeCluster::Run(Duration length) {
  for (const MonotonicTime end = m_now + length; m_now < end;) {
    Step();
  }
}

RequestId FakeCluster::Command(std::size_t index,
                               const std::string& operator_name,
                               OperatorCommand command) {
  const RequestId request{++m_requests};
  FakeNode& node = m_nodes[index];
  REQUIRE(node.running);
  Prepare(node);
  node.configuration.OnOperatorCommand(
      *node.context, node.members,
      {request, OperatorName(operator_name), std::move(command)});
  ExecuteEffects(index);
  return request;
}

OperatorAnswer FakeCluster::Await(RequestId request) {
  for (int step = 0; step < 1000 && m_answers.count(request) == 0; ++step) {
    Step();
  }
  REQUIRE(m_answers.count(request) == 1);
  return m_answers.at(request);
}

void FakeCluster::Prepare(FakeNode& node) const {
  node.context->SetNow(
      {m_now, {kEpochMicroseconds + m_now.time_since_epoch().count()}});
}

void FakeCluster::Deliver(FakeNode& node, const PeerMessageArrived& arrived) {
  Prepare(node);
  Context& context = *node.context;
  if (const auto* gossip = std::get_if<Gossip>(&arrived.message)) {
    node.members.OnGossip(context, arrived.from, *gossip);
    node.configuration.OnGossip(context, node.members, arrived.from, *gossip);
  } else if (const auto* request =
                 std::get_if<CatalogueRequest>(&arrived.message)) {
    node.configuration.OnCatalogueRequest(context, node.members, arrived.from,
                                          *request);
  } else {
    node.configuration.OnCatalogueDelta(
        context, node.members, arrived.from,
        std::get<CatalogueDelta>(arrived.message));
  }
}

void FakeCluster::ExecuteEffects(std::size_t index) {
  FakeNode& node = m_nodes[index];
  for (const Effect& effect : node.context->TakeEffects()) {
    if (const auto* send = std::get_if<SendPeer>(&effect)) {
      const std::size_t target = std::stoul(send->to.Text().substr(1));
      m_network.Send(m_now, node.identity.instance, node.identity.region,
                     m_nodes[target].identity.region, *send);
    } else if (const auto* call = std::get_if<CallStore>(&effect)) {
      m_store.Call(m_now, index, node.process_number, *call);
    } else if (const auto* answer = std::get_if<AnswerOperator>(&effect)) {
      // An operator must receive exactly one answer.
      REQUIRE(m_answers.emplace(answer->request, answer->answer).second);
    }
  }
}

}  // namespace kumquatcove
