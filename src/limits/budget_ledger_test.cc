#include "limits/budget_ledger.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <deque>
#include <memory>
#include <string>
#include <tuple>
#include <utility>
#include <variant>
#include <vector>

#include "protocol/event.h"
#include "protocol/fake_store.h"

namespace kumquatcove {
namespace {

constexpr int kInstances = 4;
constexpr int kMaxInstances = 4;
constexpr int kCap = 40;
constexpr int kDeadlineMs = 10'000;
constexpr Duration kCheckInterval = Milliseconds(50);

std::shared_ptr<const CatalogueIndex> MakeCatalogue(std::int64_t revision,
                                                    int cap,
                                                    int slots) {
  ServiceEntry service;
  service.service = ServiceName("caja");
  service.limits.shift_cap_per_second = cap;
  service.limits.max_deadline_ms = kDeadlineMs;
  service.limits.slots_per_upstream = slots;
  service.upstreams = {{UpstreamId("u1"), ZoneName("z2"), "", false}};
  TopologyEntry topology;
  topology.regions = {{RegionName("lima"), {ZoneName("z1")}},
                      {RegionName("trujillo"), {ZoneName("z2")}}};
  topology.max_instances = kMaxInstances;
  topology.link_mbit_per_second = 8;
  return std::make_shared<const CatalogueIndex>(CatalogueSnapshot{
      revision, {{revision, {}, service}, {revision, {}, topology}}});
}

LimitKey RateLimit() {
  return {LimitKind::kShift, ServiceName("caja"), {}, RegionName("trujillo")};
}
LimitKey SlotLimit() {
  return {LimitKind::kSpilloverSlots,
          ServiceName("caja"),
          {},
          RegionName("trujillo")};
}

// Several ledgers that take as much as they are let, and the store that they
// share.
class LedgerWorld {
 public:
  explicit LedgerWorld(std::uint64_t seed)
      : store(seed + 1), m_random(seed), m_nodes(kInstances) {
    catalogue = MakeCatalogue(1, kCap, 12);
    for (Node& node : m_nodes) {
      Start(node);
    }
  }

  // A killed instance's connections close, which ends its requests.
  void Kill(int instance) { Start(NodeOf(instance)); }

  void SetFrozen(int instance, bool frozen) {
    Node& node = NodeOf(instance);
    const bool thaw = node.frozen && !frozen;
    node.frozen = frozen;
    if (thaw) {
      // A late reply may come before the first tick.
      Prepare(node);
      for (const auto& [id, reply] : std::exchange(node.inbox, {})) {
        node.ledger->OnStoreReply(*node.context, id, reply);
        Use(node);
      }
    }
  }
  bool IsFrozen(int instance) { return NodeOf(instance).frozen; }
  void SetGreedy(int instance, bool greedy) {
    NodeOf(instance).greedy = greedy;
  }
  void SetInstanceFault(int instance, StoreFault fault) {
    store.SetClientFault(NodeOf(instance).client, fault);
  }
  BudgetLedger& Ledger(int instance) { return *NodeOf(instance).ledger; }
  Context& ContextOf(int instance) { return *NodeOf(instance).context; }

  void Advance(Duration duration) {
    const MonotonicTime end = now + duration;
    while (now < end) {
      now += kTickInterval;
      for (const FakeStore::Delivery& due : store.Advance(now)) {
        Deliver(due);
      }
      for (Node& node : m_nodes) {
        if (!node.frozen) {
          Prepare(node);
          node.ledger->OnTick(*node.context);
          Use(node);
        }
        EndOverdue(node);
      }
      if (now.time_since_epoch() % kCheckInterval == Duration{0}) {
        Check();
      }
    }
  }

  void SetCatalogue(std::shared_ptr<const CatalogueIndex> next) {
    catalogue = std::move(next);
    m_admitted.clear();
    m_slots_checked_from = now + Milliseconds(kDeadlineMs);
  }

  double AdmittedSince(MonotonicTime since) const {
    double sum = 0;
    for (const auto& [time, amount] : m_admitted) {
      sum += time >= since ? amount : 0;
    }
    return sum;
  }
  int SlotsInUse() const {
    int sum = 0;
    for (const Node& node : m_nodes) {
      sum += static_cast<int>(node.slots.size());
    }
    return sum;
  }

  FakeStore store;
  /** Requests hold their slots up to the deadline. */
  bool longest_requests = false;
  MonotonicTime now{Seconds(1000)};
  std::shared_ptr<const CatalogueIndex> catalogue;
  std::string violation;

 private:
  struct Node {
    std::unique_ptr<Context> context;
    std::unique_ptr<BudgetLedger> ledger;
    int client = 0;
    bool frozen = false;
    bool greedy = true;
    std::vector<std::pair<StoreRequestId, StoreReply>> inbox;
    /** Ends of the requests that hold a slot; a frozen instance returns its
     * slots later, but the upstream ends the request in time. */
    std::deque<MonotonicTime> slots;
    int overdue = 0;
  };

  Node& NodeOf(int instance) {
    return m_nodes[static_cast<std::size_t>(instance)];
  }

  void Start(Node& node) {
    node = Node();
    node.client = ++m_clients;
    Identity identity;
    identity.instance =
        InstanceId("e" + std::to_string(&node - m_nodes.data()));
    identity.incarnation = node.client;
    node.context = std::make_unique<Context>(
        identity, static_cast<std::uint64_t>(node.client));
    node.ledger = std::make_unique<BudgetLedger>();
  }

  void Prepare(Node& node) const {
    node.context->SetNow({now, {}});
    if (node.context->Catalogue().Revision() < catalogue->Revision()) {
      node.context->SetCatalogue(catalogue);
    }
  }

  void Use(Node& node) {
    while (node.overdue > 0) {
      --node.overdue;
      node.ledger->ReturnSlot(SlotLimit());
    }
    if (node.greedy) {
      while (node.ledger->TryTakeRate(*node.context, RateLimit(), 1)) {
        m_admitted.emplace_back(now, 1);
      }
      while (node.ledger->TryTakeSlot(*node.context, SlotLimit())) {
        node.slots.push_back(
            now + (longest_requests ? Milliseconds(kDeadlineMs)
                                    : Milliseconds(static_cast<std::int64_t>(
                                          m_random.NextBelow(kDeadlineMs)))));
      }
    }
    for (const Effect& effect : node.context->TakeEffects()) {
      if (const auto* call = std::get_if<CallStore>(&effect)) {
        store.Call(node.client, *call, now);
      }
    }
  }

  void EndOverdue(Node& node) const {
    node.overdue += static_cast<int>(std::erase_if(
        node.slots, [&](MonotonicTime end) { return end <= now; }));
  }

  void Deliver(const FakeStore::Delivery& due) {
    for (Node& node : m_nodes) {
      if (node.client == due.client && node.frozen) {
        node.inbox.emplace_back(due.id, due.reply);
      } else if (node.client == due.client) {
        Prepare(node);
        node.ledger->OnStoreReply(*node.context, due.id, due.reply);
        Use(node);
      }
    }
  }

  // What instances may use at one time is a sharper test than what they use.
  void CheckShares() {
    double sum = 0;
    for (const Node& node : m_nodes) {
      sum += node.frozen ? 0 : node.ledger->ShareOf(*node.context, RateLimit());
    }
    if (sum > DeclaredLimit(*catalogue, RateLimit()) + 1e-6 &&
        violation.empty()) {
      violation = "shares above the limit: " + std::to_string(sum);
    }
  }

  void Check() {
    CheckShares();
    while (!m_admitted.empty() &&
           m_admitted.front().first < now - Seconds(12)) {
      m_admitted.pop_front();
    }
    const double cap = DeclaredLimit(*catalogue, RateLimit());
    const double burst =
        cap * std::chrono::duration<double>(BudgetLedger::kBurstTime).count() +
        m_clients;
    double sum = 0;
    for (auto entry = m_admitted.rbegin(); entry != m_admitted.rend();
         ++entry) {
      sum += entry->second;
      const double window =
          std::chrono::duration<double>(now - entry->first + kCheckInterval)
              .count();
      if (sum > cap * window + burst + 1e-6 && violation.empty()) {
        violation = "rate above the limit: " + std::to_string(sum) + " in " +
                    std::to_string(window) + " s";
      }
    }
    if (now >= m_slots_checked_from &&
        SlotsInUse() > DeclaredLimit(*catalogue, SlotLimit()) &&
        violation.empty()) {
      violation = "slots above the limit: " + std::to_string(SlotsInUse());
    }
  }

  Random m_random;
  std::vector<Node> m_nodes;
  int m_clients = 0;
  std::deque<std::pair<MonotonicTime, double>> m_admitted;
  MonotonicTime m_slots_checked_from;
};

using Command = std::tuple<int, int, int>;

void Run(LedgerWorld& world, const Command& command) {
  const auto [kind, first, second] = command;
  const int instance = first % kInstances;
  if (kind < 8) {
    world.Advance(Milliseconds(50 + second * 4));
  } else if (kind < 9) {
    world.Kill(instance);
  } else if (kind < 12) {
    world.SetFrozen(instance, !world.IsFrozen(instance));
  } else if (kind < 15) {
    world.store.SetFault(first < 21 ? static_cast<StoreFault>(first % 7)
                                    : StoreFault::kNone);
  } else if (kind < 19) {
    world.SetGreedy(instance, second % 2 == 0);
  } else if (kind < 24) {
    world.SetInstanceFault(instance, first < 28
                                         ? static_cast<StoreFault>(first % 7)
                                         : StoreFault::kNone);
  } else if (kind == 24) {
    world.store.Erase(kShareTableKey);
  } else if (kind == 25) {
    world.store.TakeCopy();
  } else if (kind == 26) {
    world.store.RestoreCopy();
  } else {
    world.store.Put(kShareTableKey, second % 2 == 0 ? "{" : "{}");
  }
}

}  // namespace

TEST_CASE(
    "The sum over all instances never exceeds a limit, whatever replies are "
    "lost or late, whichever instances die or freeze, and if the row is lost "
    "or "
    "restored from a copy") {
  int most_slots = 0;
  CHECK(rc::check([&] {
    const auto commands = *rc::gen::resize(
        150, rc::gen::container<std::vector<Command>>(rc::gen::tuple(
                 rc::gen::inRange(0, 28), rc::gen::inRange(0, 42),
                 rc::gen::inRange(0, 1000))));
    for (std::uint64_t seed = 0; seed < 4; ++seed) {
      LedgerWorld world(seed);
      world.store.latency_ms = seed % 2 == 0 ? 5 : 110;
      world.Advance(Seconds(25));
      for (const Command& command : commands) {
        Run(world, command);
        most_slots = std::max(most_slots, world.SlotsInUse());
        RC_ASSERT(world.violation == "");
      }
    }
  }));
  // Guards against a test in which leases are never used.
  CHECK(most_slots == 12);
}

TEST_CASE("A busy instance gets the shares that idle ones don't use") {
  LedgerWorld world(7);
  for (int i = 1; i < kInstances; ++i) {
    world.SetGreedy(i, false);
  }
  world.Advance(Seconds(40));
  // Half of the limit plus one floor.
  CHECK(world.Ledger(0).ShareOf(world.ContextOf(0), RateLimit()) ==
        doctest::Approx(kCap / 2.0 + kCap / 2.0 / kMaxInstances));
  CHECK(world.Ledger(0).ShareOf(world.ContextOf(0), SlotLimit()) == 7);
  world.SetGreedy(1, true);
  world.Advance(Seconds(10));
  CHECK(world.Ledger(1).ShareOf(world.ContextOf(1), RateLimit()) > kCap / 4.0);
  CHECK(world.violation == "");
}

TEST_CASE("Slots in use aren't given to others when the fair share falls") {
  LedgerWorld world(13);
  world.longest_requests = true;
  for (int i = 1; i < kInstances; ++i) {
    world.SetGreedy(i, false);
  }
  world.Advance(Seconds(40));
  for (int i = 1; i < kInstances; ++i) {
    world.SetGreedy(i, true);
  }
  world.Advance(Seconds(10));
  CHECK(world.violation == "");
}

TEST_CASE(
    "While shares move, a renewal without a reply at any moment leaves no "
    "share "
    "in use twice") {
  for (const bool growing : {false, true}) {
    for (const StoreFault fault :
         {StoreFault::kReplyLost, StoreFault::kDown, StoreFault::kLateEffect,
          StoreFault::kSlow}) {
      for (std::int64_t offset = 0; offset < 2000; offset += 50) {
        LedgerWorld world(static_cast<std::uint64_t>(offset));
        world.store.latency_ms = 110;
        for (int i = 0; i < kInstances; ++i) {
          world.SetGreedy(i, (i == 0) != growing);
        }
        world.Advance(Seconds(30));
        for (int i = 0; i < kInstances; ++i) {
          world.SetGreedy(i, true);
        }
        world.Advance(Milliseconds(offset));
        world.SetInstanceFault(0, fault);
        world.Advance(Seconds(7));
        CHECK(world.violation == "");
      }
    }
  }
}

TEST_CASE("In an outage of the store the floors remain and leases end") {
  LedgerWorld world(8);
  world.Advance(Seconds(40));
  const double leased =
      world.Ledger(0).ShareOf(world.ContextOf(0), RateLimit());
  CHECK(leased > 1.5 * kCap / 2.0 / kMaxInstances);
  world.store.SetFault(StoreFault::kDown);
  world.Advance(Seconds(6));
  CHECK(world.Ledger(0).ShareOf(world.ContextOf(0), RateLimit()) ==
        doctest::Approx(kCap / 2.0 / kMaxInstances));
  const MonotonicTime since = world.now;
  world.Advance(Seconds(5));
  CHECK(world.AdmittedSince(since) > 0.4 * kCap * 5);
}

// Guards against leases of the copy that are granted again while those made
// since are in use.
TEST_CASE(
    "After a restore of the store no share is in use twice, and leases are "
    "granted again later") {
  LedgerWorld world(14);
  world.Advance(Seconds(25));
  world.store.TakeCopy();
  for (int i = 1; i < kInstances; ++i) {
    world.SetGreedy(i, false);
  }
  world.Advance(Seconds(40));
  world.store.RestoreCopy();
  for (int i = 1; i < kInstances; ++i) {
    world.SetGreedy(i, true);
  }
  world.Advance(Seconds(5));
  CHECK(world.violation == "");
  world.Advance(Seconds(40));
  CHECK(world.violation == "");
  CHECK(world.Ledger(1).ShareOf(world.ContextOf(1), RateLimit()) >
        1.5 * kCap / 2.0 / kMaxInstances);
}

TEST_CASE("A smaller declared limit holds at once for all instances") {
  LedgerWorld world(9);
  world.Advance(Seconds(40));
  world.SetCatalogue(MakeCatalogue(2, kCap / 4, 3));
  world.Advance(Seconds(20));
  CHECK(world.violation == "");
  CHECK(world.SlotsInUse() <= 3);
}

TEST_CASE("Usage starts at zero, so that a restart brings no burst") {
  LedgerWorld world(10);
  Context& context = world.ContextOf(0);
  context.SetNow({world.now, {}});
  context.SetCatalogue(world.catalogue);
  CHECK_FALSE(world.Ledger(0).TryTakeRate(context, RateLimit(), 1));
}

TEST_CASE("What no entry declares is refused") {
  LedgerWorld world(11);
  world.Advance(Seconds(1));
  LimitKey unknown = RateLimit();
  unknown.service = ServiceName("none");
  CHECK_FALSE(world.Ledger(0).TryTakeRate(world.ContextOf(0), unknown, 1));
  unknown.kind = LimitKind::kSpilloverSlots;
  CHECK_FALSE(world.Ledger(0).TryTakeSlot(world.ContextOf(0), unknown));
}

TEST_CASE("An amount above the burst passes and is paid for afterwards") {
  LedgerWorld world(12);
  const LimitKey link{
      LimitKind::kLink, {}, RegionName("lima"), RegionName("trujillo")};
  world.Advance(Seconds(1));
  Context& context = world.ContextOf(0);
  // 8 Mbit/s are 1e6 bytes/s; a floor is an eighth.
  CHECK(world.Ledger(0).TryTakeRate(context, link, 250'000));
  world.Advance(Seconds(1));
  CHECK_FALSE(world.Ledger(0).TryTakeRate(context, link, 10));
}

TEST_CASE("Max-min fairness divides the pool and leaves nothing unused") {
  CHECK(FairPart(100, 50, {}) == 50);
  CHECK(FairPart(100, 50, {10, 20}) == 50);
  CHECK(FairPart(100, 80, {10, 80}) == 45);
  CHECK(FairPart(100, 100, {100, 100, 100}) == 25);
}

}  // namespace kumquatcove
