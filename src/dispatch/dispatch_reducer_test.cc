#include "dispatch/dispatch_reducer.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>

#include "dispatch/fake_dispatch_world.h"

namespace kumquatcove {
namespace {

constexpr const char* kRoutes =
    "5 a.example /browse/ vitrina i a.example /order/ despacho n";

/** A world with two upstreams of each service. */
struct SmallWorld : FakeDispatchWorld {
  SmallWorld() {
    AddUpstream("v1", "vitrina");
    AddUpstream("v2", "vitrina", "lima-b");
    AddUpstream("d1", "despacho");
    AddUpstream("d2", "despacho", "lima-b");
    Start(kRoutes);
  }
};

}  // namespace

TEST_CASE("A request is answered by an upstream of its route's service") {
  SmallWorld world;
  const RequestId request = world.Request("/browse/7");
  REQUIRE(world.sends.size() == 1);
  CHECK(world.upstreams.at(world.sends[0].upstream.Text()).service ==
        ServiceName("vitrina"));
  CHECK(world.sends[0].patience <= Seconds(1));
  world.Reply(0, world.Answer(200));
  CHECK(world.AnswerOf(request).outcome == Outcome::kRan);
  CHECK(world.AnswerOf(request).http.body == "body");
}

TEST_CASE("Without a configuration requests are refused, not unknown") {
  FakeDispatchWorld world;
  world.store_up = false;
  world.Handle(Started{});
  CHECK_FALSE(world.ready);
  const RequestId request = world.Request("/browse/7");
  CHECK(world.AnswerOf(request).reason == RefusalReason::kNotReady);
  CHECK(world.AnswerOf(request).outcome == Outcome::kDidNotRun);
}

TEST_CASE("With a configuration a path without a route is unknown") {
  SmallWorld world;
  CHECK(world.ready);
  const RequestId request = world.Request("/other/7");
  CHECK(world.AnswerOf(request).reason == RefusalReason::kUnknownService);
}

TEST_CASE(
    "A non-idempotent request isn't sent again after its connection broke") {
  SmallWorld world;
  const RequestId request = world.Request("/order/7");
  world.Break(0);
  world.AdvanceTime(Milliseconds(100));
  CHECK(world.sends.size() == 1);
  CHECK(world.AnswerOf(request).outcome == Outcome::kUnknown);
}

TEST_CASE(
    "A non-idempotent request is sent again if the upstream didn't execute "
    "it") {
  SmallWorld world;
  const RequestId request = world.Request("/order/7");
  world.ReplyNotExecuted(0);
  REQUIRE(world.sends.size() == 2);
  CHECK(world.sends[1].upstream != world.sends[0].upstream);
  world.ReplyNotExecuted(1);
  CHECK(world.sends.size() == 2);
  CHECK(world.AnswerOf(request).outcome == Outcome::kDidNotRun);
  CHECK(world.answers.at(request).retry_after.has_value());
}

TEST_CASE("An unreachable upstream costs no send, and others get the request") {
  SmallWorld world;
  world.unreachable = {UpstreamId("d1")};
  for (int i = 0; i < 4; ++i) {
    const RequestId request = world.Request("/order/" + std::to_string(i));
    REQUIRE_FALSE(world.answers.contains(request));
    CHECK(world.sends.back().upstream == UpstreamId("d2"));
    world.Reply(world.sends.size() - 1, world.Answer(200));
  }
}

TEST_CASE("A request of which no byte was written is sent again") {
  SmallWorld world;
  const RequestId request = world.Request("/order/7");
  world.Handle(ConnectionLost{world.sends.at(0).connection, true});
  REQUIRE(world.sends.size() == 2);
  world.Reply(1, world.Answer(200));
  CHECK(world.AnswerOf(request).outcome == Outcome::kRan);
}

// Guards against a stale send: the caller of a request in flight left, and when
// its connection turned out to be closed the request was sent to another
// upstream.
TEST_CASE("A request of which no byte was written ends if its caller is gone") {
  SmallWorld world;
  const RequestId request = world.Request("/order/7");
  world.Handle(CallerGone{request});
  CHECK_FALSE(world.answers.contains(request));
  world.Handle(ConnectionLost{world.sends.at(0).connection, true});
  CHECK(world.sends.size() == 1);
  CHECK(world.AnswerOf(request).outcome == Outcome::kDidNotRun);
  world.AdvanceTime(Seconds(1));
  CHECK(world.sends.size() == 1);
}

TEST_CASE(
    "An idempotent request is sent again after an error, within its limit") {
  SmallWorld world;
  const RequestId request = world.Request("/browse/7");
  world.Reply(0, world.Answer(500));
  REQUIRE(world.sends.size() == 2);
  world.Reply(1, world.Answer(500));
  CHECK(world.sends.size() == 2);
  CHECK(world.AnswerOf(request).http.status == 500);
}

TEST_CASE(
    "An upstream's status that implies that a request didn't run isn't passed "
    "on") {
  SmallWorld world;
  const RequestId request = world.Request("/order/7");
  world.Reply(0, world.Answer(503));
  CHECK(world.AnswerOf(request).outcome == Outcome::kUnknown);
}

// Guards against requests that wait until their timeout for an upstream that
// crashed without closing its connections: 49 requests did so within two
// seconds of a benchmark run (inc-c0b1).
TEST_CASE("Requests don't wait for an upstream that has become unresponsive") {
  SmallWorld world;
  const RequestId request = world.Request("/browse/7");
  const RequestId order = world.Request("/order/7");
  REQUIRE(world.sends.size() == 2);
  const UpstreamId gone = world.sends[0].upstream;
  world.unresponsive = {gone, world.sends[1].upstream};
  world.AdvanceTime(Milliseconds(700));
  REQUIRE(world.sends.size() == 3);
  CHECK(world.sends[0].closed);
  CHECK(world.sends[2].target == "/browse/7");
  CHECK(world.sends[2].upstream != gone);
  world.Reply(2, world.Answer(200));
  CHECK(world.AnswerOf(request).outcome == Outcome::kRan);
  // An order may have run; its answer may still come.
  CHECK_FALSE(world.answers.contains(order));
  CHECK_FALSE(world.sends[1].closed);
  // Others avoid the upstream from now on.
  world.Request("/browse/8");
  CHECK(world.sends.back().upstream != gone);
}

TEST_CASE("A long request at a reachable upstream isn't cancelled") {
  SmallWorld world;
  const RequestId request = world.Request("/browse/7");
  world.AdvanceTime(Milliseconds(900));
  CHECK(world.sends.size() == 1);
  CHECK_FALSE(world.sends[0].closed);
  world.Reply(0, world.Answer(200));
  CHECK(world.AnswerOf(request).outcome == Outcome::kRan);
}

// Guards against losing one request to each stalled idle connection.
TEST_CASE(
    "A stalled kept-alive connection closes the other idle ones of its "
    "upstream") {
  FakeDispatchWorld world;
  world.AddUpstream("b1", "vitrina");
  world.Start("5 a.example /browse/ vitrina i");
  world.Request("/browse/1");
  world.Request("/browse/2");
  REQUIRE(world.sends.size() == 2);
  for (const std::size_t index : {0U, 1U}) {
    UpstreamAnswered answer = world.Answer(200);
    answer.keep_alive = true;
    world.Reply(index, answer);
  }
  const RequestId request = world.Request("/browse/3");
  REQUIRE(world.sends.size() == 3);
  CHECK(world.sends[2].connection == world.sends[1].connection);
  world.AdvanceTime(Milliseconds(1'300));
  CHECK(world.AnswerOf(request).reason == RefusalReason::kDeadlineExpired);
  world.Request("/browse/4");
  REQUIRE(world.sends.size() == 4);
  CHECK(world.sends[3].connection != world.sends[0].connection);
  CHECK(world.sends[3].connection != world.sends[1].connection);
}

TEST_CASE("A request ends at the timeout of its route") {
  SmallWorld world;
  const RequestId request = world.Request("/order/7", Seconds(2));
  world.AdvanceTime(Milliseconds(900));
  CHECK_FALSE(world.answers.contains(request));
  world.AdvanceTime(Milliseconds(350));
  CHECK(world.AnswerOf(request).reason == RefusalReason::kDeadlineExpired);
  CHECK(world.AnswerOf(request).outcome == Outcome::kUnknown);
  CHECK(world.sends[0].closed);
}

TEST_CASE(
    "A caller that disconnects frees the slot of an idempotent request at "
    "once") {
  SmallWorld world;
  const RequestId request = world.Request("/browse/7");
  world.Handle(CallerGone{request});
  CHECK(world.sends[0].closed);
}

TEST_CASE(
    "A non-idempotent request in flight continues after its caller "
    "disconnects") {
  SmallWorld world;
  const RequestId request = world.Request("/order/7");
  world.Handle(CallerGone{request});
  CHECK_FALSE(world.sends[0].closed);
}

TEST_CASE("A draining upstream gets no more requests") {
  SmallWorld world;
  UpstreamRegistration leaving = world.upstreams.at("d1");
  leaving.draining = true;
  leaving.sequence += 100;
  world.table.Put("upstreams/d1", UpstreamRow(leaving));
  world.AdvanceTime(Milliseconds(200));
  for (int i = 0; i < 3; ++i) {
    world.Request("/order/" + std::to_string(i));
    CHECK(world.sends.back().upstream == UpstreamId("d2"));
  }
}

TEST_CASE(
    "The upstreams of an evacuated zone get no requests until the evacuation "
    "ends") {
  SmallWorld world;
  world.table.Put("operator/lima-b", "");
  world.AdvanceTime(Milliseconds(50));
  for (int i = 0; i < 3; ++i) {
    world.Request("/order/" + std::to_string(i));
    CHECK(world.sends.back().upstream == UpstreamId("d1"));
  }
  world.table.Remove("operator/lima-b");
  world.AdvanceTime(Milliseconds(50));
  std::set<UpstreamId> used;
  for (int i = 0; i < 6; ++i) {
    world.Request("/order/x" + std::to_string(i));
    used.insert(world.sends.back().upstream);
  }
  CHECK(used.size() == 2);
}

TEST_CASE("An upstream whose address belongs to another is left out") {
  SmallWorld world;
  world.Request("/order/7");
  UpstreamAnswered answer = world.Answer(421);
  answer.wrong_upstream = true;
  const UpstreamId displaced = world.sends[0].upstream;
  world.Reply(0, answer);
  for (int i = 0; i < 3; ++i) {
    world.Request("/order/" + std::to_string(i));
    CHECK(world.sends.back().upstream != displaced);
  }
}

TEST_CASE(
    "Requests beyond the slots wait, and those that can't be served in time "
    "are "
    "refused") {
  SmallWorld world;
  // Two upstreams of three slots; a third as many requests may wait there.
  for (int i = 0; i < 120; ++i) {
    world.Request("/order/" + std::to_string(i));
  }
  CHECK(world.sends.size() <= 10);
  std::size_t refused = 0;
  for (const auto& [id, answer] : world.answers) {
    CHECK(answer.answer.outcome == Outcome::kDidNotRun);
    CHECK(answer.retry_after.has_value());
    ++refused;
  }
  CHECK(refused > 0);
  const std::size_t before = world.sends.size();
  world.Reply(0, world.Answer(200));
  CHECK(world.sends.size() == before + 1);
}

TEST_CASE("A request that waited while the machine was suspended is not sent") {
  SmallWorld world;
  for (int i = 0; i < 12; ++i) {
    world.Request("/order/" + std::to_string(i));
  }
  const std::size_t before = world.sends.size();
  world.Suspend(Seconds(5));
  world.Reply(0, world.Answer(200));
  CHECK(world.sends.size() == before);
}

TEST_CASE(
    "A content hash that crashes upstreams is rejected after the second "
    "crash") {
  SmallWorld world;
  for (int i = 0; i < 2; ++i) {
    const RequestId request = world.Request("/order/poison");
    world.unreachable.insert(world.sends.back().upstream);
    world.Break(world.sends.size() - 1);
    world.AdvanceTime(Milliseconds(500));
    CHECK(world.AnswerOf(request).outcome == Outcome::kUnknown);
  }
  world.unreachable.clear();
  world.AdvanceTime(Seconds(3));
  const RequestId third = world.Request("/order/poison");
  CHECK(world.AnswerOf(third).reason == RefusalReason::kQuarantined);
  const RequestId other = world.Request("/order/harmless");
  CHECK_FALSE(world.answers.contains(other));
}

TEST_CASE(
    "Instances notify each other of content hashes that crash upstreams") {
  SmallWorld world;
  world.ReceiveHeartbeat("e2", "lima");
  world.ReceiveHeartbeat("e3", "arequipa");
  world.peer_messages.clear();
  const RequestId request = world.Request("/order/poison");
  world.unreachable.insert(world.sends.back().upstream);
  world.Break(world.sends.size() - 1);
  world.AdvanceTime(Milliseconds(500));
  CHECK(world.AnswerOf(request).outcome == Outcome::kUnknown);
  std::vector<Suspicion> broadcast;
  std::set<InstanceId> receivers;
  for (const SendPeer& message : world.peer_messages) {
    if (const auto* suspicion = std::get_if<Suspicion>(&message.message)) {
      broadcast.push_back(*suspicion);
      receivers.insert(message.to);
    }
  }
  CHECK(receivers == std::set{InstanceId("e2"), InstanceId("e3")});
  REQUIRE(broadcast.size() == 2);
  CHECK(broadcast[0].level == SuspicionLevel::kSuspect);
  // The same content crashes another upstream, as observed by another instance.
  world.unreachable.clear();
  world.AdvanceTime(Seconds(3));
  world.Handle(PeerMessageArrived{InstanceId("e2"), {}, broadcast[0]});
  CHECK(world.AnswerOf(world.Request("/order/poison")).reason ==
        RefusalReason::kQuarantined);
  // It succeeded at another instance.
  broadcast[0].level = SuspicionLevel::kCleared;
  world.Handle(PeerMessageArrived{InstanceId("e2"), {}, broadcast[0]});
  CHECK_FALSE(world.answers.contains(world.Request("/order/poison")));
}

TEST_CASE("A broken connection of a live upstream raises no suspicion") {
  SmallWorld world;
  for (int i = 0; i < 5; ++i) {
    const RequestId request = world.Request("/order/7");
    REQUIRE_FALSE(world.answers.contains(request));
    world.Break(world.sends.size() - 1);
    world.AdvanceTime(Milliseconds(100));
  }
}

TEST_CASE("A request with home regions runs in no other region") {
  DispatchSettings settings = FakeDispatchWorld::MakeSettings();
  settings.zones["arequipa-a"] = "arequipa";
  FakeDispatchWorld world(settings);
  world.codec.home_regions = {RegionName("arequipa")};
  world.AddUpstream("near", "despacho", "lima-a");
  world.AddUpstream("home", "despacho", "arequipa-a");
  world.Start("5 a.example /order/ despacho n");
  // More than the home region's upstream accepts at once: the others wait for
  // it.
  constexpr int kRequests = 8;
  std::vector<RequestId> requests;
  requests.reserve(kRequests);
  for (int i = 0; i < kRequests; ++i) {
    requests.push_back(world.Request("/order/" + std::to_string(i)));
  }
  for (std::size_t i = 0; i < world.sends.size(); ++i) {
    world.Reply(i, world.Answer(200));
  }
  world.AdvanceTime(Seconds(2));
  for (const FakeSend& send : world.sends) {
    CHECK(send.upstream == UpstreamId("home"));
  }
  for (const RequestId request : requests) {
    CHECK(world.answers.contains(request));
  }
  // Without an upstream in the home region it is refused, though another has
  // room.
  world.table.Remove("upstreams/home");
  world.AdvanceTime(Seconds(2));
  const RequestId homeless = world.Request("/order/homeless");
  CHECK(world.AnswerOf(homeless).outcome == Outcome::kDidNotRun);
  CHECK(world.AnswerOf(homeless).reason == RefusalReason::kNoUpstream);
}

TEST_CASE("A store outage changes nothing for requests") {
  SmallWorld world;
  world.store_up = false;
  world.AdvanceTime(Seconds(10));
  CHECK(world.ready);
  const RequestId request = world.Request("/order/7");
  world.Reply(0, world.Answer(200));
  CHECK(world.AnswerOf(request).outcome == Outcome::kRan);
}

// Guards against lost requests (LOST): an instance exited while its port still
// accepted requests (trouble-3 of fmhx-orders).
TEST_CASE("A planned stop accepts requests, then reads none, then exits") {
  SmallWorld world;
  world.Handle(StopRequested{});
  CHECK_FALSE(world.ready);
  CHECK(world.intake == CallerIntake::kClosing);
  const RequestId late = world.Request("/order/7");
  CHECK(world.sends.size() == 1);
  world.AdvanceTime(Milliseconds(3'600));
  const RequestId last = world.Request("/order/8");
  world.AdvanceTime(Milliseconds(400));
  CHECK(world.intake == CallerIntake::kClosed);
  CHECK_FALSE(world.exited);
  world.Reply(world.sends.size() - 1, world.Answer(200));
  CHECK(world.AnswerOf(last).outcome == Outcome::kRan);
  world.AdvanceTime(Milliseconds(100));
  CHECK(world.answers.contains(late));
  CHECK(world.exited);
}

TEST_CASE("A stopping instance ends before it is killed") {
  SmallWorld world;
  world.codec.timeout = Seconds(60);
  world.table.Put("operator/config", "6 a.example /order/ despacho n");
  world.AdvanceTime(Milliseconds(100));
  world.Handle(StopRequested{});
  world.Request("/order/7", Seconds(60));
  world.AdvanceTime(Seconds(6));
  CHECK(world.exited);
}

TEST_CASE("A stopping instance accepts no request that its end could cut off") {
  SmallWorld world;
  world.codec.timeout = Seconds(5);
  world.table.Put("operator/config", "6 a.example /order/ despacho n");
  world.AdvanceTime(Milliseconds(100));
  world.Handle(StopRequested{});
  world.AdvanceTime(Milliseconds(2'500));
  world.Request("/order/1", Seconds(5));
  REQUIRE(world.sends.size() == 1);
  world.AdvanceTime(Milliseconds(600));
  const RequestId too_long = world.Request("/order/2", Seconds(5));
  REQUIRE(world.answers.contains(too_long));
  CHECK(world.AnswerOf(too_long).outcome == Outcome::kDidNotRun);
  CHECK(world.AnswerOf(too_long).reason == RefusalReason::kLeaving);
  CHECK(world.sends.size() == 1);
  world.Request("/order/3", Milliseconds(1'500));
  CHECK(world.sends.size() == 2);
}

TEST_CASE("Every request has an answer before a stopping instance exits") {
  SmallWorld world;
  world.codec.timeout = Seconds(60);
  world.table.Put("operator/config", "6 a.example /order/ despacho n");
  world.AdvanceTime(Milliseconds(100));
  std::vector<RequestId> requests;
  while (world.sends.size() == requests.size()) {
    requests.push_back(world.Request("/order/7", Seconds(60)));
  }
  const RequestId waiting = requests.back();
  requests.pop_back();
  world.Handle(StopRequested{});
  world.AdvanceTime(Seconds(6));
  REQUIRE(world.exited);
  REQUIRE(world.answers.contains(waiting));
  CHECK(world.AnswerOf(waiting).outcome == Outcome::kDidNotRun);
  CHECK(world.AnswerOf(waiting).reason == RefusalReason::kLeaving);
  for (const RequestId sent : requests) {
    REQUIRE(world.answers.contains(sent));
    CHECK(world.AnswerOf(sent).outcome == Outcome::kUnknown);
  }
}

TEST_CASE("The time of a stop runs from the begin of a freeze before it") {
  SmallWorld world;
  world.codec.timeout = Seconds(60);
  world.table.Put("operator/config", "6 a.example /order/ despacho n");
  world.AdvanceTime(Milliseconds(100));
  world.Request("/order/7", Seconds(60));
  world.Suspend(Milliseconds(600));
  world.Handle(Tick{});
  world.Handle(StopRequested{});
  world.AdvanceTime(Milliseconds(5'390));
  CHECK(world.exited);
}

TEST_CASE("A stop right after the start has its whole time") {
  FakeDispatchWorld world;
  world.table.Put("operator/config", kRoutes);
  world.Handle(Started{});
  world.Handle(StopRequested{});
  world.AdvanceTime(Milliseconds(3'600));
  CHECK(world.intake == CallerIntake::kClosing);
}

TEST_CASE("A lookup returns this instance while it serves") {
  SmallWorld world;
  LookupArrived event;
  event.zone = ZoneName("lima-a");
  world.Handle(event);
  REQUIRE(world.lookup.has_value());
  REQUIRE(world.lookup->entries.size() == 1);
  CHECK(world.lookup->entries[0].address == "e1:1");
}

TEST_CASE(
    "Each request gets one answer and at most one run, whatever happens") {
  CHECK(rc::check([](std::uint64_t seed) {
    SmallWorld world;
    Random random(seed);
    std::map<std::string, int> runs;
    std::vector<std::size_t> open;
    std::size_t seen = 0;
    int requests = 0;
    for (int step = 0; step < 400; ++step) {
      switch (random.NextBelow(7)) {
        case 0:
        case 1:
          world.Request("/order/" + std::to_string(++requests));
          break;
        case 2:
          world.AdvanceTime(
              Milliseconds(static_cast<std::int64_t>(random.NextBelow(300))));
          break;
        case 3: {
          const UpstreamId upstream("d" +
                                    std::to_string(1 + random.NextBelow(2)));
          world.unreachable.contains(upstream)
              ? world.unreachable.erase(upstream)
              : world.unreachable.insert(upstream).second;
          break;
        }
        default:
          if (!open.empty()) {
            const std::size_t pick = random.NextBelow(open.size());
            const std::size_t index = open[pick];
            open.erase(open.begin() + static_cast<std::ptrdiff_t>(pick));
            const std::string target = world.sends[index].target;
            switch (random.NextBelow(4)) {
              case 0:
                world.ReplyNotExecuted(index);
                break;
              case 1:
                ++runs[target];
                world.Break(index);
                break;
              default:
                ++runs[target];
                world.Reply(index, world.Answer(200));
            }
          }
      }
      for (; seen < world.sends.size(); ++seen) {
        open.push_back(seen);
      }
    }
    world.AdvanceTime(Seconds(3));
    RC_ASSERT(world.answers.size() == static_cast<std::size_t>(requests));
    for (const auto& [target, count] : runs) {
      RC_ASSERT(count == 1);
    }
    for (const auto& [id, answer] : world.answers) {
      const std::string target = "/order/" + std::to_string(id.number);
      if (answer.answer.outcome == Outcome::kDidNotRun) {
        RC_ASSERT(runs[target] == 0);
      }
    }
  }));
}

TEST_CASE(
    "The idle connections of all instances stay within what an upstream "
    "accepts") {
  FakeDispatchWorld world;
  world.codec.max_connections = 24;
  world.AddUpstream("v1", "vitrina");
  world.Start(kRoutes);
  for (const char* instance : {"e2", "e3", "e4"}) {
    world.ReceiveHeartbeat(instance, "lima");
  }
  world.AdvanceTime(Milliseconds(20));
  for (int i = 0; i < 4; ++i) {
    world.Request("/browse/" + std::to_string(i));
  }
  REQUIRE(world.sends.size() == 4);
  for (std::size_t i = 0; i < 4; ++i) {
    world.Reply(i, world.Answer(200));
  }
  // A quarter of the half that may be idle.
  CHECK(std::count_if(world.sends.begin(), world.sends.end(),
                      [](const FakeSend& send) { return !send.closed; }) == 3);
}

}  // namespace kumquatcove
