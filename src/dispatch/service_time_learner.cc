#include "dispatch/service_time_learner.h"

#include <cstddef>
#include <optional>

namespace kumquatcove {
namespace {

// An upstream that has handled at most this many other objects since still has
// an object cached.
constexpr std::size_t kMaxCertainRank = 9;

// A cache miss takes longer than this many times the work of a hit; the
// platform's upstreams need about three times as long.
constexpr double kMinMissTimeRatio = 1.5;

}  // namespace

void ServiceTimeLearner::RecordSuccess(const PlacementRequest& request,
                                       const PlacementChoice& choice,
                                       int slots,
                                       Duration time) {
  if (choice.occupancy + 1 > slots) {
    // The time includes the wait for a slot.
    return;
  }
  const ServiceName& service = request.service;
  const std::optional<std::size_t> rank = choice.recency_rank;
  const Duration hit_time = m_times.Expect(service, CachePrediction::kHit);
  const Duration miss_time = m_times.Expect(service, CachePrediction::kMiss);
  if (rank) {
    m_hit_probabilities.OnAnswer(service, *rank,
                                 time < (hit_time + miss_time) / 2);
  }
  if (request.object == 0 || (rank && *rank <= kMaxCertainRank)) {
    m_times.Add(service, CachePrediction::kHit, time);
  } else if (!rank && time > hit_time * kMinMissTimeRatio) {
    m_times.Add(service, CachePrediction::kMiss, time);
  }
}

}  // namespace kumquatcove
