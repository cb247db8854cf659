#include "routing/slot_home.h"

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

/** A home; the test acts as its clients. */
class HomeBench {
 public:
  explicit HomeBench(FakeService service = {}, int instances = 3)
      : region(instances, 7, service) {
    home = region.Home();
    peer = region.NotHome();
    region.record_client_messages_only = true;
    region.TakeSent<SlotGrant>();
  }

  SlotRequest Make() {
    SlotRequest request;
    request.ticket = TicketId{++last_ticket};
    request.service = FakeRegion::Service();
    request.patience = Milliseconds(500);
    return request;
  }

  /** Returns the upstream granted at once; std::nullopt if none is. */
  std::optional<UpstreamId> Ask(const SlotRequest& request) {
    region.Inject(peer, home, request);
    return Collect(request.ticket);
  }

  /** Collects the home's messages and returns the grant of `ticket`, if any. */
  std::optional<UpstreamId> Collect(TicketId ticket) {
    // TakeSent empties the log, so one call takes all kinds of messages.
    std::optional<UpstreamId> granted;
    for (const auto& [to, message] : region.TakeSent<PeerMessage>()) {
      std::visit(Sorter{*this}, message);
    }
    const auto found = grants.find(ticket);
    if (found != grants.end()) {
      granted = found->second;
    }
    return granted;
  }

  RefusalReason RefusalOf(TicketId ticket) const {
    const auto found = refusals.find(ticket);
    return found == refusals.end() ? RefusalReason::kNone : found->second;
  }

  /** Gives all upstreams equal service times. */
  void WarmUp() {
    FakeRegion::Node& node = region.At(home);
    for (int count = 0; count < 8 * region.Declared().upstreams; ++count) {
      node.health.OnAttempt(
          node.context,
          FakeRegion::Upstream(count % region.Declared().upstreams),
          AttemptResult::kAnswered, Milliseconds(10));
    }
  }

  void Release(TicketId ticket) {
    const auto found = grants.find(ticket);
    region.Inject(
        peer, home,
        SlotRelease{ticket, FakeRegion::Service(),
                    found == grants.end() ? UpstreamId() : found->second,
                    AttemptResult::kNotSent, Duration(0)});
    Collect(ticket);
  }

  void Pass(Duration duration) {
    region.Run(duration);
    Collect(TicketId());
  }

  struct Sorter {
    HomeBench& bench;
    void operator()(const SlotGrant& grant) const {
      bench.grants[grant.ticket] = grant.upstream;
      ++bench.answers[grant.ticket];
    }
    void operator()(const SlotRefusal& refusal) const {
      bench.refusals[refusal.ticket] = refusal.reason;
      ++bench.answers[refusal.ticket];
    }
    void operator()(const SlotQueued& queued) const {
      bench.queued.insert(queued.ticket);
    }
    template <class Other>
    void operator()(const Other&) const {}
  };

  FakeRegion region;
  InstanceId home;
  InstanceId peer;
  std::uint64_t last_ticket = 0;
  std::map<TicketId, UpstreamId> grants;
  std::map<TicketId, RefusalReason> refusals;
  std::map<TicketId, int> answers;
  std::set<TicketId> queued;
};

FakeService SmallService(std::int32_t upstreams, std::int32_t slots) {
  FakeService service;
  service.upstreams = upstreams;
  service.limits.slots_per_upstream = slots;
  return service;
}

/** Reference model of a home: the slot of each ticket according to its
 * messages.
 */
struct ReferenceModel {
  std::map<TicketId, SlotRequest> asked;
  std::map<TicketId, MonotonicTime> expires;
  std::map<TicketId, UpstreamId> held;
  std::set<TicketId> withdrawn;

  int Busy(const UpstreamId& upstream) const {
    return static_cast<int>(std::count_if(
        held.begin(), held.end(),
        [&](const auto& entry) { return entry.second == upstream; }));
  }
  int Isolated(const UpstreamId& upstream) const {
    return static_cast<int>(
        std::count_if(held.begin(), held.end(), [&](const auto& entry) {
          return entry.second == upstream && asked.at(entry.first).isolate;
        }));
  }
  int Long() const {
    return static_cast<int>(
        std::count_if(held.begin(), held.end(), [&](const auto& entry) {
          return asked.at(entry.first).length == WorkLength::kLong;
        }));
  }
};

SlotRequest RandomRequest(HomeBench& bench) {
  SlotRequest request = bench.Make();
  request.patience = Milliseconds(*rc::gen::inRange(-5, 120));
  request.length = *rc::gen::element(WorkLength::kShort, WorkLength::kShort,
                                     WorkLength::kLong);
  request.priority = *rc::gen::inRange(0, 3);
  const int kind = *rc::gen::inRange(0, 10);
  request.spillover = kind == 0;
  request.hedge = kind == 1;
  request.isolate = kind == 2;
  if (kind == 3) {
    request.exclude = {FakeRegion::Upstream(*rc::gen::inRange(0, 3))};
  }
  return request;
}

/** Returns whether an ordinary short request waits although an upstream has a
 * free slot that isn't reserved for an isolated request. */
bool IsSlotWasted(const HomeBench& bench, const ReferenceModel& model) {
  bool ordinary_waits = false;
  for (const auto& [ticket, request] : model.asked) {
    if (bench.answers.contains(ticket) || model.withdrawn.contains(ticket)) {
      continue;
    }
    if (request.isolate) {
      return false;
    }
    ordinary_waits |= request.length == WorkLength::kShort &&
                      request.exclude.empty() &&
                      model.expires.at(ticket) > bench.region.Now();
  }
  const FakeService& service = bench.region.Declared();
  bool has_free = false;
  for (int number = 0; number < service.upstreams; ++number) {
    const UpstreamId upstream = FakeRegion::Upstream(number);
    has_free |= model.Isolated(upstream) == 0 &&
                model.Busy(upstream) < service.limits.slots_per_upstream;
  }
  return ordinary_waits && has_free;
}

void CheckAgainstModel(HomeBench& bench, const ReferenceModel& model) {
  RC_ASSERT(!IsSlotWasted(bench, model));
  const FakeService& service = bench.region.Declared();
  const int slots = service.limits.slots_per_upstream;
  const int total = service.upstreams * slots;
  for (int number = 0; number < service.upstreams; ++number) {
    const UpstreamId upstream = FakeRegion::Upstream(number);
    RC_ASSERT(model.Busy(upstream) <= slots);
    RC_ASSERT(model.Isolated(upstream) == 0 || model.Busy(upstream) == 1);
  }
  RC_ASSERT(model.Long() <= std::max(total * 2 / 3, 1));
  const SlotUsage usage = bench.region.UsageAt(bench.home);
  RC_ASSERT(usage.busy == static_cast<int>(model.held.size()));
  RC_ASSERT(usage.queued <= service.limits.queue_length);
  for (const auto& [ticket, count] : bench.answers) {
    RC_ASSERT(count == 1);
  }
}

/** Adds new grants to the model and checks each against its request. */
void TakeGrants(HomeBench& bench, ReferenceModel& model) {
  const FakeService& service = bench.region.Declared();
  const int total = service.upstreams * service.limits.slots_per_upstream;
  for (const auto& [ticket, upstream] : bench.grants) {
    if (model.withdrawn.contains(ticket) || model.held.contains(ticket)) {
      continue;
    }
    const SlotRequest& request = model.asked.at(ticket);
    RC_ASSERT(std::find(request.exclude.begin(), request.exclude.end(),
                        upstream) == request.exclude.end());
    model.held[ticket] = upstream;
    if (request.spillover) {
      RC_ASSERT(static_cast<int>(model.held.size()) * 1000 <=
                total * (1000 - service.limits.headroom_permille));
    }
  }
}

void RunRandomSequence() {
  HomeBench bench(SmallService(3, *rc::gen::inRange(1, 4)));
  ReferenceModel model;
  const int length = *rc::gen::inRange(20, 120);
  for (int step = 0; step < length; ++step) {
    const int action = *rc::gen::inRange(0, 10);
    if (action < 5) {
      const SlotRequest request = RandomRequest(bench);
      model.asked[request.ticket] = request;
      model.expires[request.ticket] = bench.region.Now() + request.patience;
      bench.Ask(request);
    } else if (action < 8 && !model.asked.empty()) {
      auto ticket = model.asked.begin();
      std::advance(ticket, *rc::gen::inRange<int>(
                               0, static_cast<int>(model.asked.size())));
      model.held.erase(ticket->first);
      model.withdrawn.insert(ticket->first);
      bench.Release(ticket->first);
    } else {
      bench.Pass(Milliseconds(*rc::gen::inRange(1, 40)));
    }
    TakeGrants(bench, model);
    CheckAgainstModel(bench, model);
  }
  // By now every waiting request must have been granted or refused, whether or
  // not slots are free.
  bench.Pass(Milliseconds(200));
  TakeGrants(bench, model);
  CheckAgainstModel(bench, model);
  for (const auto& [ticket, request] : model.asked) {
    RC_ASSERT(bench.answers.contains(ticket) ||
              model.withdrawn.contains(ticket));
  }
}

}  // namespace

TEST_CASE(
    "Random sequences never oversubscribe an upstream, leak or waste a slot, "
    "answer a ticket twice or leave it without an answer") {
  CHECK(rc::check(RunRandomSequence));
}

TEST_CASE("An instance that isn't the home refuses, so that none waits there") {
  HomeBench bench;
  const SlotRequest request = bench.Make();
  bench.region.Inject(bench.home, bench.peer, request);
  bench.Collect(request.ticket);
  CHECK(bench.RefusalOf(request.ticket) == RefusalReason::kNotReady);
}

TEST_CASE("Requests of another region's instances are refused") {
  HomeBench bench;
  const SlotRequest request = bench.Make();
  bench.region.Inject(bench.home, bench.home, request);
  CHECK(bench.Collect(request.ticket).has_value());
  FakeRegion::Node& node = bench.region.At(bench.home);
  MemberRecord record{InstanceId("far"), 1,     1,     RegionName("viti"),
                      ZoneName("v"),     "far", "far", InstancePhase::kServing};
  node.members.OnGossip(node.context, InstanceId("far"),
                        Gossip{{record}, 0, 0});
  const SlotRequest far = bench.Make();
  node.home.OnRequest(node.context, node.members, node.health,
                      InstanceId("far"), far);
  bool refused = false;
  for (const Effect& effect : node.context.TakeEffects()) {
    if (const auto* sent = std::get_if<SendPeer>(&effect)) {
      refused |= std::holds_alternative<SlotRefusal>(sent->message);
    }
  }
  CHECK(refused);
}

TEST_CASE("A repeated request gets its answer again and no second slot") {
  HomeBench bench(SmallService(1, 1));
  const SlotRequest first = bench.Make();
  const SlotRequest second = bench.Make();
  CHECK(bench.Ask(first).has_value());
  CHECK(bench.Ask(first).has_value());
  CHECK(bench.answers[first.ticket] == 2);
  CHECK_FALSE(bench.Ask(second).has_value());
  bench.queued.clear();
  bench.Ask(second);
  CHECK(bench.queued.contains(second.ticket));
  CHECK(bench.region.UsageAt(bench.home).busy == 1);
  CHECK(bench.region.UsageAt(bench.home).queued == 1);
}

TEST_CASE("Short requests go before long ones that came earlier") {
  HomeBench bench(SmallService(1, 1));
  const SlotRequest running = bench.Make();
  SlotRequest long_request = bench.Make();
  long_request.length = WorkLength::kLong;
  const SlotRequest short_request = bench.Make();
  bench.Ask(running);
  bench.Ask(long_request);
  bench.Ask(short_request);
  bench.Release(running.ticket);
  CHECK(bench.grants.contains(short_request.ticket));
  CHECK_FALSE(bench.grants.contains(long_request.ticket));
}

TEST_CASE("Long requests leave a third of the slots to short ones") {
  HomeBench bench(SmallService(2, 3));
  std::vector<SlotRequest> requests;
  for (int count = 0; count < 6; ++count) {
    requests.push_back(bench.Make());
    requests.back().length = WorkLength::kLong;
    bench.Ask(requests.back());
  }
  CHECK(bench.grants.size() == 4);
  CHECK(bench.Ask(bench.Make()).has_value());
  HomeBench single(SmallService(1, 1));
  SlotRequest only = single.Make();
  only.length = WorkLength::kLong;
  CHECK(single.Ask(only).has_value());
}

TEST_CASE("A request without time left never costs a slot") {
  HomeBench bench(SmallService(1, 1));
  SlotRequest late = bench.Make();
  late.patience = Duration(0);
  CHECK_FALSE(bench.Ask(late).has_value());
  CHECK(bench.RefusalOf(late.ticket) == RefusalReason::kDeadlineTooShort);
  const SlotRequest running = bench.Make();
  bench.Ask(running);
  SlotRequest waiting = bench.Make();
  waiting.patience = Milliseconds(15);
  bench.Ask(waiting);
  // After the timeout, but before the tick that detects it.
  const Duration into_tick =
      bench.region.Now().time_since_epoch() % kTickInterval;
  bench.Pass(kTickInterval - into_tick + Milliseconds(16));
  bench.Release(running.ticket);
  bench.Pass(Milliseconds(20));
  CHECK_FALSE(bench.grants.contains(waiting.ticket));
  CHECK(bench.RefusalOf(waiting.ticket) == RefusalReason::kDeadlineExpired);
}

TEST_CASE("A full queue sheds the lowest priority first") {
  FakeService service = SmallService(1, 1);
  service.limits.queue_length = 2;
  HomeBench bench(service);
  bench.Ask(bench.Make());
  SlotRequest low = bench.Make();
  low.priority = 1;
  SlotRequest middle = bench.Make();
  middle.priority = 2;
  SlotRequest high = bench.Make();
  high.priority = 3;
  SlotRequest lowest = bench.Make();
  lowest.priority = 0;
  bench.Ask(low);
  bench.Ask(middle);
  bench.Ask(high);
  CHECK(bench.RefusalOf(low.ticket) == RefusalReason::kQueueFull);
  bench.Ask(lowest);
  CHECK(bench.RefusalOf(lowest.ticket) == RefusalReason::kQueueFull);
  CHECK(bench.region.UsageAt(bench.home).queued == 2);
}

TEST_CASE("Spill-over stays within the headroom and is never queued") {
  FakeService service = SmallService(2, 2);
  service.limits.headroom_permille = 500;
  HomeBench bench(service);
  SlotRequest spillover = bench.Make();
  spillover.spillover = true;
  CHECK(bench.Ask(bench.Make()).has_value());
  CHECK(bench.Ask(spillover).has_value());
  SlotRequest excess = bench.Make();
  excess.spillover = true;
  CHECK_FALSE(bench.Ask(excess).has_value());
  CHECK(bench.RefusalOf(excess.ticket) == RefusalReason::kHeadroom);
  CHECK(bench.Ask(bench.Make()).has_value());
}

TEST_CASE("A hedge doesn't wait and doesn't overtake waiting requests") {
  HomeBench bench(SmallService(1, 1));
  bench.Ask(bench.Make());
  SlotRequest hedge = bench.Make();
  hedge.hedge = true;
  CHECK_FALSE(bench.Ask(hedge).has_value());
  CHECK(bench.RefusalOf(hedge.ticket) == RefusalReason::kOverloaded);
  CHECK(bench.region.UsageAt(bench.home).queued == 0);
}

TEST_CASE(
    "An isolated request runs alone: it waits for an idle upstream, which gets "
    "nothing else until the release") {
  HomeBench bench(SmallService(2, 2));
  std::vector<SlotRequest> running;
  for (int count = 0; count < 4; ++count) {
    running.push_back(bench.Make());
    bench.Ask(running.back());
  }
  SlotRequest isolated = bench.Make();
  isolated.isolate = true;
  bench.Ask(isolated);
  const SlotRequest plain = bench.Make();
  bench.Ask(plain);
  const UpstreamId alone = FakeRegion::Upstream(0);
  for (const SlotRequest& request : running) {
    CHECK_FALSE(bench.grants.contains(isolated.ticket));
    if (bench.grants[request.ticket] == alone) {
      bench.Release(request.ticket);
      // The upstream is reserved for it, although another request waits.
      CHECK_FALSE(bench.grants.contains(plain.ticket));
    }
    if (bench.grants.contains(isolated.ticket)) {
      break;
    }
  }
  REQUIRE(bench.grants.contains(isolated.ticket));
  CHECK(bench.grants[isolated.ticket] == alone);
  for (const SlotRequest& request : running) {
    bench.Release(request.ticket);
  }
  for (int count = 0; count < 4; ++count) {
    CHECK(bench.Ask(bench.Make()) != alone);
  }
  bench.Release(isolated.ticket);
  CHECK(bench.region.UsageAt(bench.home).queued < 4);
}

TEST_CASE("Without an upstream that may serve it a request is refused") {
  HomeBench bench(SmallService(1, 1));
  SlotRequest request = bench.Make();
  request.exclude = {FakeRegion::Upstream(0)};
  bench.Ask(request);
  CHECK(bench.RefusalOf(request.ticket) == RefusalReason::kNoUpstream);
  bench.Ask(bench.Make());
  const SlotRequest waiting = bench.Make();
  bench.Ask(waiting);
  FakeRegion::Node& node = bench.region.At(bench.home);
  node.health.OnDrainSignal(node.context, FakeRegion::Upstream(0));
  bench.Pass(Milliseconds(20));
  CHECK(bench.RefusalOf(waiting.ticket) == RefusalReason::kNoUpstream);
}

TEST_CASE("Slots of a dead instance are freed, those of a live one are not") {
  HomeBench bench(SmallService(1, 1));
  bench.Ask(bench.Make());
  bench.Pass(Seconds(5));
  CHECK(bench.region.UsageAt(bench.home).busy == 1);
  bench.region.At(bench.peer).dead = true;
  bench.Pass(Seconds(2));
  CHECK(bench.region.UsageAt(bench.home).busy == 1);
  bench.Pass(Seconds(3));
  CHECK(bench.region.UsageAt(bench.home).busy == 0);
}

TEST_CASE(
    "An inventory frees slots whose release was lost, but not a grant that "
    "crossed it") {
  HomeBench bench(SmallService(1, 2));
  const SlotRequest request = bench.Make();
  bench.Ask(request);
  const SlotInventory empty{FakeRegion::Service(), {}};
  bench.region.Inject(bench.peer, bench.home, empty);
  CHECK(bench.region.UsageAt(bench.home).busy == 1);
  bench.Pass(Milliseconds(1100));
  bench.region.Inject(bench.peer, bench.home, empty);
  CHECK(bench.region.UsageAt(bench.home).busy == 0);
}

TEST_CASE("An inventory can't enter more slots than the service has") {
  HomeBench bench(SmallService(2, 2));
  for (std::uint64_t round = 0; round < 3; ++round) {
    SlotInventory inventory{FakeRegion::Service(), {}};
    for (std::uint64_t count = 0; count < 1000; ++count) {
      inventory.held.push_back(
          {TicketId{10'000 * (round + 1) + count}, FakeRegion::Upstream(0)});
    }
    bench.region.Inject(bench.peer, bench.home, inventory);
  }
  CHECK(bench.region.UsageAt(bench.home).busy == 4);
}

TEST_CASE(
    "A new home grants only what the inventories leave free, and at the latest "
    "after 500 ms without them") {
  HomeBench bench(SmallService(1, 2));
  FakeRegion::Node& node = bench.region.At(bench.home);
  node.home.Reset();
  const SlotRequest request = bench.Make();
  CHECK_FALSE(bench.Ask(request).has_value());
  CHECK(bench.queued.contains(request.ticket));
  for (const auto& [id, other] : bench.region.All()) {
    CHECK_FALSE(bench.grants.contains(request.ticket));
    SlotInventory inventory{FakeRegion::Service(), {}};
    if (id == bench.peer) {
      inventory.held = {{TicketId{1'000}, FakeRegion::Upstream(0)}};
    }
    bench.region.Inject(id, bench.home, inventory);
    bench.Pass(Milliseconds(10));
  }
  CHECK(bench.grants.contains(request.ticket));
  CHECK_FALSE(bench.Ask(bench.Make()).has_value());

  node.home.Reset();
  SlotRequest patient = bench.Make();
  patient.patience = Seconds(5);
  bench.Ask(patient);
  bench.Pass(Milliseconds(480));
  CHECK_FALSE(bench.grants.contains(patient.ticket));
  bench.Pass(Milliseconds(40));
  CHECK(bench.grants.contains(patient.ticket));
}

TEST_CASE(
    "A slowed upstream gets new work only by trials while waiting for another "
    "one takes less time") {
  HomeBench bench(SmallService(4, 2));
  FakeRegion::Node& node = bench.region.At(bench.home);
  bench.WarmUp();
  const UpstreamId slow = FakeRegion::Upstream(1);
  for (int count = 0; count < 8; ++count) {
    node.health.OnAttempt(node.context, slow, AttemptResult::kAnswered,
                          Milliseconds(100));
  }
  std::vector<SlotRequest> running;
  for (int count = 0; count < 6; ++count) {
    running.push_back(bench.Make());
    const auto granted = bench.Ask(running.back());
    REQUIRE(granted.has_value());
    CHECK(*granted != slow);
  }
  SlotRequest impatient = bench.Make();
  impatient.patience = Milliseconds(10);
  CHECK_FALSE(bench.Ask(impatient).has_value());
  bench.Pass(Milliseconds(1'000));
  for (const SlotRequest& request : running) {
    bench.Release(request.ticket);
  }
  CHECK(bench.Ask(bench.Make()) == slow);
  CHECK(bench.Ask(bench.Make()) != slow);
}

TEST_CASE("A stuck upstream is avoided before an attempt at it has ended") {
  HomeBench bench(SmallService(2, 3));
  bench.WarmUp();
  std::vector<SlotRequest> running;
  for (int count = 0; count < 4; ++count) {
    running.push_back(bench.Make());
    bench.Ask(running.back());
  }
  const UpstreamId stuck = bench.grants[running[0].ticket];
  bench.Pass(Milliseconds(40));
  for (const SlotRequest& request : running) {
    if (bench.grants[request.ticket] != stuck) {
      bench.Release(request.ticket);
    }
  }
  for (int count = 0; count < 3; ++count) {
    const auto granted = bench.Ask(bench.Make());
    REQUIRE(granted.has_value());
    CHECK(*granted != stuck);
  }
  CHECK_FALSE(bench.Ask(bench.Make()).has_value());
}

}  // namespace kumquatcove
