#include "dispatch/work_learner.h"

#include <doctest/doctest.h>

#include "base/random.h"

namespace kumquatcove {
namespace {

constexpr Duration kFamiliarWork = Milliseconds(120);
constexpr Duration kUnknownWork = Milliseconds(400);
constexpr int kSlots = 3;

ServiceName Despacho() {
  return ServiceName("despacho");
}

PlacementRequest Request() {
  PlacementRequest request;
  request.service = Despacho();
  request.object = 7;
  return request;
}

struct Learned {
  ServiceTimes times;
  ObjectRecall recall;
  WorkLearner learner{times, recall};

  void Answer(std::optional<std::size_t> place, Duration time) {
    PlacementChoice choice;
    choice.object_place = place;
    learner.OnSuccess(Request(), choice, kSlots, time);
  }

  double InMilliseconds(ObjectFamiliarity familiarity) const {
    return static_cast<double>(times.Expect(Despacho(), familiarity).count()) /
           1000;
  }
};

}  // namespace

// Guards against upstreams that are taken to remember more than they do: on
// tintorera-funda despacho forgets after 16 other objects, vitrina after 20.
TEST_CASE("How many objects an upstream remembers is learned from answers") {
  constexpr std::size_t kRemembered = 24;
  Learned learned;
  Random random(1);
  for (int i = 0; i < 3000; ++i) {
    const std::size_t place = random.NextBelow(40);
    const bool straggler = random.NextBelow(33) == 0;
    learned.Answer(place, place >= kRemembered || straggler ? kUnknownWork
                                                            : kFamiliarWork);
  }
  for (std::size_t place = 0; place < kRemembered; ++place) {
    CHECK(learned.recall.Estimate(Despacho(), place) > 0.75);
  }
  for (std::size_t place = kRemembered; place < 40; ++place) {
    CHECK(learned.recall.Estimate(Despacho(), place) < 0.25);
  }
  CHECK(learned.recall.Estimate(Despacho(), ObjectRecall::kPlaces) == 0);
}

TEST_CASE("Times with and without the object at hand are told apart") {
  Learned learned;
  for (int i = 0; i < 200; ++i) {
    learned.Answer(i % 8, kFamiliarWork);
    // Where nothing is known, half of the objects are at hand after all.
    learned.Answer(std::nullopt, i % 2 == 0 ? kUnknownWork : kFamiliarWork);
  }
  CHECK(learned.InMilliseconds(ObjectFamiliarity::kFamiliar) ==
        doctest::Approx(120).epsilon(0.05));
  CHECK(learned.InMilliseconds(ObjectFamiliarity::kUnknown) ==
        doctest::Approx(400).epsilon(0.05));
}

TEST_CASE("A time that includes the wait for a slot teaches nothing") {
  Learned learned;
  learned.Answer(0, kFamiliarWork);
  PlacementChoice crowded;
  crowded.object_place = 0;
  crowded.occupancy = kSlots;
  for (int i = 0; i < 50; ++i) {
    learned.learner.OnSuccess(Request(), crowded, kSlots, Seconds(2));
  }
  CHECK(learned.InMilliseconds(ObjectFamiliarity::kFamiliar) ==
        doctest::Approx(120));
  CHECK(learned.recall.Estimate(Despacho(), 0) > 0.9);
}

TEST_CASE("Requests without an object take the usual time") {
  Learned learned;
  PlacementRequest request = Request();
  request.object = 0;
  learned.learner.OnSuccess(request, PlacementChoice{}, kSlots,
                            Milliseconds(50));
  CHECK(learned.InMilliseconds(ObjectFamiliarity::kFamiliar) ==
        doctest::Approx(50));
}

}  // namespace kumquatcove
