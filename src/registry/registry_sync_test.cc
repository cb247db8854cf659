#include "registry/registry_sync.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "protocol/event.h"
#include "registry/fake_registry_codec.h"
#include "registry/fake_table.h"

namespace kumquatcove {
namespace {

constexpr Duration kDrainLimit = Milliseconds(600);

UpstreamRegistration MakeUpstream(const std::string& id,
                                  std::int64_t sequence = 1,
                                  bool draining = false) {
  UpstreamRegistration upstream;
  upstream.id = UpstreamId(id);
  upstream.service = ServiceName("vitrina");
  upstream.zone = ZoneName("lima-a");
  upstream.address = "10.0.0.1:80";
  upstream.started_ms = 1000;
  upstream.sequence = sequence;
  upstream.draining = draining;
  return upstream;
}

/** A RegistrySync that follows a fake table, with all changes so far. */
class SyncFixture {
 public:
  SyncFixture()
      : context({InstanceId("e"), 1, RegionName("lima"), ZoneName("lima-a"),
                 "e", "e"},
                3) {
    AdvanceTime(Seconds(100));
  }

  void AdvanceTime(Duration time) {
    m_now += time;
    context.SetNow({m_now, WallTime{1}});
  }

  void PutUpstream(const UpstreamRegistration& upstream) {
    table.Put("upstreams/" + upstream.id.Text(), UpstreamRow(upstream));
  }

  /** Advances time in ticks and answers all calls. */
  void Run(Duration time, StoreStatus status = StoreStatus::kOk) {
    for (Duration passed{0}; passed < time; passed += kTickInterval) {
      AdvanceTime(kTickInterval);
      sync.OnTick(context);
      DeliverReplies(status);
    }
  }

  void DeliverReplies(StoreStatus status = StoreStatus::kOk) {
    table.Take(context.TakeEffects());
    constexpr int kMaxReplies = 50;
    for (int i = 0; i < kMaxReplies; ++i) {
      const auto reply = table.Reply(status);
      if (!reply) {
        break;
      }
      sync.OnReply(context, reply->id, reply->reply);
      table.Take(context.TakeEffects());
      if (status != StoreStatus::kOk) {
        continue;
      }
    }
    for (RegistryChange& change : sync.TakeChanges()) {
      if (std::holds_alternative<StoreRestored>(change)) {
        ++restores;
      } else {
        changes.push_back(std::move(change));
      }
    }
  }

  bool IsRemoved(const std::string& id) const {
    return std::any_of(changes.begin(), changes.end(), [&](const auto& change) {
      const auto* removed = std::get_if<UpstreamRemoved>(&change);
      return removed != nullptr && removed->id == UpstreamId(id);
    });
  }

  Context context;
  FakeRegistryCodec codec;
  FakeTable table;
  RegistrySync sync{codec, kDrainLimit};
  /** All changes but StoreRestored, which is counted. */
  std::vector<RegistryChange> changes;
  int restores = 0;

 private:
  MonotonicTime m_now;
};

}  // namespace

TEST_CASE("The registry is ready once routes and upstreams have been read") {
  SyncFixture fixture;
  fixture.sync.Restart(fixture.context);
  CHECK_FALSE(fixture.sync.IsReady(fixture.context.Now()));
  fixture.DeliverReplies();
  CHECK_FALSE(fixture.sync.IsReady(fixture.context.Now()));
  fixture.table.Put("operator/config", "3 a.example / vitrina i");
  fixture.Run(Milliseconds(50));
  CHECK(fixture.sync.IsReady(fixture.context.Now()));
  CHECK(fixture.sync.Routes()->Version() == 3);
}

TEST_CASE("The configuration version never decreases") {
  SyncFixture fixture;
  fixture.table.Put("operator/config", "5 a.example / vitrina i");
  fixture.sync.Restart(fixture.context);
  fixture.DeliverReplies();
  fixture.table.Put("operator/config", "4 a.example / vitrina n");
  fixture.Run(Milliseconds(50));
  CHECK(fixture.sync.Routes()->Version() == 5);
}

TEST_CASE("All pages of a table are read") {
  SyncFixture fixture;
  fixture.table.rows->page = 2;
  for (int i = 0; i < 7; ++i) {
    fixture.PutUpstream(MakeUpstream("u" + std::to_string(i)));
  }
  fixture.sync.Restart(fixture.context);
  fixture.DeliverReplies();
  CHECK(fixture.changes.size() == 7);
}

TEST_CASE("A delayed write doesn't overwrite a later one") {
  SyncFixture fixture;
  fixture.PutUpstream(MakeUpstream("u", 5, true));
  fixture.sync.Restart(fixture.context);
  fixture.DeliverReplies();
  fixture.PutUpstream(MakeUpstream("u", 3, false));
  fixture.Run(Milliseconds(300));
  REQUIRE(fixture.changes.size() == 1);
  CHECK(std::get<UpstreamRegistered>(fixture.changes[0]).registration.draining);
}

TEST_CASE("An unreadable row is skipped and other rows are still read") {
  SyncFixture fixture;
  fixture.table.Put("upstreams/broken", "?");
  fixture.PutUpstream(MakeUpstream("u"));
  fixture.sync.Restart(fixture.context);
  fixture.DeliverReplies();
  std::size_t registered = 0;
  for (const RegistryChange& change : fixture.changes) {
    registered += std::holds_alternative<UpstreamRegistered>(change) ? 1 : 0;
  }
  CHECK(registered == 1);
}

TEST_CASE("Rows missing after the store lost its history are removed") {
  SyncFixture fixture;
  fixture.PutUpstream(MakeUpstream("u"));
  fixture.PutUpstream(MakeUpstream("v"));
  fixture.sync.Restart(fixture.context);
  fixture.DeliverReplies();
  fixture.table.Remove("upstreams/u");
  fixture.table.Put("operator/other", "");
  fixture.table.Compact();
  fixture.Run(Milliseconds(300));
  CHECK(fixture.IsRemoved("u"));
  CHECK_FALSE(fixture.IsRemoved("v"));
}

TEST_CASE(
    "Rows that expire together in an outage have a grace period for renewal") {
  SyncFixture fixture;
  for (int i = 0; i < 4; ++i) {
    fixture.PutUpstream(MakeUpstream("u" + std::to_string(i)));
  }
  fixture.sync.Restart(fixture.context);
  fixture.DeliverReplies();
  // Every retry fails; the watch in progress is answered first.
  fixture.PutUpstream(MakeUpstream("u0", 2));
  fixture.Run(Milliseconds(10));
  fixture.Run(Seconds(4), StoreStatus::kRefused);
  CHECK_FALSE(fixture.sync.IsStoreReachable());
  for (int i = 0; i < 3; ++i) {
    fixture.table.Remove("upstreams/u" + std::to_string(i));
  }
  fixture.Run(Milliseconds(1500));
  CHECK(fixture.sync.IsStoreReachable());
  CHECK_FALSE(fixture.IsRemoved("u1"));
  fixture.PutUpstream(MakeUpstream("u0", 3));
  fixture.Run(Seconds(3));
  CHECK_FALSE(fixture.IsRemoved("u0"));
  CHECK(fixture.IsRemoved("u1"));
}

// Guards against requests sent to an upstream that left while only this
// instance was disconnected from the store (failed as DRAIN on scale-2 of
// tintorera-funda).
TEST_CASE(
    "A disconnected instance removes upstreams with missing rows at once") {
  SyncFixture fixture;
  for (int i = 0; i < 8; ++i) {
    fixture.PutUpstream(MakeUpstream("u" + std::to_string(i)));
  }
  fixture.sync.Restart(fixture.context);
  fixture.DeliverReplies();
  fixture.PutUpstream(MakeUpstream("u0", 2));
  fixture.Run(Milliseconds(10));
  fixture.Run(Seconds(4), StoreStatus::kUnknown);
  fixture.table.Remove("upstreams/u1");
  fixture.Run(Milliseconds(1500));
  CHECK(fixture.IsRemoved("u1"));
}

// Guards against repeated reads of the entry table: with 61 instances these
// store calls cost 5 to 12% of the value of a day.
TEST_CASE("The entry table is read only on request and only once") {
  SyncFixture fixture;
  fixture.sync.Restart(fixture.context);
  fixture.DeliverReplies();
  CHECK_FALSE(fixture.sync.HasReadEntries());
  const std::size_t before = fixture.table.calls;
  fixture.sync.ReadEntries(fixture.context);
  fixture.Run(Seconds(20));
  CHECK(fixture.sync.HasReadEntries());
  CHECK(fixture.table.calls == before + 1);
}

TEST_CASE("A burst of upstream changes makes one store call per pause") {
  SyncFixture fixture;
  fixture.sync.Restart(fixture.context);
  fixture.DeliverReplies();
  const std::size_t before = fixture.table.calls;
  // The pause is two fifths of the drain limit, so the calls are 240 ms apart.
  for (int i = 0; i < 240; ++i) {
    fixture.PutUpstream(MakeUpstream("u", 2 + i));
    fixture.Run(Milliseconds(10));
  }
  CHECK(fixture.table.calls - before <= 11);
  // A row written during the pause is received before the drain limit.
  fixture.PutUpstream(MakeUpstream("u", 1000, true));
  fixture.Run(kDrainLimit / 2);
  CHECK(std::get<UpstreamRegistered>(fixture.changes.back())
            .registration.draining);
}

// Guards against a configuration that takes effect 25 s late: the store stopped
// answering on open connections but answered on new ones (soak, seed 1).
TEST_CASE("A watch is restarted if another instance has received a newer row") {
  SyncFixture fixture;
  fixture.table.Put("operator/config", "1 a.example / vitrina i");
  fixture.sync.Restart(fixture.context);
  fixture.DeliverReplies();
  fixture.table.DropCalls();
  fixture.table.Put("operator/config", "2 a.example / vitrina i");
  fixture.Run(Seconds(3));
  CHECK(fixture.sync.Routes()->Version() == 1);
  NewestRowVersions versions = fixture.sync.NewestVersions();
  ++versions.operators;
  fixture.sync.OnPeerVersions(versions, fixture.context.Now());
  fixture.Run(Seconds(1));
  CHECK(fixture.sync.Routes()->Version() == 2);
  CHECK(fixture.sync.NewestVersions().operators == versions.operators);
  // Other connections of the same age may be stalled too.
  CHECK(fixture.table.fresh_connections == 1);
}

TEST_CASE("An instance with short watches detects a stalled watch by itself") {
  SyncFixture fixture;
  fixture.table.Put("operator/config", "1 a.example / vitrina i");
  fixture.sync.SetShortWatches(true);
  fixture.sync.Restart(fixture.context);
  fixture.DeliverReplies();
  fixture.table.DropCalls();
  fixture.table.Put("operator/config", "2 a.example / vitrina i");
  fixture.Run(Seconds(3));
  CHECK(fixture.sync.Routes()->Version() == 2);
}

// Guards against a working watch that is treated as stalled because it started
// before short watches were enabled.
TEST_CASE("A long watch is replaced by a short one at once") {
  SyncFixture fixture;
  fixture.table.Put("operator/config", "1 a.example / vitrina i");
  fixture.sync.Restart(fixture.context);
  fixture.Run(Seconds(10));
  const std::size_t before = fixture.table.calls;
  fixture.sync.SetShortWatches(true);
  fixture.Run(Milliseconds(50));
  // One call for each of the two watched tables.
  CHECK(fixture.table.calls == before + 2);
  CHECK(fixture.table.fresh_connections == 0);
}

TEST_CASE("A newer configuration in another region reveals a stalled watch") {
  SyncFixture fixture;
  fixture.table.Put("operator/config", "1 a.example / vitrina i");
  fixture.sync.Restart(fixture.context);
  fixture.DeliverReplies();
  fixture.table.DropCalls();
  fixture.table.Put("operator/config", "2 a.example / vitrina i");
  fixture.sync.OnPeerConfigurationVersion(2, fixture.context.Now());
  fixture.Run(Seconds(1));
  CHECK(fixture.sync.Routes()->Version() == 2);
}

TEST_CASE("A watch that returns the rows of other instances isn't restarted") {
  SyncFixture fixture;
  fixture.table.Put("operator/config", "1 a.example / vitrina i");
  fixture.sync.Restart(fixture.context);
  fixture.DeliverReplies();
  const std::size_t before = fixture.table.calls;
  NewestRowVersions versions = fixture.sync.NewestVersions();
  ++versions.operators;
  fixture.sync.OnPeerVersions(versions, fixture.context.Now());
  fixture.table.Put("operator/config", "2 a.example / vitrina i");
  fixture.Run(Seconds(3));
  // Exactly one call, for the change.
  CHECK(fixture.table.calls == before + 1);
  // A version that never arrives causes only occasional calls.
  versions.operators += 100;
  for (int i = 0; i < 100; ++i) {
    fixture.sync.OnPeerVersions(versions, fixture.context.Now());
    fixture.Run(Milliseconds(100));
  }
  CHECK(fixture.table.calls <= before + 4);
}

// Guards against a watch that is treated as stalled during the pause between
// two calls, or because a row that other instances have received was removed.
TEST_CASE(
    "Pauses and removed rows don't cause a watch to be treated as stalled") {
  SyncFixture fixture;
  fixture.sync.SetDrainLimit(Seconds(2));
  fixture.sync.Restart(fixture.context);
  fixture.DeliverReplies();
  fixture.PutUpstream(MakeUpstream("u-1"));
  fixture.DeliverReplies();
  // Other instances receive the next change during the pause after the first
  // one; the reply to the following call takes some ticks.
  NewestRowVersions versions = fixture.sync.NewestVersions();
  ++versions.upstreams;
  fixture.sync.OnPeerVersions(versions, fixture.context.Now());
  fixture.PutUpstream(MakeUpstream("u-2"));
  for (Duration passed{0}; passed < Seconds(1); passed += kTickInterval) {
    fixture.AdvanceTime(kTickInterval);
    fixture.sync.OnTick(fixture.context);
    fixture.table.Take(fixture.context.TakeEffects());
  }
  fixture.DeliverReplies();
  CHECK(fixture.sync.NewestVersions().upstreams == versions.upstreams);
  CHECK(fixture.table.fresh_connections == 0);

  // Another instance has received the removal; this one reads the table after
  // it.
  SyncFixture later;
  later.PutUpstream(MakeUpstream("u-1"));
  later.PutUpstream(MakeUpstream("u-2"));
  later.table.Remove("upstreams/u-2");
  later.sync.Restart(later.context);
  later.DeliverReplies();
  constexpr std::int64_t kRemoval = 3;
  later.sync.OnPeerVersions({0, kRemoval}, later.context.Now());
  later.Run(Seconds(10));
  CHECK(later.table.fresh_connections == 0);
}

TEST_CASE("Evacuations are reported at their start and end") {
  SyncFixture fixture;
  fixture.sync.Restart(fixture.context);
  fixture.table.Put("operator/lima-b", "");
  fixture.DeliverReplies();
  fixture.table.Remove("operator/lima-b");
  fixture.Run(Milliseconds(50));
  REQUIRE(fixture.changes.size() == 2);
  CHECK(std::get<EvacuationChanged>(fixture.changes[0]).evacuated);
  CHECK_FALSE(std::get<EvacuationChanged>(fixture.changes[1]).evacuated);
}

TEST_CASE(
    "Versions of another era at another instance don't make a watch stalled") {
  SyncFixture fixture;
  fixture.table.Put("operator/config", "1 a.example / vitrina i");
  fixture.sync.Restart(fixture.context);
  fixture.DeliverReplies();
  const FakeTableRows::Copy copy = fixture.table.rows->MakeCopy();
  fixture.Run(Seconds(1), StoreStatus::kRefused);
  fixture.table.rows->Restore(copy);
  fixture.Run(Seconds(15));
  NewestRowVersions earlier{/*operators=*/1'000, /*upstreams=*/1'000,
                            /*era=*/1};
  for (int i = 0; i < 100; ++i) {
    fixture.sync.OnPeerVersions(earlier, fixture.context.Now());
    fixture.Run(Milliseconds(100));
  }
  CHECK(fixture.table.fresh_connections == 0);
}

TEST_CASE("A later era at another instance reveals a restore of the store") {
  SyncFixture fixture;
  fixture.table.Put("operator/config", "1 a.example / vitrina i");
  fixture.sync.Restart(fixture.context);
  fixture.DeliverReplies();
  const FakeTableRows::Copy copy = fixture.table.rows->MakeCopy();
  fixture.table.Put("operator/config", "2 a.example / vitrina i");
  fixture.Run(Seconds(1));
  // The watch goes on without an answer.
  fixture.table.rows->Restore(copy);
  fixture.table.Put("operator/config", "3 a.example / vitrina i");
  fixture.Run(Seconds(1));
  REQUIRE(fixture.sync.Routes()->Version() == 2);
  fixture.sync.OnPeerVersions({2, 0, /*era=*/2}, fixture.context.Now());
  fixture.Run(Seconds(1));
  CHECK(fixture.sync.Routes()->Version() == 3);
}

TEST_CASE(
    "An evacuation that a restored store has lost stays in force until the "
    "operator has had time to write it again") {
  SyncFixture fixture;
  fixture.sync.Restart(fixture.context);
  fixture.DeliverReplies();
  const FakeTableRows::Copy copy = fixture.table.rows->MakeCopy();
  fixture.table.Put("operator/lima-a", "");
  fixture.Run(Milliseconds(50));
  fixture.Run(Seconds(1), StoreStatus::kRefused);
  fixture.table.rows->Restore(copy);
  fixture.changes.clear();
  fixture.Run(Seconds(5));
  CHECK(fixture.changes.empty());
  fixture.Run(Seconds(10));
  REQUIRE(fixture.changes.size() == 1);
  CHECK_FALSE(std::get<EvacuationChanged>(fixture.changes[0]).evacuated);
}

TEST_CASE(
    "An upstream whose row a restored store has lost is kept while it may "
    "write it again") {
  SyncFixture fixture;
  for (const char* id : {"a", "b", "c", "d", "e", "f", "g", "h"}) {
    fixture.PutUpstream(MakeUpstream(id));
  }
  fixture.sync.Restart(fixture.context);
  fixture.DeliverReplies();
  const FakeTableRows::Copy copy = fixture.table.rows->MakeCopy();
  fixture.PutUpstream(MakeUpstream("alive"));
  fixture.PutUpstream(MakeUpstream("dead"));
  fixture.Run(Seconds(1));
  fixture.Run(Seconds(1), StoreStatus::kRefused);
  fixture.table.rows->Restore(copy);
  fixture.Run(Seconds(1));
  CHECK_FALSE(fixture.IsRemoved("alive"));
  CHECK_FALSE(fixture.IsRemoved("dead"));
  fixture.PutUpstream(MakeUpstream("alive", 2));
  fixture.Run(Seconds(3));
  CHECK_FALSE(fixture.IsRemoved("alive"));
  CHECK(fixture.IsRemoved("dead"));
}

TEST_CASE(
    "An upstream that has left doesn't return with its row in a restored "
    "store") {
  SyncFixture fixture;
  fixture.PutUpstream(MakeUpstream("left"));
  fixture.PutUpstream(MakeUpstream("lapsed"));
  fixture.sync.Restart(fixture.context);
  fixture.DeliverReplies();
  const FakeTableRows::Copy copy = fixture.table.rows->MakeCopy();
  fixture.table.Remove("upstreams/left");
  fixture.table.Remove("upstreams/lapsed");
  fixture.Run(Seconds(1));
  REQUIRE(fixture.IsRemoved("left"));
  REQUIRE(fixture.IsRemoved("lapsed"));
  fixture.changes.clear();
  fixture.Run(Seconds(1), StoreStatus::kRefused);
  fixture.table.rows->Restore(copy);
  fixture.PutUpstream(MakeUpstream("lapsed", 2));
  fixture.Run(Seconds(5));
  REQUIRE(fixture.changes.size() == 1);
  CHECK(std::get<UpstreamRegistered>(fixture.changes[0]).registration.id ==
        UpstreamId("lapsed"));
}

TEST_CASE("A row that is read again after a restore is no change") {
  SyncFixture fixture;
  UpstreamRegistration cold = MakeUpstream("cold");
  cold.cold_left = Seconds(3);
  fixture.PutUpstream(cold);
  fixture.sync.Restart(fixture.context);
  fixture.DeliverReplies();
  const FakeTableRows::Copy copy = fixture.table.rows->MakeCopy();
  fixture.table.Put("operator/config", "5 a.example / vitrina i");
  fixture.Run(Seconds(1));
  fixture.changes.clear();
  fixture.Run(Seconds(1), StoreStatus::kRefused);
  fixture.table.rows->Restore(copy);
  fixture.table.Put("operator/config", "5 a.example / vitrina i");
  fixture.Run(Seconds(5));
  // Its warm-up would begin anew.
  CHECK(fixture.changes.empty());
  CHECK(fixture.restores == 1);
}

}  // namespace kumquatcove
