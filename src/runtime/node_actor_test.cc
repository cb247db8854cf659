#include "runtime/node_actor.h"

#include <doctest/doctest.h>

#include <future>

#include "runtime/test_support.h"

namespace kumquatcove {
namespace {

class RecordingEffects : public EffectSink,
                         public Recorder<std::vector<Effect>> {
 public:
  void Execute(std::vector<Effect> effects) override {
    Add(std::move(effects));
  }
};

}  // namespace

TEST_CASE("Events are handled in order, with a monotonic clock") {
  RecordingEffects effects;
  Recorder<RequestId> seen;
  MonotonicTime last;
  bool moved_backwards = false;
  NodeActor actor(
      [&](const Event& event, ClockReading now) {
        moved_backwards = moved_backwards || now.monotonic < last;
        last = now.monotonic;
        seen.Add(std::get<CallerGone>(event).request);
        return std::vector<Effect>{FetchInstanceList{}};
      },
      effects);
  for (std::uint64_t i = 0; i < 1000; ++i) {
    actor.Post(CallerGone{RequestId{i}});
  }
  REQUIRE(effects.WaitForCount(1000));
  for (std::uint64_t i = 0; i < 1000; ++i) {
    CHECK(seen.Values()[i] == RequestId{i});
  }
  CHECK_FALSE(moved_backwards);
  CHECK(actor.Backlog() == 0);
}

TEST_CASE(
    "Ticks do not accumulate behind a slow event, and later ticks are "
    "handled") {
  RecordingEffects effects;
  std::promise<void> release;
  std::shared_future<void> released(release.get_future());
  Recorder<bool> ticks;
  NodeActor actor(
      [&](const Event& event, ClockReading) {
        if (std::holds_alternative<Started>(event)) {
          released.wait();
        } else {
          ticks.Add(true);
        }
        return std::vector<Effect>{};
      },
      effects);
  actor.Post(Started{});
  for (int i = 0; i < 100; ++i) {
    actor.Post(Tick{});
  }
  release.set_value();
  REQUIRE(effects.WaitForCount(2));
  CHECK(ticks.Values().size() == 1);
  actor.Post(Tick{});
  CHECK(ticks.WaitForCount(2));
}

}  // namespace kumquatcove
