#include "dispatch/shared_load.h"

#include <doctest/doctest.h>

#include <string>

namespace kumquatcove {
namespace {

MonotonicTime At(Duration time) {
  return MonotonicTime(Seconds(100) + time);
}

UpstreamId First() {
  return UpstreamId("i-1");
}

/** Upstream table and shared load of one instance. */
struct Instance {
  Instance() {
    UpstreamRegistration registration;
    registration.id = First();
    registration.service = ServiceName("vitrina");
    registration.address = "10.0.0.1:80";
    registration.slots = 3;
    registration.started_ms = 1;
    table.OnRegistered(registration, RegionName("lima"), At(Duration(0)));
  }

  double Occupancy(MonotonicTime now) const {
    return UpstreamTable::EstimateOccupancy(*table.Find(First()), now);
  }

  UpstreamTable table;
  SharedLoad shared{table};
};

}  // namespace

// Guards against instances that all choose the same upstream: each counted only
// its own requests there, and used reports that were older than the requests.
TEST_CASE("An instance counts the requests that others have sent") {
  Instance left;
  Instance right;
  const InstanceId name("left");
  left.table.OnStarted(First());
  left.table.OnStarted(First());
  left.table.OnAwaited(First(), 1);
  right.shared.OnDigest(name, left.shared.MakeDigest(At(Seconds(1))),
                        At(Seconds(1)));
  CHECK(right.Occupancy(At(Seconds(1))) == doctest::Approx(2));
  CHECK(right.table.Find(First())->peers_awaited == 1);
  CHECK(right.shared.CountSenders() == 1);

  left.table.OnEnded(First(), SendResult::kAnswered, At(Seconds(1)));
  left.table.OnAwaited(First(), -1);
  right.shared.OnDigest(name, left.shared.MakeDigest(At(Seconds(2))),
                        At(Seconds(2)));
  CHECK(right.Occupancy(At(Seconds(2))) == doctest::Approx(1));
  CHECK(right.table.Find(First())->peers_awaited == 0);
}

TEST_CASE(
    "The load of an instance that sends no digests any more is discarded") {
  Instance left;
  Instance right;
  left.table.OnStarted(First());
  right.shared.OnDigest(InstanceId("left"),
                        left.shared.MakeDigest(At(Seconds(1))), At(Seconds(1)));
  right.shared.OnTick(At(Seconds(2)));
  CHECK(right.Occupancy(At(Seconds(2))) == doctest::Approx(1));
  right.shared.OnTick(At(Seconds(4)));
  CHECK(right.Occupancy(At(Seconds(4))) == doctest::Approx(0));
  CHECK(right.shared.CountSenders() == 0);
}

TEST_CASE(
    "The newest report of an upstream is used, whichever instance received "
    "it") {
  Instance left;
  Instance right;
  // Five requests that neither instance has sent, on a slow machine.
  left.table.OnLoadReport(First(), {3, 2, 3, 250}, At(Seconds(1)));
  const LoadDigest digest = left.shared.MakeDigest(At(Milliseconds(1'050)));
  right.table.OnLoadReport(First(), {1, 0, 3, 100}, At(Milliseconds(500)));
  right.shared.OnDigest(InstanceId("left"), digest, At(Milliseconds(1'060)));
  const TrackedUpstream& upstream = *right.table.Find(First());
  CHECK(upstream.others_reported == doctest::Approx(5));
  CHECK(upstream.work_time_ratio == doctest::Approx(2.5));
  // The age counts from the report, not from the digest.
  CHECK(upstream.reported == At(Milliseconds(1'010)));

  right.table.OnLoadReport(First(), {0, 0, 3, 100}, At(Seconds(2)));
  right.shared.OnDigest(InstanceId("left"), digest, At(Milliseconds(2'010)));
  CHECK(upstream.work_time_ratio == doctest::Approx(1));
}

TEST_CASE(
    "A report of the others' load excludes the requests counted by digests") {
  Instance left;
  Instance right;
  left.table.OnStarted(First());
  left.table.OnStarted(First());
  right.shared.OnDigest(InstanceId("left"),
                        left.shared.MakeDigest(At(Seconds(1))), At(Seconds(1)));
  right.table.OnStarted(First());
  right.table.OnLoadReport(First(), {3, 1, 3, 100}, At(Seconds(1)));
  // Four in all: one of its own, two of the other's, one of another region.
  CHECK(right.Occupancy(At(Seconds(1))) == doctest::Approx(4));
}

TEST_CASE(
    "An instance receives the objects that upstreams handled for others") {
  Instance left;
  Instance right;
  left.shared.OnHandled(First(), 77);
  const LoadDigest digest = left.shared.MakeDigest(At(Seconds(1)));
  right.shared.OnDigest(InstanceId("left"), digest, At(Seconds(1)));
  CHECK(right.table.Find(First())->objects.Contains(77));
  // Each handled object is sent once.
  CHECK(left.shared.MakeDigest(At(Seconds(2))).handled.empty());
}

TEST_CASE("Digests are sent less often to more receivers, within bounds") {
  Instance instance;
  instance.shared.MakeDigest(At(Duration(0)));
  const auto is_due = [&](std::size_t receivers, Duration time) {
    return instance.shared.IsDue(receivers, At(time));
  };
  CHECK_FALSE(is_due(0, Seconds(10)));
  CHECK_FALSE(is_due(3, SharedLoad::kMinInterval - Duration(1)));
  CHECK(is_due(3, SharedLoad::kMinInterval));
  CHECK_FALSE(is_due(12, Milliseconds(299)));
  CHECK(is_due(12, Milliseconds(300)));
  CHECK(is_due(1000, SharedLoad::kMaxInterval));
}

TEST_CASE("A digest of an unknown upstream is ignored") {
  Instance left;
  UpstreamTable empty;
  SharedLoad shared(empty);
  left.table.OnStarted(First());
  left.shared.OnHandled(First(), 77);
  shared.OnDigest(InstanceId("left"), left.shared.MakeDigest(At(Seconds(1))),
                  At(Seconds(1)));
  CHECK(empty.Find(First()) == nullptr);
}

}  // namespace kumquatcove
