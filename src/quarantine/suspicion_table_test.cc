#include "quarantine/suspicion_table.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <tuple>
#include <vector>

namespace kumquatcove {
namespace {

constexpr std::uint64_t kContent = 7;

struct Fixture {
  const UpstreamId first{"u1"};
  const UpstreamId second{"u2"};
  Context context{Identity{}, 1};
  SuspicionTable table;
  MonotonicTime now{Seconds(10)};

  Fixture() { context.SetNow({now, {}}); }
  void Advance(Duration duration) {
    now += duration;
    context.SetNow({now, {}});
    table.OnTick(context);
  }
  SuspicionLevel Level(std::uint64_t content = kContent) const {
    return table.LevelOf(context, content);
  }
};

}  // namespace

TEST_CASE_FIXTURE(Fixture,
                  "A content hash that breaks a second upstream while it runs "
                  "alone is quarantined for ten minutes, so that resends "
                  "don't crash all upstreams") {
  CHECK(table.OnBreak(context, kContent, first, true).level ==
        SuspicionLevel::kSuspect);
  CHECK(table.OnBreak(context, kContent, second, true).level ==
        SuspicionLevel::kQuarantined);
  Advance(SuspicionTable::kQuarantineTime - Milliseconds(1));
  CHECK(Level() == SuspicionLevel::kQuarantined);
  Advance(Seconds(2));
  CHECK(Level() == SuspicionLevel::kCleared);
  CHECK(table.Size() == 0);
}

TEST_CASE_FIXTURE(
    Fixture,
    "Several requests on one broken upstream count as one break") {
  for (int i = 0; i < 5; ++i) {
    table.OnBreak(context, kContent, first, false);
  }
  CHECK(Level() == SuspicionLevel::kSuspect);
  table.OnBreak(context, kContent, second, false);
  CHECK(Level() == SuspicionLevel::kQuarantined);
}

TEST_CASE_FIXTURE(
    Fixture,
    "A content hash that succeeded recently isn't quarantined for "
    "breaks of upstreams that ran other requests too") {
  table.OnSuccess(context, kContent);
  for (int i = 0; i < 20; ++i) {
    table.OnBreak(context, kContent, UpstreamId(std::to_string(i)), false);
    CHECK(Level() == SuspicionLevel::kSuspect);
  }
}

TEST_CASE_FIXTURE(Fixture,
                  "A success clears a suspicion and returns that peers must be "
                  "notified") {
  CHECK_FALSE(table.OnSuccess(context, kContent));
  table.OnBreak(context, kContent, first, false);
  CHECK(table.OnSuccess(context, kContent));
  CHECK(Level() == SuspicionLevel::kCleared);
  CHECK(table.OnBreak(context, kContent, second, true).level ==
        SuspicionLevel::kSuspect);
}

TEST_CASE_FIXTURE(Fixture,
                  "A quarantine from a peer applies unless the content hash "
                  "succeeded on this instance meanwhile") {
  const Suspicion suspicion{kContent, SuspicionLevel::kQuarantined, first};
  table.OnSuspicion(context, suspicion);
  CHECK(Level() == SuspicionLevel::kQuarantined);
  table.OnSuspicion(context, {kContent, SuspicionLevel::kCleared, {}});
  CHECK(Level() == SuspicionLevel::kCleared);
  table.OnSuspicion(context, suspicion);
  CHECK(Level() == SuspicionLevel::kSuspect);
}

TEST_CASE_FIXTURE(Fixture,
                  "An error answer waits for the acknowledgements of the peers "
                  "for at most 150 ms, so that a resend to another instance "
                  "finds the suspicion") {
  const Suspicion suspicion = table.OnBreak(context, kContent, first, false);
  const SuspicionAck ack{kContent, suspicion.level};
  table.HoldAnswer(context, RequestId{1}, suspicion, {});
  CHECK(table.TakeReleased() == std::vector<RequestId>{RequestId{1}});
  table.HoldAnswer(context, RequestId{2}, suspicion,
                   {InstanceId("a"), InstanceId("b")});
  table.OnAck(context, InstanceId("a"), ack);
  table.OnAck(context, InstanceId("a"), ack);
  CHECK(table.TakeReleased().empty());
  table.OnAck(context, InstanceId("b"), ack);
  CHECK(table.TakeReleased() == std::vector<RequestId>{RequestId{2}});
  table.HoldAnswer(context, RequestId{3}, suspicion, {InstanceId("a")});
  Advance(Milliseconds(149));
  CHECK(table.TakeReleased().empty());
  Advance(Milliseconds(1));
  CHECK(table.TakeReleased() == std::vector<RequestId>{RequestId{3}});
}

TEST_CASE_FIXTURE(Fixture,
                  "The number of entries is bounded, and suspects are evicted "
                  "before quarantined content hashes") {
  table.OnBreak(context, kContent, first, true);
  table.OnBreak(context, kContent, second, true);
  for (std::uint64_t i = 100; i < SuspicionTable::kMaxContents + 200; ++i) {
    table.OnBreak(context, i, first, false);
  }
  CHECK(table.Size() == SuspicionTable::kMaxContents);
  CHECK(Level() == SuspicionLevel::kQuarantined);
}

TEST_CASE(
    "In any sequence of events a content hash is quarantined only after two "
    "breaks without a success between them") {
  CHECK(rc::check([] {
    Fixture fixture;
    int breaks = 0;
    const auto commands =
        *rc::gen::container<std::vector<std::tuple<int, int>>>(
            rc::gen::tuple(rc::gen::inRange(0, 4), rc::gen::inRange(0, 3)));
    for (const auto& [kind, upstream] : commands) {
      if (kind < 2) {
        ++breaks;
        fixture.table.OnBreak(fixture.context, kContent,
                              UpstreamId(std::to_string(upstream)), kind == 1);
      } else if (kind == 2) {
        breaks = 0;
        fixture.table.OnSuccess(fixture.context, kContent);
      } else {
        fixture.Advance(Seconds(10L * upstream));
      }
      const SuspicionLevel level = fixture.Level();
      RC_ASSERT(level != SuspicionLevel::kQuarantined || breaks >= 2);
      RC_ASSERT((level == SuspicionLevel::kCleared) == (breaks == 0) ||
                fixture.now > MonotonicTime(Seconds(600)));
    }
  }));
}

}  // namespace kumquatcove
