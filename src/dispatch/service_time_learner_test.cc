#include "dispatch/service_time_learner.h"

#include <doctest/doctest.h>

#include "base/random.h"

namespace kumquatcove {
namespace {

constexpr Duration kHitWork = Milliseconds(120);
constexpr Duration kMissWork = Milliseconds(400);
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

struct LearnerFixture {
  ServiceTimes times;
  HitProbabilityEstimator hit_probabilities;
  ServiceTimeLearner learner{times, hit_probabilities};

  void Answer(std::optional<std::size_t> rank, Duration time) {
    PlacementChoice choice;
    choice.recency_rank = rank;
    learner.RecordSuccess(Request(), choice, kSlots, time);
  }

  double InMilliseconds(CachePrediction prediction) const {
    return static_cast<double>(times.Expect(Despacho(), prediction).count()) /
           1000;
  }
};

}  // namespace

// Guards against overestimating the object caches of upstreams: on
// tintorera-funda, despacho evicts an object after 16 others, vitrina after 20.
TEST_CASE("The cache capacity of upstreams is learned from answers") {
  constexpr std::size_t kCachedObjects = 24;
  LearnerFixture learned;
  Random random(1);
  for (int i = 0; i < 3000; ++i) {
    const std::size_t rank = random.NextBelow(40);
    const bool straggler = random.NextBelow(33) == 0;
    learned.Answer(rank,
                   rank >= kCachedObjects || straggler ? kMissWork : kHitWork);
  }
  for (std::size_t rank = 0; rank < kCachedObjects; ++rank) {
    CHECK(learned.hit_probabilities.Estimate(Despacho(), rank) > 0.75);
  }
  for (std::size_t rank = kCachedObjects; rank < 40; ++rank) {
    CHECK(learned.hit_probabilities.Estimate(Despacho(), rank) < 0.25);
  }
  CHECK(learned.hit_probabilities.Estimate(
            Despacho(), HitProbabilityEstimator::kRanks) == 0);
}

TEST_CASE("Times of cache hits and misses are learned separately") {
  LearnerFixture learned;
  for (int i = 0; i < 200; ++i) {
    learned.Answer(i % 8, kHitWork);
    // Without a record of the object, half of the answers are hits
    // nevertheless.
    learned.Answer(std::nullopt, i % 2 == 0 ? kMissWork : kHitWork);
  }
  CHECK(learned.InMilliseconds(CachePrediction::kHit) ==
        doctest::Approx(120).epsilon(0.05));
  CHECK(learned.InMilliseconds(CachePrediction::kMiss) ==
        doctest::Approx(400).epsilon(0.05));
}

TEST_CASE("A time that includes the wait for a slot is ignored") {
  LearnerFixture learned;
  learned.Answer(0, kHitWork);
  PlacementChoice crowded;
  crowded.recency_rank = 0;
  crowded.occupancy = kSlots;
  for (int i = 0; i < 50; ++i) {
    learned.learner.RecordSuccess(Request(), crowded, kSlots, Seconds(2));
  }
  CHECK(learned.InMilliseconds(CachePrediction::kHit) == doctest::Approx(120));
  CHECK(learned.hit_probabilities.Estimate(Despacho(), 0) > 0.9);
}

TEST_CASE("Requests without an object take the usual time") {
  LearnerFixture learned;
  PlacementRequest request = Request();
  request.object = 0;
  learned.learner.RecordSuccess(request, PlacementChoice{}, kSlots,
                                Milliseconds(50));
  CHECK(learned.InMilliseconds(CachePrediction::kHit) == doctest::Approx(50));
}

}  // namespace kumquatcove
