#include "routing/upstream_health.h"

#include <doctest/doctest.h>

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace kumquatcove {
namespace {

constexpr int kUpstreams = 4;
constexpr int kSlots = 6;

UpstreamId Upstream(int number) {
  return UpstreamId("u" + std::to_string(number));
}

/** UpstreamHealth of one service, on virtual time. */
class HealthBench {
 public:
  explicit HealthBench(RoutingSettings settings = {})
      : context({InstanceId("e"), 1, RegionName("lima"), ZoneName("lima-a"),
                 "e", "e"},
                3),
        health(settings) {
    Declare(kUpstreams, -1);
    Pass(Milliseconds(10));
  }

  /** Installs a catalogue with `count` upstreams; number `drained` is drained.
   */
  void Declare(int count, int drained) {
    TopologyEntry topology;
    topology.regions = {{RegionName("lima"), {ZoneName("lima-a")}}};
    ServiceEntry entry;
    entry.service = ServiceName("vitrina");
    entry.limits.slots_per_upstream = kSlots;
    for (int number = 0; number < count; ++number) {
      entry.upstreams.push_back(
          {Upstream(number), ZoneName("lima-a"), "u:1", number == drained});
    }
    const std::int64_t revision = context.Catalogue().Revision() + 1;
    context.SetCatalogue(
        std::make_shared<const CatalogueIndex>(CatalogueSnapshot{
            revision, {{revision, {}, topology}, {revision, {}, entry}}}));
  }

  /** Advances time with a tick every 10 ms; probes are counted. */
  void Pass(Duration duration) {
    for (const MonotonicTime end = now + duration; now < end;) {
      now += Milliseconds(10);
      context.SetNow({now, {}});
      health.OnTick(context);
      for (const Effect& effect : context.TakeEffects()) {
        if (const auto* probe = std::get_if<ProbeUpstream>(&effect)) {
          ++probes[probe->upstream];
          if (answers_probes) {
            health.OnProbe(context, {probe->upstream, probe_is_healthy,
                                     probe_is_draining, 0});
          }
        }
      }
    }
  }

  void Attempt(int upstream,
               Duration service_time,
               AttemptResult result = AttemptResult::kAnswered,
               int count = 1) {
    for (; count > 0; --count) {
      health.OnAttempt(context, Upstream(upstream), result, service_time);
    }
  }

  /** Gives all upstreams equal service times. */
  void WarmUp() {
    for (int number = 0; number < kUpstreams; ++number) {
      Attempt(number, Milliseconds(10), AttemptResult::kAnswered, 8);
    }
  }

  UpstreamState State(int upstream) const {
    return health.StateOf(context, Upstream(upstream));
  }
  int Usable(int upstream) const {
    return health.UsableSlots(context, Upstream(upstream));
  }

  Context context;
  UpstreamHealth health;
  MonotonicTime now = MonotonicTime(Seconds(100));
  std::map<UpstreamId, int> probes;
  bool answers_probes = true;
  bool probe_is_healthy = true;
  bool probe_is_draining = false;
};

}  // namespace

TEST_CASE(
    "An upstream slower than its peers gets fewer slots, one straggler and "
    "small differences don't count") {
  HealthBench bench;
  bench.WarmUp();
  bench.Attempt(0, Milliseconds(500));
  CHECK(bench.State(0) == UpstreamState::kServing);
  bench.Attempt(1, Milliseconds(25), AttemptResult::kAnswered, 8);
  CHECK(bench.State(1) == UpstreamState::kServing);
  CHECK(bench.Usable(1) == kSlots);
  bench.Attempt(0, Milliseconds(100), AttemptResult::kAnswered, 8);
  CHECK(bench.State(0) == UpstreamState::kSlowed);
  CHECK(bench.Usable(0) == 1);
  CHECK(bench.health.TakesNewWork(bench.context, Upstream(0)));
  CHECK(bench.health.TakeNotices().empty());
}

TEST_CASE(
    "Attempts that were stopped count if they took longer than the median") {
  HealthBench bench;
  bench.WarmUp();
  bench.Attempt(0, Milliseconds(5), AttemptResult::kCancelled, 8);
  CHECK(bench.health.ServiceTime(Upstream(0)) == Milliseconds(10));
  bench.Attempt(0, Milliseconds(100), AttemptResult::kCancelled, 8);
  CHECK(bench.State(0) == UpstreamState::kSlowed);
}

TEST_CASE("When all upstreams get slower none of them is slowed") {
  HealthBench bench;
  bench.WarmUp();
  for (int round = 0; round < 8; ++round) {
    for (int number = 0; number < kUpstreams; ++number) {
      bench.Attempt(number, Milliseconds(100));
    }
  }
  for (int number = 0; number < kUpstreams; ++number) {
    CHECK(bench.State(number) == UpstreamState::kServing);
  }
}

TEST_CASE(
    "A slowed upstream is tried periodically, less often while it stays slow, "
    "and serves again after three fast answers") {
  HealthBench bench;
  bench.WarmUp();
  bench.Attempt(0, Milliseconds(100), AttemptResult::kAnswered, 8);
  REQUIRE(bench.State(0) == UpstreamState::kSlowed);
  int trials = 0;
  for (int step = 0; step < 3'000; ++step) {
    bench.Pass(Milliseconds(10));
    if (bench.health.IsTrialDue(bench.context, Upstream(0))) {
      ++trials;
      bench.Attempt(0, Milliseconds(100));
    }
  }
  CHECK(trials >= 4);
  CHECK(trials <= 7);
  bench.Pass(Seconds(8));
  CHECK(bench.health.IsTrialDue(bench.context, Upstream(0)));
  bench.Attempt(0, Milliseconds(10));
  CHECK(bench.State(0) == UpstreamState::kSlowed);
  for (int count = 0; count < 2; ++count) {
    CHECK_FALSE(bench.health.IsTrialDue(bench.context, Upstream(0)));
    bench.Pass(Milliseconds(100));
    CHECK(bench.health.IsTrialDue(bench.context, Upstream(0)));
    bench.Attempt(0, Milliseconds(10));
  }
  CHECK(bench.State(0) == UpstreamState::kServing);
  CHECK(bench.Usable(0) == kSlots);
}

TEST_CASE("The first drain signal ends new work and is sent to peers once") {
  HealthBench bench;
  bench.health.OnDrainSignal(bench.context, Upstream(0));
  bench.health.OnDrainSignal(bench.context, Upstream(0));
  CHECK(bench.State(0) == UpstreamState::kDraining);
  CHECK(bench.Usable(0) == 0);
  const auto notices = bench.health.TakeNotices();
  REQUIRE(notices.size() == 1);
  CHECK(notices[0] == UpstreamNotice{Upstream(0), UpstreamState::kDraining});

  bench.health.OnNotice(bench.context, {Upstream(1), UpstreamState::kDraining});
  CHECK(bench.State(1) == UpstreamState::kDraining);
  CHECK(bench.health.TakeNotices().empty());

  bench.Declare(kUpstreams, 2);
  CHECK(bench.State(2) == UpstreamState::kDraining);
  CHECK(bench.Usable(2) == 0);
}

TEST_CASE(
    "Health reports that lag don't end a drain; later ones do, with a ramp") {
  HealthBench bench;
  bench.health.OnDrainSignal(bench.context, Upstream(0));
  bench.Pass(Seconds(4));
  CHECK(bench.probes[Upstream(0)] >= 2);
  CHECK(bench.State(0) == UpstreamState::kDraining);
  bench.health.OnNotice(bench.context, {Upstream(0), UpstreamState::kServing});
  CHECK(bench.State(0) == UpstreamState::kDraining);
  bench.Pass(Seconds(12));
  CHECK(bench.State(0) == UpstreamState::kServing);
}

TEST_CASE("Failures in a row or a failed fresh connection mean down") {
  HealthBench bench;
  bench.answers_probes = false;
  bench.Attempt(0, Milliseconds(1), AttemptResult::kFailed, 2);
  bench.Attempt(0, Milliseconds(10));
  bench.Attempt(0, Milliseconds(1), AttemptResult::kFailed, 2);
  CHECK(bench.State(0) == UpstreamState::kServing);
  bench.Attempt(0, Milliseconds(1), AttemptResult::kFailed);
  CHECK(bench.State(0) == UpstreamState::kDown);
  bench.health.OnFreshConnection(bench.context, Upstream(1), true);
  CHECK(bench.State(1) == UpstreamState::kServing);
  bench.health.OnFreshConnection(bench.context, Upstream(1), false);
  CHECK(bench.State(1) == UpstreamState::kDown);
  CHECK(bench.health.TakeNotices().size() == 2);
  bench.Attempt(2, Milliseconds(0), AttemptResult::kNotSent, 5);
  bench.Attempt(2, Milliseconds(1), AttemptResult::kShed, 5);
  CHECK(bench.State(2) == UpstreamState::kServing);
}

TEST_CASE("An upstream that was down is found by probes and ramps up") {
  HealthBench bench;
  bench.probe_is_healthy = false;
  bench.health.OnFreshConnection(bench.context, Upstream(0), false);
  bench.Pass(Seconds(30));
  CHECK(bench.State(0) == UpstreamState::kDown);
  // Back-off: 0.5 s at first, 8 s at last.
  CHECK(bench.probes[Upstream(0)] >= 4);
  CHECK(bench.probes[Upstream(0)] <= 9);
  bench.probe_is_healthy = true;
  bench.health.TakeNotices();
  while (bench.State(0) == UpstreamState::kDown) {
    bench.Pass(Milliseconds(10));
  }
  CHECK(bench.health.TakeNotices().size() == 1);
  CHECK(bench.Usable(0) == 1);
  bench.Pass(Milliseconds(2'500));
  CHECK(bench.Usable(0) == kSlots / 2);
  bench.Pass(Milliseconds(2'500));
  CHECK(bench.Usable(0) == kSlots);
}

TEST_CASE(
    "A peer's notice that an upstream serves doesn't undo a finding that it is "
    "down which crossed it") {
  HealthBench bench;
  bench.answers_probes = false;
  bench.health.OnFreshConnection(bench.context, Upstream(0), false);
  bench.health.OnNotice(bench.context, {Upstream(0), UpstreamState::kServing});
  CHECK(bench.State(0) == UpstreamState::kDown);
  bench.Pass(Seconds(2));
  bench.health.OnNotice(bench.context, {Upstream(0), UpstreamState::kServing});
  CHECK(bench.State(0) == UpstreamState::kServing);
}

TEST_CASE("A new upstream starts cold, those of the first catalogue don't") {
  HealthBench bench;
  CHECK(bench.Usable(0) == kSlots);
  bench.Declare(kUpstreams + 1, -1);
  bench.Pass(Milliseconds(10));
  CHECK(bench.Usable(kUpstreams) == 1);
  CHECK(bench.Usable(0) == kSlots);
  bench.Pass(Seconds(5));
  CHECK(bench.Usable(kUpstreams) == kSlots);
}

TEST_CASE("Upstreams in use aren't probed, unused ones seldom") {
  HealthBench bench;
  bench.probes.clear();
  for (int second = 0; second < 120; ++second) {
    bench.Attempt(0, Milliseconds(10));
    bench.Pass(Seconds(1));
  }
  CHECK(bench.probes[Upstream(0)] == 0);
  CHECK(bench.probes[Upstream(1)] >= 2);
  CHECK(bench.probes[Upstream(1)] <= 5);
  HealthBench reported({RoutingPolicy::kTwoChoicesReported, true});
  reported.Pass(Seconds(20));
  CHECK(reported.probes[Upstream(1)] >= 15);
}

TEST_CASE("Notices and probes of unknown upstreams leave no trace") {
  HealthBench bench;
  bench.health.OnNotice(bench.context,
                        {UpstreamId("other"), UpstreamState::kDown});
  bench.health.OnProbe(bench.context, {UpstreamId("other"), false, true, 5});
  CHECK(bench.health.ReportedLoad(UpstreamId("other")) == 0);
  CHECK_FALSE(bench.health.TakesNewWork(bench.context, UpstreamId("other")));
  CHECK(bench.health.TakeNotices().empty());
}

}  // namespace kumquatcove
