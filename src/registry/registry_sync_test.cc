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

UpstreamRegistration Upstream(const std::string& id,
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

/** A registry that follows a fake table, with all changes so far. */
class SyncBench {
 public:
  SyncBench()
      : context({InstanceId("e"), 1, RegionName("lima"), ZoneName("lima-a"),
                 "e", "e"},
                3) {
    Pass(Seconds(100));
  }

  void Pass(Duration time) {
    m_now += time;
    context.SetNow({m_now, WallTime{1}});
  }

  void PutUpstream(const UpstreamRegistration& upstream) {
    table.Put("upstreams/" + upstream.id.Text(), UpstreamRow(upstream));
  }

  /** Lets time pass in ticks and answers all calls. */
  void Run(Duration time, StoreStatus status = StoreStatus::kOk) {
    for (Duration passed{0}; passed < time; passed += kTickInterval) {
      Pass(kTickInterval);
      sync.OnTick(context);
      Settle(status);
    }
  }

  void Settle(StoreStatus status = StoreStatus::kOk) {
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
      changes.push_back(std::move(change));
    }
  }

  bool HasIncarnationEnded(const std::string& id) const {
    return std::any_of(changes.begin(), changes.end(), [&](const auto& change) {
      const auto* gone = std::get_if<UpstreamGone>(&change);
      return gone != nullptr && gone->id == UpstreamId(id);
    });
  }

  Context context;
  FakeRegistryCodec codec;
  FakeTable table;
  RegistrySync sync{codec, kDrainLimit};
  std::vector<RegistryChange> changes;

 private:
  MonotonicTime m_now;
};

}  // namespace

TEST_CASE("Nothing is ready before routes and upstreams have been read") {
  SyncBench bench;
  bench.sync.Restart(bench.context);
  CHECK_FALSE(bench.sync.IsReady());
  bench.Settle();
  CHECK_FALSE(bench.sync.IsReady());
  bench.table.Put("operator/config", "3 a.example / vitrina i");
  bench.Run(Milliseconds(50));
  CHECK(bench.sync.IsReady());
  CHECK(bench.sync.Routes()->Version() == 3);
}

TEST_CASE("A configuration never goes back") {
  SyncBench bench;
  bench.table.Put("operator/config", "5 a.example / vitrina i");
  bench.sync.Restart(bench.context);
  bench.Settle();
  bench.table.Put("operator/config", "4 a.example / vitrina n");
  bench.Run(Milliseconds(50));
  CHECK(bench.sync.Routes()->Version() == 5);
}

TEST_CASE("All pages of a table are read") {
  SyncBench bench;
  bench.table.page = 2;
  for (int i = 0; i < 7; ++i) {
    bench.PutUpstream(Upstream("u" + std::to_string(i)));
  }
  bench.sync.Restart(bench.context);
  bench.Settle();
  CHECK(bench.changes.size() == 7);
}

TEST_CASE("A delayed write doesn't undo a later one") {
  SyncBench bench;
  bench.PutUpstream(Upstream("u", 5, true));
  bench.sync.Restart(bench.context);
  bench.Settle();
  bench.PutUpstream(Upstream("u", 3, false));
  bench.Run(Milliseconds(300));
  REQUIRE(bench.changes.size() == 1);
  CHECK(std::get<UpstreamRegistered>(bench.changes[0]).registration.draining);
}

TEST_CASE("An unreadable row names no upstream and harms no other") {
  SyncBench bench;
  bench.table.Put("upstreams/broken", "?");
  bench.PutUpstream(Upstream("u"));
  bench.sync.Restart(bench.context);
  bench.Settle();
  std::size_t registered = 0;
  for (const RegistryChange& change : bench.changes) {
    registered += std::holds_alternative<UpstreamRegistered>(change) ? 1 : 0;
  }
  CHECK(registered == 1);
}

TEST_CASE("After lost history rows that vanished meanwhile are gone") {
  SyncBench bench;
  bench.PutUpstream(Upstream("u"));
  bench.PutUpstream(Upstream("v"));
  bench.sync.Restart(bench.context);
  bench.Settle();
  bench.table.Remove("upstreams/u");
  bench.table.Put("operator/other", "");
  bench.table.Compact();
  bench.Run(Milliseconds(300));
  CHECK(bench.HasIncarnationEnded("u"));
  CHECK_FALSE(bench.HasIncarnationEnded("v"));
}

TEST_CASE("Rows that lapse together in an outage have time to come back") {
  SyncBench bench;
  for (int i = 0; i < 4; ++i) {
    bench.PutUpstream(Upstream("u" + std::to_string(i)));
  }
  bench.sync.Restart(bench.context);
  bench.Settle();
  // Each retry finds the store away; the watch in progress is answered first.
  bench.PutUpstream(Upstream("u0", 2));
  bench.Run(Milliseconds(10));
  bench.Run(Seconds(4), StoreStatus::kRefused);
  CHECK_FALSE(bench.sync.IsStoreReachable());
  for (int i = 0; i < 3; ++i) {
    bench.table.Remove("upstreams/u" + std::to_string(i));
  }
  bench.Run(Milliseconds(1500));
  CHECK(bench.sync.IsStoreReachable());
  CHECK_FALSE(bench.HasIncarnationEnded("u1"));
  bench.PutUpstream(Upstream("u0", 3));
  bench.Run(Seconds(3));
  CHECK_FALSE(bench.HasIncarnationEnded("u0"));
  CHECK(bench.HasIncarnationEnded("u1"));
}

// Guards against sends to an upstream that left while this instance alone was
// cut off from the store (seen as DRAIN on scale-2 of tintorera-funda).
TEST_CASE("An instance that was cut off takes missing rows as gone at once") {
  SyncBench bench;
  for (int i = 0; i < 8; ++i) {
    bench.PutUpstream(Upstream("u" + std::to_string(i)));
  }
  bench.sync.Restart(bench.context);
  bench.Settle();
  bench.PutUpstream(Upstream("u0", 2));
  bench.Run(Milliseconds(10));
  bench.Run(Seconds(4), StoreStatus::kUnknown);
  bench.table.Remove("upstreams/u1");
  bench.Run(Milliseconds(1500));
  CHECK(bench.HasIncarnationEnded("u1"));
}

// Guards against store calls that cost 5 to 12% of the worth of days with 61
// instances.
TEST_CASE("Entry instances are read once, and nothing else before") {
  SyncBench bench;
  bench.sync.Restart(bench.context);
  bench.Settle();
  CHECK_FALSE(bench.sync.HasReadEntries());
  const std::size_t before = bench.table.calls;
  bench.sync.ReadEntries(bench.context);
  bench.Run(Seconds(20));
  CHECK(bench.sync.HasReadEntries());
  CHECK(bench.table.calls == before + 1);
}

TEST_CASE("Many changes of upstreams cost a call in each part of their limit") {
  SyncBench bench;
  bench.sync.Restart(bench.context);
  bench.Settle();
  const std::size_t before = bench.table.calls;
  // The pause is two fifths of the limit, so that the calls are 240 ms apart.
  for (int i = 0; i < 240; ++i) {
    bench.PutUpstream(Upstream("u", 2 + i));
    bench.Run(Milliseconds(10));
  }
  CHECK(bench.table.calls - before <= 11);
  // What is written in the pause is known before the limit.
  bench.PutUpstream(Upstream("u", 1000, true));
  bench.Run(kDrainLimit / 2);
  CHECK(
      std::get<UpstreamRegistered>(bench.changes.back()).registration.draining);
}

// Guards against a configuration that isn't in force for 25 s: the store had
// gone silent on open connections and answered on new ones (soak, seed 1).
TEST_CASE("A watch that another instance shows to be silent is started anew") {
  SyncBench bench;
  bench.table.Put("operator/config", "1 a.example / vitrina i");
  bench.sync.Restart(bench.context);
  bench.Settle();
  bench.table.DropCalls();
  bench.table.Put("operator/config", "2 a.example / vitrina i");
  bench.Run(Seconds(3));
  CHECK(bench.sync.Routes()->Version() == 1);
  SeenVersions seen = bench.sync.Seen();
  ++seen.operators;
  bench.sync.OnPeerSeen(seen, bench.context.Now());
  bench.Run(Seconds(1));
  CHECK(bench.sync.Routes()->Version() == 2);
  CHECK(bench.sync.Seen().operators == seen.operators);
  // Other connections of the same age may be silent too.
  CHECK(bench.table.fresh_connections == 1);
}

TEST_CASE("An instance with short watches finds a silent one by itself") {
  SyncBench bench;
  bench.table.Put("operator/config", "1 a.example / vitrina i");
  bench.sync.SetShortWatches(true);
  bench.sync.Restart(bench.context);
  bench.Settle();
  bench.table.DropCalls();
  bench.table.Put("operator/config", "2 a.example / vitrina i");
  bench.Run(Seconds(3));
  CHECK(bench.sync.Routes()->Version() == 2);
}

// Guards against a live watch that counts as silent since it began before this
// instance was to watch for a shorter time.
TEST_CASE("A long watch is replaced by a short one at once") {
  SyncBench bench;
  bench.table.Put("operator/config", "1 a.example / vitrina i");
  bench.sync.Restart(bench.context);
  bench.Run(Seconds(10));
  const std::size_t before = bench.table.calls;
  bench.sync.SetShortWatches(true);
  bench.Run(Milliseconds(50));
  // One call for each of the two tables that are watched.
  CHECK(bench.table.calls == before + 2);
  CHECK(bench.table.fresh_connections == 0);
}

TEST_CASE("A newer configuration at an instance of another region shows it") {
  SyncBench bench;
  bench.table.Put("operator/config", "1 a.example / vitrina i");
  bench.sync.Restart(bench.context);
  bench.Settle();
  bench.table.DropCalls();
  bench.table.Put("operator/config", "2 a.example / vitrina i");
  bench.sync.OnPeerConfiguration(2, bench.context.Now());
  bench.Run(Seconds(1));
  CHECK(bench.sync.Routes()->Version() == 2);
}

TEST_CASE("A watch that brings what others have seen isn't started anew") {
  SyncBench bench;
  bench.table.Put("operator/config", "1 a.example / vitrina i");
  bench.sync.Restart(bench.context);
  bench.Settle();
  const std::size_t before = bench.table.calls;
  SeenVersions seen = bench.sync.Seen();
  ++seen.operators;
  bench.sync.OnPeerSeen(seen, bench.context.Now());
  bench.table.Put("operator/config", "2 a.example / vitrina i");
  bench.Run(Seconds(3));
  // One call for the change and no other.
  CHECK(bench.table.calls == before + 1);
  // A version that never comes costs a call now and then.
  seen.operators += 100;
  for (int i = 0; i < 100; ++i) {
    bench.sync.OnPeerSeen(seen, bench.context.Now());
    bench.Run(Milliseconds(100));
  }
  CHECK(bench.table.calls <= before + 4);
}

// Guards against a watch that is taken to be silent while it pauses between two
// calls, or because a row that others have seen was removed.
TEST_CASE("Pauses and removed rows don't make a watch look silent") {
  SyncBench bench;
  bench.sync.SetDrainLimit(Seconds(2));
  bench.sync.Restart(bench.context);
  bench.Settle();
  bench.PutUpstream(Upstream("u-1"));
  bench.Settle();
  // Others see the next change while the pause after the first one lasts; the
  // reply to the call after it takes some ticks.
  SeenVersions seen = bench.sync.Seen();
  ++seen.upstreams;
  bench.sync.OnPeerSeen(seen, bench.context.Now());
  bench.PutUpstream(Upstream("u-2"));
  for (Duration passed{0}; passed < Seconds(1); passed += kTickInterval) {
    bench.Pass(kTickInterval);
    bench.sync.OnTick(bench.context);
    bench.table.Take(bench.context.TakeEffects());
  }
  bench.Settle();
  CHECK(bench.sync.Seen().upstreams == seen.upstreams);
  CHECK(bench.table.fresh_connections == 0);

  // Another instance has seen the removal; this one read the table after it.
  SyncBench later;
  later.PutUpstream(Upstream("u-1"));
  later.PutUpstream(Upstream("u-2"));
  later.table.Remove("upstreams/u-2");
  later.sync.Restart(later.context);
  later.Settle();
  constexpr std::int64_t kRemoval = 3;
  later.sync.OnPeerSeen({0, kRemoval}, later.context.Now());
  later.Run(Seconds(10));
  CHECK(later.table.fresh_connections == 0);
}

TEST_CASE("Evacuations begin and end") {
  SyncBench bench;
  bench.sync.Restart(bench.context);
  bench.table.Put("operator/lima-b", "");
  bench.Settle();
  bench.table.Remove("operator/lima-b");
  bench.Run(Milliseconds(50));
  REQUIRE(bench.changes.size() == 2);
  CHECK(std::get<EvacuationChanged>(bench.changes[0]).evacuated);
  CHECK_FALSE(std::get<EvacuationChanged>(bench.changes[1]).evacuated);
}

}  // namespace kumquatcove
