#include "membership/member_table.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <memory>
#include <string>
#include <vector>

#include "membership/fake_network.h"

namespace kumquatcove {
namespace {

constexpr std::int64_t kEpochMicroseconds = 1'800'000'000'000'000;

struct TestNode {
  Identity identity;
  std::unique_ptr<Context> context;
  MemberTable table;
  bool running = false;
  MonotonicTime frozen_until;
  MonotonicTime killed;
  /** Time of the last start, freeze, thaw or change of a partition. */
  MonotonicTime last_disturbance;
};

/** Member tables of several nodes in three regions, connected by a
 * FakeNetwork. */
class TableCluster {
 public:
  TableCluster(int count, FakeNetwork::Settings settings, std::uint64_t seed)
      : m_network(settings, seed), m_seed(seed) {
    for (int index = 0; index < count; ++index) {
      TestNode node;
      node.identity.instance = InstanceId("e" + std::to_string(index));
      node.identity.region = RegionName("r" + std::to_string(index % 3));
      node.identity.zone = ZoneName(node.identity.region.Text() + "-a");
      node.identity.peer_address = "127.0.0.1:" + std::to_string(1000 + index);
      m_nodes.push_back(std::move(node));
    }
    for (std::size_t index = 0; index < m_nodes.size(); ++index) {
      Launch(index, m_now.time_since_epoch().count());
    }
  }

  /** Starts a process whose wall clock is off by `clock_error` microseconds. */
  void Launch(std::size_t index, std::int64_t clock_error) {
    TestNode& node = m_nodes[index];
    node.identity.incarnation =
        kEpochMicroseconds + m_now.time_since_epoch().count() + clock_error;
    node.context = std::make_unique<Context>(node.identity, ++m_seed);
    node.table = MemberTable();
    node.running = true;
    node.last_disturbance = m_now;
    Prepare(node);
    node.table.Start(*node.context);
    std::vector<ListedInstance> list;
    for (const TestNode& other : m_nodes) {
      list.push_back({other.identity.instance, other.identity.region,
                      other.identity.zone, "", other.identity.peer_address,
                      false});
    }
    node.table.OnInstanceList(*node.context, list);
    node.table.SetPhase(*node.context, InstancePhase::kServing);
    ExecuteEffects(node);
  }

  void Kill(std::size_t index) {
    m_nodes[index].running = false;
    m_nodes[index].killed = m_now;
  }

  void Freeze(std::size_t index, Duration length) {
    m_nodes[index].frozen_until = m_now + length;
  }

  void SetCut(int region, bool cut) {
    m_network.SetCut(RegionName("r" + std::to_string(region)), cut);
    for (TestNode& node : m_nodes) {
      node.last_disturbance = m_now;
    }
  }

  void Step() {
    m_now += kTickInterval;
    m_network.Deliver(
        m_now, [&](const InstanceId& to, const PeerMessageArrived& arrived) {
          TestNode& node = *std::find_if(
              m_nodes.begin(), m_nodes.end(),
              [&](const TestNode& n) { return n.identity.instance == to; });
          if (!node.running) {
            return true;
          }
          if (m_now < node.frozen_until) {
            return false;
          }
          Prepare(node);
          node.table.OnGossip(*node.context, arrived.from,
                              std::get<Gossip>(arrived.message));
          ExecuteEffects(node);
          return true;
        });
    for (TestNode& node : m_nodes) {
      if (!node.running) {
        continue;
      }
      if (m_now < node.frozen_until) {
        node.last_disturbance = m_now;
        continue;
      }
      Prepare(node);
      node.table.OnTick(*node.context);
      ExecuteEffects(node);
    }
  }

  void Run(Duration length) {
    for (const MonotonicTime end = m_now + length; m_now < end;) {
      Step();
    }
  }

  std::vector<TestNode>& Nodes() { return m_nodes; }
  MonotonicTime Now() const { return m_now; }
  bool HasHealth(std::size_t viewer, std::size_t subject, MemberHealth health) {
    const Member* member =
        m_nodes[viewer].table.Find(m_nodes[subject].identity.instance);
    return member != nullptr && member->health == health;
  }
  bool IsUndisturbed(const TestNode& node, Duration length) const {
    return node.running && m_now - node.last_disturbance > length;
  }

 private:
  void Prepare(TestNode& node) {
    node.context->SetNow(
        {m_now, {kEpochMicroseconds + m_now.time_since_epoch().count()}});
  }

  void ExecuteEffects(TestNode& node) {
    for (const Effect& effect : node.context->TakeEffects()) {
      if (const auto* send = std::get_if<SendPeer>(&effect)) {
        for (const TestNode& target : m_nodes) {
          if (target.identity.instance == send->to) {
            m_network.Send(m_now, node.identity.instance, node.identity.region,
                           target.identity.region, *send);
          }
        }
      }
    }
  }

  MonotonicTime m_now{Seconds(1)};
  FakeNetwork m_network;
  std::uint64_t m_seed;
  std::vector<TestNode> m_nodes;
};

}  // namespace

TEST_CASE(
    "Under random kills, restarts, freezes, partitions and message loss, a "
    "running and connected instance is never considered dead") {
  CHECK(rc::check([](std::uint64_t seed) {
    Random random(seed);
    TableCluster cluster(10, {static_cast<std::int64_t>(random.NextBelow(200))},
                         seed);
    std::vector<bool> cut(3, false);
    for (int step = 0; step < 2000; ++step) {
      const std::size_t target = random.NextBelow(10);
      switch (random.NextBelow(600)) {
        case 0:
          cluster.Kill(target);
          break;
        case 1:
          cluster.Freeze(
              target,
              Milliseconds(static_cast<std::int64_t>(random.NextBelow(6000))));
          break;
        case 2:
          cut[target % 3] = !cut[target % 3];
          cluster.SetCut(static_cast<int>(target % 3), cut[target % 3]);
          break;
        case 3:
        case 4:
          if (!cluster.Nodes()[target].running) {
            // The clock of the new process may be behind its predecessor's.
            cluster.Launch(
                target,
                static_cast<std::int64_t>(random.NextBelow(100)) * -1'000'000);
          }
          break;
        default:
          break;
      }
      cluster.Step();
      if (cut != std::vector<bool>(3, false)) {
        continue;
      }
      for (std::size_t viewer = 0; viewer < 10; ++viewer) {
        for (std::size_t subject = 0; subject < 10; ++subject) {
          if (cluster.IsUndisturbed(cluster.Nodes()[viewer], Seconds(4)) &&
              cluster.IsUndisturbed(cluster.Nodes()[subject], Seconds(4))) {
            RC_ASSERT(!cluster.HasHealth(viewer, subject, MemberHealth::kDead));
            RC_ASSERT(cluster.Nodes()[viewer].table.Find(
                          cluster.Nodes()[subject].identity.instance) !=
                      nullptr);
          }
        }
      }
    }
  }));
}

TEST_CASE(
    "A killed instance is removed from the serving instances of every node "
    "within 1.2 s and is dead after 3.2 s, also if its records were forwarded "
    "by other instances") {
  CHECK(rc::check([](std::uint64_t seed) {
    Random random(seed);
    TableCluster cluster(10, {0, Milliseconds(1), Milliseconds(60)}, seed);
    cluster.Run(
        Milliseconds(6000 + static_cast<std::int64_t>(random.NextBelow(1000))));
    const std::size_t victim = random.NextBelow(10);
    cluster.Kill(victim);
    const TestNode& killed = cluster.Nodes()[victim];
    cluster.Run(Milliseconds(1200));
    for (std::size_t viewer = 0; viewer < 10; ++viewer) {
      const std::vector<InstanceId> serving =
          cluster.Nodes()[viewer].table.ServingIn(killed.identity.region);
      if (viewer != victim) {
        RC_ASSERT(std::count(serving.begin(), serving.end(),
                             killed.identity.instance) == 0);
        RC_ASSERT(serving.size() >= 2U);
      }
    }
    cluster.Run(Milliseconds(2000));
    for (std::size_t viewer = 0; viewer < 10; ++viewer) {
      if (viewer != victim) {
        const MemberTable& table = cluster.Nodes()[viewer].table;
        RC_ASSERT(cluster.HasHealth(viewer, victim, MemberHealth::kDead));
        RC_ASSERT(table.HasIncarnationEnded(
            killed.identity.instance, killed.context->Self().incarnation));
        RC_ASSERT(!table.HasIncarnationEnded(
            killed.identity.instance, killed.context->Self().incarnation + 1));
      }
    }
  }));
}

TEST_CASE(
    "A restarted process whose clock went backwards gets a higher incarnation, "
    "so that its records aren't ignored as outdated") {
  TableCluster cluster(6, {}, 3);
  cluster.Run(Seconds(2));
  const std::int64_t before = cluster.Nodes()[0].context->Self().incarnation;
  cluster.Kill(0);
  cluster.Run(Milliseconds(500));
  cluster.Launch(0, -50'000'000);
  cluster.Run(Seconds(1));
  const Identity& self = cluster.Nodes()[0].context->Self();
  CHECK(self.incarnation > before);
  for (std::size_t viewer = 1; viewer < 6; ++viewer) {
    const MemberTable& table = cluster.Nodes()[viewer].table;
    CHECK(table.IsLiveIncarnation(self.instance, self.incarnation));
    CHECK(table.HasIncarnationEnded(self.instance, before));
  }
}

TEST_CASE(
    "A partition that lasts until all members are dead heals without the "
    "platform's list") {
  TableCluster cluster(9, {}, 4);
  cluster.Run(Seconds(2));
  cluster.SetCut(1, true);
  cluster.Run(Seconds(10));
  CHECK(cluster.HasHealth(0, 1, MemberHealth::kDead));
  CHECK(cluster.HasHealth(1, 4, MemberHealth::kLive));
  cluster.SetCut(1, false);
  cluster.Run(Seconds(2));
  for (std::size_t viewer = 0; viewer < 9; ++viewer) {
    CHECK(cluster.Nodes()[viewer].table.LivePeers().size() == 8);
  }
}

TEST_CASE(
    "A node that joins after an instance died doesn't treat other nodes' old "
    "record of it as progress") {
  TableCluster cluster(6, {}, 6);
  cluster.Run(Seconds(2));
  cluster.Kill(0);
  cluster.Kill(5);
  cluster.Run(Seconds(5));
  cluster.Launch(5, 0);
  for (int step = 0; step < 200; ++step) {
    cluster.Step();
    CHECK_FALSE(cluster.HasHealth(5, 0, MemberHealth::kLive));
  }
  CHECK(cluster.Nodes()[5].table.LivePeers().size() == 4);
}

TEST_CASE(
    "A paused process stays in recovery until it receives gossip that was sent "
    "after the pause, not gossip that was buffered during it") {
  TableCluster cluster(6, {}, 5);
  cluster.Run(Seconds(2));
  const MemberTable& table = cluster.Nodes()[2].table;
  cluster.Freeze(2, Seconds(5));
  cluster.Run(Seconds(5) - kTickInterval);
  CHECK_FALSE(table.IsRecoveringFromPause());
  cluster.Step();
  CHECK(table.IsRecoveringFromPause());
  cluster.Run(Milliseconds(500));
  CHECK_FALSE(table.IsRecoveringFromPause());
  CHECK(table.LivePeers().size() == 5);
}

TEST_CASE(
    "The platform's list makes no instance live, and its leaving flag applies "
    "to the incarnation at that time, not to a replacement") {
  Identity identity;
  identity.instance = InstanceId("e1");
  identity.region = RegionName("r");
  Context context(identity, 1);
  MemberTable table;
  table.Start(context);
  ListedInstance listed{InstanceId("e2"), RegionName("r"),
                        ZoneName("z"),    "",
                        "127.0.0.1:2",    false};
  table.OnInstanceList(context, {listed});
  CHECK(table.Find(InstanceId("e2"))->health == MemberHealth::kCandidate);
  CHECK(table.LivePeers().empty());
  MemberRecord record{InstanceId("e2"),
                      5,
                      1,
                      RegionName("r"),
                      ZoneName("z"),
                      "",
                      "127.0.0.1:2",
                      InstancePhase::kServing,
                      0};
  table.OnGossip(context, InstanceId("e2"), {{record}, 0, 0});
  CHECK(table.ServingIn(RegionName("r")).size() == 1);
  const std::uint64_t version = table.MembershipVersion();
  listed.leaving = true;
  table.OnInstanceList(context, {listed});
  CHECK(table.ServingIn(RegionName("r")).empty());
  CHECK(table.LivePeers().size() == 1);
  CHECK(table.MembershipVersion() > version);
  record.incarnation = 6;
  table.OnGossip(context, InstanceId("e2"), {{record}, 0, 0});
  table.OnInstanceList(context, {listed});
  CHECK(table.ServingIn(RegionName("r")).size() == 1);
  listed.instance = identity.instance;
  table.SetPhase(context, InstancePhase::kServing);
  table.OnInstanceList(context, {listed});
  CHECK(table.ServingIn(RegionName("r")) ==
        std::vector<InstanceId>{InstanceId("e2")});
  MemberTable restarted;
  restarted.Start(context);
  restarted.SetPhase(context, InstancePhase::kServing);
  restarted.OnInstanceList(context, {listed});
  CHECK(restarted.ServingIn(RegionName("r")).size() == 1);
}

TEST_CASE(
    "Peers can't grow the table without bound, and an old record of a removed "
    "member doesn't add it again") {
  Identity identity;
  identity.instance = InstanceId("self");
  Context context(identity, 1);
  MemberTable table;
  table.Start(context);
  const auto receive_record = [&](const std::string& instance,
                                  std::int64_t counter) {
    MemberRecord record;
    record.instance = InstanceId(instance);
    record.incarnation = 1;
    record.counter = counter;
    table.OnGossip(context, record.instance, {{record}, 0, 0});
  };
  for (int index = 0; index < 5000; ++index) {
    receive_record("e" + std::to_string(index), 7);
  }
  CHECK(table.All().size() == kMaxMembers);
  MonotonicTime now;
  const auto advance = [&](Duration length) {
    for (const MonotonicTime end = now + length; now < end;
         now += Milliseconds(900)) {
      context.SetNow({now, {}});
      table.OnTick(context);
      context.TakeEffects();
    }
  };
  advance(kDeadMemberRetention + Seconds(5));
  CHECK(table.All().size() == 1);
  CHECK(table.HasIncarnationEnded(InstanceId("e1"), 1));
  receive_record("e1", 7);
  CHECK(table.Find(InstanceId("e1")) == nullptr);
  receive_record("e1", 8);
  CHECK(table.Find(InstanceId("e1"))->health == MemberHealth::kLive);
}

TEST_CASE(
    "A message holds at most 64 records, and successive messages cover all "
    "members") {
  Identity identity;
  identity.instance = InstanceId("self");
  Context context(identity, 1);
  MemberTable table;
  table.Start(context);
  std::set<InstanceId> sent;
  for (int round = 0; round < 10; ++round) {
    for (int index = 0; index < 200; ++index) {
      MemberRecord record;
      record.instance = InstanceId("e" + std::to_string(index));
      record.peer_address = "127.0.0.1:1";
      record.counter = 1 + round * 200;
      table.OnGossip(context, record.instance, {{record}, 0, 0});
    }
    context.TakeEffects();
    context.SetNow({MonotonicTime(round * kHeartbeatInterval), {}});
    table.OnTick(context);
    for (const Effect& effect : context.TakeEffects()) {
      if (const auto* send = std::get_if<SendPeer>(&effect)) {
        const auto& gossip = std::get<Gossip>(send->message);
        REQUIRE(gossip.records.size() <= kMaxGossipRecords);
        CHECK(gossip.records[0].instance == identity.instance);
        for (const MemberRecord& record : gossip.records) {
          sent.insert(record.instance);
        }
      }
    }
  }
  CHECK(sent.size() == 201);
}

}  // namespace kumquatcove
