#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/hash.h"
#include "dispatch/idle_connections.h"
#include "dispatch/recent_objects.h"
#include "dispatch/region_plan.h"
#include "dispatch/service_times.h"
#include "dispatch/upstream_table.h"
#include "dispatch/waiting_queue.h"

namespace kumquatcove {
namespace {

MonotonicTime At(Duration time) {
  return MonotonicTime(Seconds(100) + time);
}

UpstreamId OneUpstream() {
  return UpstreamId("u");
}

std::vector<AffinityCandidate> MakeCandidates(int count) {
  std::vector<AffinityCandidate> candidates;
  candidates.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    candidates.push_back({UpstreamId("u" + std::to_string(i)), 1});
  }
  return candidates;
}

UpstreamRegistration Registration() {
  UpstreamRegistration registration;
  registration.id = OneUpstream();
  registration.service = ServiceName("vitrina");
  registration.zone = ZoneName("lima-a");
  registration.address = "10.0.0.1:80";
  registration.slots = 3;
  registration.started_ms = 1;
  return registration;
}

}  // namespace

TEST_CASE("RecentObjects holds the last objects only") {
  RecentObjects memory;
  for (ObjectHash object = 1; object <= RecentObjects::kCapacity + 1;
       ++object) {
    memory.Record(object);
  }
  CHECK_FALSE(memory.Contains(1));
  CHECK(memory.Contains(2));
  memory.Record(2);
  // The object recorded again stays; the oldest one is evicted.
  memory.Record(1000);
  CHECK(memory.Contains(2));
  CHECK_FALSE(memory.Contains(3));
  memory.Clear();
  CHECK_FALSE(memory.Contains(2));
}

TEST_CASE("Removing an upstream moves only the objects assigned to it") {
  CHECK(rc::check([] {
    const int count = *rc::gen::inRange(2, 20);
    std::vector<AffinityCandidate> candidates = MakeCandidates(count);
    const auto gone = static_cast<std::size_t>(*rc::gen::inRange(0, count));
    const UpstreamId gone_id = candidates[gone].id;
    std::vector<AffinityCandidate> left = candidates;
    left.erase(left.begin() + static_cast<std::ptrdiff_t>(gone));
    for (ObjectHash object = 1; object < 100; ++object) {
      const std::vector<UpstreamId> before =
          ChooseAffinityUpstreams(object, candidates, 1);
      if (before[0] != gone_id) {
        RC_ASSERT(ChooseAffinityUpstreams(object, left, 1) == before);
      }
    }
  }));
}

TEST_CASE("Objects are assigned in proportion to the weights") {
  std::vector<AffinityCandidate> candidates = MakeCandidates(3);
  candidates[0].weight = 2;
  candidates[2].weight = 0;
  std::map<UpstreamId, int> counts;
  constexpr int kObjects = 3000;
  for (ObjectHash object = 1; object <= kObjects; ++object) {
    ++counts[ChooseAffinityUpstreams(object, candidates, 1).at(0)];
  }
  CHECK(counts[UpstreamId("u0")] > kObjects * 0.63);
  CHECK(counts[UpstreamId("u0")] < kObjects * 0.70);
  CHECK(counts[UpstreamId("u2")] == 0);
}

TEST_CASE("The shares of a region plan add up, and home comes first") {
  CHECK(rc::check([] {
    RegionSlots slots;
    const int regions = *rc::gen::inRange(1, 6);
    for (int i = 0; i < regions; ++i) {
      slots[RegionName("r" + std::to_string(i))] = *rc::gen::inRange(1, 100);
    }
    const RegionName home("r" + std::to_string(*rc::gen::inRange(0, 7)));
    const RegionShares shares = PlanRegions(home, slots);
    double sum = 0;
    for (const auto& [region, share] : shares) {
      RC_ASSERT(share >= 0);
      sum += share;
    }
    RC_ASSERT(std::abs(sum - 1) < 1e-9);
  }));
}

TEST_CASE(
    "A region with many slots keeps its requests, one with few shares them") {
  const RegionSlots slots = {{RegionName("lima"), 30},
                             {RegionName("arequipa"), 6},
                             {RegionName("trujillo"), 24}};
  CHECK(PlanRegions(RegionName("lima"), slots).at(RegionName("lima")) == 1);
  const RegionShares few = PlanRegions(RegionName("arequipa"), slots);
  CHECK(few.at(RegionName("arequipa")) ==
        doctest::Approx(kHomePreference * 6 / 20));
  CHECK(few.at(RegionName("lima")) > few.at(RegionName("trujillo")));
}

TEST_CASE("An idle connection is used again only well before its timeout") {
  IdleConnections idle;
  idle.Add(OneUpstream(), ConnectionId{1}, Seconds(10), At(Duration(0)));
  CHECK_FALSE(idle.Take(OneUpstream(), true, At(Seconds(5))).has_value());
  CHECK(idle.TakeExpired(At(Seconds(5))).size() == 1);
  idle.Add(OneUpstream(), ConnectionId{2}, Seconds(2), At(Duration(0)));
  CHECK_FALSE(
      idle.Take(OneUpstream(), true, At(Milliseconds(1'100))).has_value());
  CHECK(idle.Take(OneUpstream(), true, At(Milliseconds(900))).has_value());
}

// If an idle connection closes while a non-idempotent request is sent on it,
// the outcome can only be reported as unknown.
TEST_CASE(
    "A non-idempotent request uses only a connection that was in use just "
    "before") {
  IdleConnections idle;
  idle.Add(OneUpstream(), ConnectionId{1}, std::nullopt, At(Duration(0)));
  const MonotonicTime later = At(IdleConnections::kMaxIdleNonIdempotent);
  CHECK_FALSE(idle.Take(OneUpstream(), false, later).has_value());
  CHECK(idle.Take(OneUpstream(), true, later).has_value());
}

TEST_CASE("A lost connection is never handed out") {
  IdleConnections idle;
  idle.Add(OneUpstream(), ConnectionId{1}, std::nullopt, At(Duration(0)));
  CHECK(idle.Remove(ConnectionId{1}));
  CHECK_FALSE(idle.Remove(ConnectionId{1}));
  CHECK_FALSE(idle.Take(OneUpstream(), true, At(Duration(1))).has_value());
}

TEST_CASE(
    "The queue orders by urgency, then puts requests that can still be in time "
    "first") {
  WaitingQueue queue;
  const MonotonicTime now = At(Seconds(1));
  queue.Add(RequestId{1}, 1, At(Duration(0)), At(Milliseconds(500)));
  queue.Add(RequestId{2}, 1, At(Milliseconds(900)), At(Seconds(2)));
  queue.Add(RequestId{3}, 0, At(Milliseconds(950)), At(Milliseconds(960)));
  queue.Add(RequestId{4}, 1, At(Milliseconds(800)), At(Seconds(2)));
  CHECK(queue.InOrder(now) == std::vector<RequestId>{RequestId{3}, RequestId{4},
                                                     RequestId{2},
                                                     RequestId{1}});
  queue.Remove(RequestId{4});
  CHECK(queue.Size() == 3);
}

TEST_CASE("One straggler hardly moves the expected time of a service") {
  ServiceTimes times;
  const ServiceName service("vitrina");
  for (int i = 0; i < 50; ++i) {
    times.Add(service, CachePrediction::kHit, Milliseconds(100));
  }
  times.Add(service, CachePrediction::kHit, Milliseconds(5000));
  CHECK(times.Expect(service, CachePrediction::kHit) < Milliseconds(110));
  CHECK(times.Expect(service, CachePrediction::kMiss) ==
        2 * times.Expect(service, CachePrediction::kHit));
}

TEST_CASE("The recent objects of a restarted upstream are cleared") {
  UpstreamTable table;
  table.OnRegistered(Registration(), RegionName("lima"), At(Duration(0)));
  table.Find(OneUpstream())->objects.Record(5);
  UpstreamRegistration next = Registration();
  next.sequence = 9;
  table.OnRegistered(next, RegionName("lima"), At(Seconds(1)));
  CHECK(table.Find(OneUpstream())->objects.Contains(5));
  next.started_ms = 2;
  table.OnRegistered(next, RegionName("lima"), At(Seconds(2)));
  CHECK_FALSE(table.Find(OneUpstream())->objects.Contains(5));
}

// Guards against sends without permits after an outage in which the row ran
// out.
TEST_CASE("The rate limit of an upstream outlasts its row and its process") {
  UpstreamTable table;
  table.OnRegistered(Registration(), RegionName("lima"), At(Duration(0)));
  const std::uint64_t hash = StableHash(OneUpstream().Text());
  table.Find(OneUpstream())
      ->rate_limit.OnAnswer(4, At(Duration(0)), At(Duration(0)));
  table.Find(OneUpstream())->permits.Add(2, At(Duration(0)));
  table.MarkRemoved(OneUpstream(), At(Seconds(1)));
  REQUIRE(table.Find(OneUpstream()) == nullptr);
  CHECK(table.RateState(hash, At(Seconds(1))).rate_limit.Rate() == 4);
  CHECK(table.RateState(hash, At(Seconds(1))).region == RegionName("lima"));
  table.OnRegistered(Registration(), RegionName("lima"), At(Seconds(20)));
  CHECK(table.Find(OneUpstream())->rate_limit.Rate() == 4);
  CHECK(table.Find(OneUpstream())->permits.Received() == 2);
  UpstreamRegistration next = Registration();
  next.started_ms = 2;
  table.OnRegistered(next, RegionName("lima"), At(Seconds(30)));
  CHECK(table.Find(OneUpstream())->rate_limit.Rate() == 4);
}

TEST_CASE("A rate limit that is learned before the upstream's row applies") {
  UpstreamTable table;
  const std::uint64_t hash = StableHash(OneUpstream().Text());
  table.RateState(hash, At(Duration(0)))
      .rate_limit.OnAnswer(4, At(Duration(0)), At(Duration(0)));
  table.OnRegistered(Registration(), RegionName("lima"), At(Seconds(1)));
  CHECK(table.Find(OneUpstream())->rate_limit.Rate() == 4);
}

TEST_CASE("The rate state of an upstream that is gone is forgotten at last") {
  UpstreamTable table;
  table.OnRegistered(Registration(), RegionName("lima"), At(Duration(0)));
  table.Find(OneUpstream())
      ->rate_limit.OnAnswer(4, At(Duration(0)), At(Duration(0)));
  table.MarkRemoved(OneUpstream(), At(Duration(0)));
  table.ForgetRates(At(UpstreamTable::kRateMemory));
  table.OnRegistered(Registration(), RegionName("lima"),
                     At(UpstreamTable::kRateMemory));
  CHECK_FALSE(table.Find(OneUpstream())->rate_limit.Rate());
}

TEST_CASE("A removed upstream is erased once its request in flight ends") {
  UpstreamTable table;
  table.OnRegistered(Registration(), RegionName("lima"), At(Duration(0)));
  table.OnStarted(OneUpstream());
  table.MarkRemoved(OneUpstream(), At(Duration(0)));
  REQUIRE(table.Find(OneUpstream()) != nullptr);
  CHECK_FALSE(table.IsOpen(*table.Find(OneUpstream()), At(Duration(0))));
  table.OnEnded(OneUpstream(), SendResult::kAnswered, At(Seconds(1)));
  CHECK(table.Find(OneUpstream()) == nullptr);
  CHECK(table.OfService(ServiceName("vitrina")).empty());
}

TEST_CASE(
    "Unreachable and evacuated upstreams are closed to requests, and later "
    "open again") {
  UpstreamTable table;
  table.OnRegistered(Registration(), RegionName("lima"), At(Duration(0)));
  table.OnConnectFailed(OneUpstream(), At(Duration(0)));
  CHECK_FALSE(table.IsOpen(*table.Find(OneUpstream()), At(Milliseconds(100))));
  CHECK(table.IsOpen(*table.Find(OneUpstream()), At(Seconds(1))));
  table.SetEvacuated(ZoneName("lima-a"), true);
  CHECK_FALSE(table.IsOpen(*table.Find(OneUpstream()), At(Seconds(1))));
  table.SetEvacuated(ZoneName("lima-a"), false);
  CHECK(table.IsOpen(*table.Find(OneUpstream()), At(Seconds(1))));
}

TEST_CASE("Load reports of others decay to their average") {
  UpstreamTable table;
  table.OnRegistered(Registration(), RegionName("lima"), At(Duration(0)));
  table.OnLoadReport(OneUpstream(), {3, 1, 3, 250}, At(Duration(0)));
  const TrackedUpstream& upstream = *table.Find(OneUpstream());
  CHECK(UpstreamTable::EstimateOccupancy(upstream, At(Duration(0))) == 4);
  CHECK(UpstreamTable::EstimateOccupancy(upstream, At(Seconds(10))) ==
        doctest::Approx(0.8).epsilon(0.01));
  CHECK(UpstreamTable::EstimateSlowness(upstream, At(Duration(0))) ==
        doctest::Approx(2.5));
  CHECK(UpstreamTable::EstimateSlowness(upstream, At(Seconds(10))) ==
        doctest::Approx(1).epsilon(0.01));
}

}  // namespace kumquatcove
