#include "routing/slot_client.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "routing/fake_region.h"

namespace kumquatcove {
namespace {

/** Simulates callers of a region's slot clients, which use each slot for a
 * given time. */
class ClientBench {
 public:
  explicit ClientBench(int instances = 3,
                       FakeService service = {},
                       RoutingSettings settings = {},
                       std::uint64_t seed = 5)
      : region(instances, seed, service, settings) {
    region.TakeSent<PeerMessage>();
  }

  struct Attempt {
    InstanceId instance;
    SlotRequest request;
    MonotonicTime asked;
    Duration use{0};
    std::optional<SlotDecision> decision;
    MonotonicTime decided;
    bool released = false;
    bool withdrawn = false;
    int decisions = 0;
  };

  TicketId Ask(const InstanceId& instance, Duration use = Seconds(100)) {
    SlotRequest request;
    return Ask(instance, request, use);
  }

  TicketId Ask(const InstanceId& instance,
               SlotRequest request,
               Duration use = Seconds(100)) {
    request.ticket = TicketId{++last_ticket};
    request.service = FakeRegion::Service();
    if (request.patience == Duration(0)) {
      request.patience = Milliseconds(500);
    }
    Attempt attempt;
    attempt.instance = instance;
    attempt.request = request;
    attempt.asked = region.Now();
    attempt.use = use;
    attempts[request.ticket] = attempt;
    region.Request(instance, request);
    TakeDecisions();
    return request.ticket;
  }

  void Release(TicketId ticket) {
    Attempt& attempt = attempts.at(ticket);
    attempt.released = true;
    region.Release(attempt.instance, ticket);
  }

  /** Advances time; slots are released when their use ends. */
  void Pass(Duration duration) {
    const MonotonicTime end = region.Now() + duration;
    while (region.Now() < end) {
      region.Run(Milliseconds(1));
      TakeDecisions();
      for (auto& [ticket, attempt] : attempts) {
        const FakeRegion::Node& node = region.At(attempt.instance);
        if (IsRunning(attempt) && !node.dead && !node.frozen &&
            region.Now() >= attempt.decided + attempt.use) {
          Release(ticket);
        }
      }
    }
  }

  void TakeDecisions() {
    for (const auto& [id, node] : region.All()) {
      for (const SlotDecision& decision : node->client.TakeDecisions()) {
        Attempt& attempt = attempts.at(decision.ticket);
        ++attempt.decisions;
        attempt.decision = decision;
        attempt.decided = region.Now();
      }
    }
  }

  static bool IsRunning(const Attempt& attempt) {
    return attempt.decision && !attempt.decision->upstream.IsEmpty() &&
           !attempt.released;
  }

  bool IsGranted(TicketId ticket) const {
    return IsRunning(attempts.at(ticket));
  }
  RefusalReason ReasonOf(TicketId ticket) const {
    const auto& decision = attempts.at(ticket).decision;
    return decision ? decision->reason : RefusalReason::kNone;
  }

  int Running(const UpstreamId& upstream) const {
    return static_cast<int>(
        std::count_if(attempts.begin(), attempts.end(), [&](const auto& entry) {
          return IsRunning(entry.second) &&
                 entry.second.decision->upstream == upstream;
        }));
  }

  FakeRegion region;
  std::uint64_t last_ticket = 0;
  std::map<TicketId, Attempt> attempts;
};

FakeService SmallService(std::int32_t upstreams, std::int32_t slots) {
  FakeService service;
  service.upstreams = upstreams;
  service.limits.slots_per_upstream = slots;
  return service;
}

enum class Fault { kNone, kLoss, kFreeze, kDeath };

void Disturb(ClientBench& bench, Fault fault, int step) {
  const InstanceId home = bench.region.Home();
  FakeRegion::Node& node = bench.region.At(home);
  if (fault == Fault::kDeath && step == 20) {
    node.dead = true;
  } else if (fault == Fault::kFreeze && step % 20 == 10) {
    node.frozen = true;
  } else if (fault == Fault::kFreeze && step % 20 == 15) {
    for (const auto& [id, other] : bench.region.All()) {
      other->frozen = false;
    }
  }
}

void RunRandomSequence(Fault fault) {
  ClientBench bench(4, SmallService(2, 2), {},
                    *rc::gen::arbitrary<std::uint32_t>());
  bench.region.lost_permille = fault == Fault::kLoss ? 100 : 0;
  for (int step = 0; step < 60; ++step) {
    Disturb(bench, fault, step);
    const int number = *rc::gen::inRange(0, 4);
    const InstanceId instance("e" + std::to_string(number));
    const FakeRegion::Node& node = bench.region.At(instance);
    if (!node.dead && !node.frozen) {
      SlotRequest request;
      request.patience = Milliseconds(*rc::gen::inRange(1, 300));
      request.hedge = *rc::gen::inRange(0, 8) == 0;
      const TicketId ticket =
          bench.Ask(instance, request, Milliseconds(*rc::gen::inRange(1, 60)));
      if (*rc::gen::inRange(0, 10) == 0) {
        bench.Pass(Milliseconds(2));
        ClientBench::Attempt& attempt = bench.attempts.at(ticket);
        if (!attempt.decision) {
          bench.region.Withdraw(instance, ticket);
          attempt.withdrawn = true;
        }
      }
    }
    bench.Pass(Milliseconds(*rc::gen::inRange(1, 30)));
    if (fault == Fault::kNone) {
      RC_ASSERT(bench.Running(FakeRegion::Upstream(0)) <= 2);
      RC_ASSERT(bench.Running(FakeRegion::Upstream(1)) <= 2);
    }
  }
  bench.region.lost_permille = 0;
  for (const auto& [id, node] : bench.region.All()) {
    node->frozen = false;
  }
  bench.Pass(Seconds(5));
  for (const auto& [ticket, attempt] : bench.attempts) {
    const bool is_dead = bench.region.At(attempt.instance).dead;
    RC_ASSERT(attempt.decisions <= 1);
    RC_ASSERT(is_dead || attempt.decisions == (attempt.withdrawn ? 0 : 1));
  }
  for (const auto& [id, node] : bench.region.All()) {
    if (!node->dead) {
      RC_ASSERT(bench.region.UsageAt(id).busy == 0);
      RC_ASSERT(bench.region.UsageAt(id).queued == 0);
      RC_ASSERT(node->client.InFlight(FakeRegion::Upstream(0)) == 0);
      RC_ASSERT(node->client.InFlight(FakeRegion::Upstream(1)) == 0);
    }
  }
}

}  // namespace

TEST_CASE(
    "Each ticket gets exactly one decision and no slot leaks, without faults "
    "and never more than the slots in use") {
  CHECK(rc::check([] { RunRandomSequence(Fault::kNone); }));
}

TEST_CASE("Lost messages cost no ticket its decision and leak no slot") {
  CHECK(rc::check([] { RunRandomSequence(Fault::kLoss); }));
}

TEST_CASE("A home that freezes again and again costs no ticket its decision") {
  CHECK(rc::check([] { RunRandomSequence(Fault::kFreeze); }));
}

TEST_CASE("The death of the home costs no ticket its decision") {
  CHECK(rc::check([] { RunRandomSequence(Fault::kDeath); }));
}

TEST_CASE("A queued request isn't treated as one at an unresponsive home") {
  ClientBench bench(3, SmallService(1, 1));
  const InstanceId client = bench.region.NotHome();
  const TicketId running = bench.Ask(client);
  bench.Pass(Milliseconds(5));
  REQUIRE(bench.IsGranted(running));
  const TicketId waiting = bench.Ask(client);
  bench.Pass(Milliseconds(450));
  CHECK_FALSE(bench.attempts.at(waiting).decision.has_value());
  bench.Release(running);
  bench.Pass(Milliseconds(5));
  CHECK(bench.IsGranted(waiting));
}

TEST_CASE(
    "While the home is dead requests are decided locally after 40 ms, later "
    "ones at once, and within this instance's share") {
  ClientBench bench(3, SmallService(3, 3));
  const InstanceId client = bench.region.NotHome();
  bench.region.At(bench.region.Home()).dead = true;
  const TicketId first = bench.Ask(client);
  bench.Pass(Milliseconds(39));
  CHECK_FALSE(bench.attempts.at(first).decision.has_value());
  bench.Pass(Milliseconds(15));
  CHECK(bench.IsGranted(first));
  const TicketId second = bench.Ask(client);
  CHECK(bench.IsGranted(second));
  for (int count = 0; count < 6; ++count) {
    bench.Ask(client);
  }
  bench.Pass(Milliseconds(60));
  for (int number = 0; number < 3; ++number) {
    CHECK(bench.Running(FakeRegion::Upstream(number)) == 1);
  }
  bench.Release(first);
  bench.Pass(Milliseconds(10));
  CHECK(bench.Running(bench.attempts.at(first).decision->upstream) == 1);
}

TEST_CASE("The death of a home is detected by requests in its queue") {
  ClientBench bench(3, SmallService(2, 1));
  const InstanceId client = bench.region.NotHome();
  const InstanceId home = bench.region.Home();
  bench.Ask(home);
  bench.Ask(home);
  bench.Pass(Milliseconds(5));
  const TicketId waiting = bench.Ask(client);
  bench.Pass(Milliseconds(20));
  bench.region.At(home).dead = true;
  bench.Pass(Milliseconds(110));
  CHECK(bench.IsGranted(waiting));
}

TEST_CASE("A grant that arrives after the local choice is released") {
  ClientBench bench(3, SmallService(2, 2));
  const InstanceId client = bench.region.NotHome();
  const InstanceId home = bench.region.Home();
  bench.region.At(home).frozen = true;
  const TicketId ticket = bench.Ask(client);
  bench.Pass(Milliseconds(100));
  REQUIRE(bench.IsGranted(ticket));
  bench.region.At(home).frozen = false;
  bench.Pass(Milliseconds(5));
  CHECK(bench.attempts.at(ticket).decisions == 1);
  CHECK(bench.region.UsageAt(home).busy == 0);
  bench.region.TakeSent<SlotRelease>();
  bench.region.Inject(
      home, client,
      SlotGrant{TicketId{999}, FakeRegion::Service(), FakeRegion::Upstream(0)});
  const auto returned = bench.region.TakeSent<SlotRelease>();
  REQUIRE(returned.size() == 1);
  CHECK(returned[0].first == home);
  CHECK(returned[0].second.result == AttemptResult::kNotSent);
}

TEST_CASE(
    "A new home receives the slots in use and the waiting requests, so that "
    "it neither oversubscribes nor loses them") {
  ClientBench bench(4, SmallService(2, 1));
  const InstanceId old_home = bench.region.Home();
  const InstanceId client = bench.region.NotHome();
  bench.Ask(client);
  bench.Ask(client);
  bench.Pass(Milliseconds(5));
  SlotRequest request;
  request.patience = Seconds(4);
  const TicketId waiting = bench.Ask(client, request);
  bench.region.At(old_home).dead = true;
  while (bench.region.Home() == old_home ||
         bench.region.UsageAt(bench.region.Home()).total == 0) {
    bench.Pass(Milliseconds(1));
  }
  const InstanceId new_home = bench.region.Home();
  bench.Pass(Milliseconds(200));
  CHECK(bench.region.UsageAt(new_home).busy == 2);
  CHECK(bench.region.UsageAt(new_home).queued == 1);
  bench.Release(TicketId{1});
  bench.Pass(Milliseconds(5));
  CHECK(bench.IsGranted(waiting));
}

TEST_CASE("A grant of a home that was abandoned as unresponsive isn't used") {
  ClientBench bench(3, SmallService(1, 1));
  const InstanceId client = bench.region.NotHome();
  const InstanceId home = bench.region.Home();
  bench.region.At(home).frozen = true;
  bench.Ask(client);
  const TicketId waiting = bench.Ask(client);
  bench.Pass(Milliseconds(100));
  bench.region.TakeSent<SlotRelease>();
  bench.region.Inject(
      home, client,
      SlotGrant{waiting, FakeRegion::Service(), FakeRegion::Upstream(0)});
  bench.Pass(Milliseconds(1));
  CHECK_FALSE(bench.attempts.at(waiting).decision.has_value());
  CHECK(bench.region.TakeSent<SlotRelease>().size() == 1);
}

TEST_CASE("Slots whose release was lost are free again within two seconds") {
  ClientBench bench(3, SmallService(1, 1));
  const InstanceId client = bench.region.NotHome();
  const TicketId ticket = bench.Ask(client);
  bench.Pass(Milliseconds(5));
  bench.region.lost_permille = 1000;
  bench.Release(ticket);
  bench.region.lost_permille = 0;
  CHECK(bench.region.UsageAt(bench.region.Home()).busy == 1);
  bench.Pass(Seconds(2));
  CHECK(bench.region.UsageAt(bench.region.Home()).busy == 0);
}

TEST_CASE(
    "Without a home spill-over and hedges are refused and an isolated request "
    "waits, because only a home has the occupancy") {
  ClientBench bench;
  const InstanceId client = bench.region.NotHome();
  bench.region.At(bench.region.Home()).dead = true;
  bench.Ask(client);
  bench.Pass(Milliseconds(60));
  SlotRequest spillover;
  spillover.spillover = true;
  CHECK(bench.ReasonOf(bench.Ask(client, spillover)) ==
        RefusalReason::kHeadroom);
  SlotRequest hedge;
  hedge.hedge = true;
  CHECK(bench.ReasonOf(bench.Ask(client, hedge)) == RefusalReason::kOverloaded);
  SlotRequest isolated;
  isolated.isolate = true;
  const TicketId waiting = bench.Ask(client, isolated);
  bench.Pass(Milliseconds(300));
  CHECK_FALSE(bench.attempts.at(waiting).decision.has_value());
  bench.Pass(Milliseconds(300));
  CHECK(bench.ReasonOf(waiting) == RefusalReason::kDeadlineExpired);
}

TEST_CASE("A withdrawn request leaves the queue, or releases its slot") {
  ClientBench bench(3, SmallService(1, 1));
  const InstanceId client = bench.region.NotHome();
  const InstanceId home = bench.region.Home();
  const TicketId running = bench.Ask(client);
  bench.Pass(Milliseconds(5));
  const TicketId waiting = bench.Ask(client);
  bench.Pass(Milliseconds(5));
  bench.region.Withdraw(client, waiting);
  bench.Pass(Milliseconds(5));
  CHECK(bench.region.UsageAt(home).queued == 0);
  bench.Release(running);
  bench.Pass(Milliseconds(5));
  const TicketId undelivered = bench.Ask(client);
  bench.region.Run(Milliseconds(5));
  bench.region.Withdraw(client, undelivered);
  bench.Pass(Milliseconds(5));
  CHECK_FALSE(bench.attempts.at(undelivered).decision.has_value());
  CHECK(bench.region.UsageAt(home).busy == 0);
}

TEST_CASE("Baselines decide at once and send nothing to a home") {
  for (const RoutingPolicy policy :
       {RoutingPolicy::kRandom, RoutingPolicy::kTwoChoicesReported,
        RoutingPolicy::kTwoChoicesOwn}) {
    ClientBench bench(2, SmallService(2, 1), {policy, true});
    const InstanceId client = bench.region.NotHome();
    FakeRegion::Node& node = bench.region.At(client);
    node.health.OnProbe(node.context,
                        {FakeRegion::Upstream(0), true, false, 50});
    for (int count = 0; count < 20; ++count) {
      CHECK(bench.IsGranted(bench.Ask(client)));
    }
    const int first = bench.Running(FakeRegion::Upstream(0));
    if (policy == RoutingPolicy::kTwoChoicesReported) {
      CHECK(first == 0);
    } else if (policy == RoutingPolicy::kTwoChoicesOwn) {
      CHECK(first == 10);
    } else {
      CHECK(first > 0);
      CHECK(first < 20);
    }
    node.health.OnDrainSignal(node.context, FakeRegion::Upstream(0));
    node.health.OnDrainSignal(node.context, FakeRegion::Upstream(1));
    CHECK(bench.ReasonOf(bench.Ask(client)) == RefusalReason::kNoUpstream);
    CHECK(bench.region.TakeSent<SlotRequest>().empty());
  }
}

}  // namespace kumquatcove
