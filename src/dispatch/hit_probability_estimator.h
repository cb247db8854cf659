#ifndef DISPATCH_HIT_PROBABILITY_ESTIMATOR_H_
#define DISPATCH_HIT_PROBABILITY_ESTIMATOR_H_

#include <array>
#include <cstddef>

#include <absl/container/flat_hash_map.h>

#include "base/name.h"

namespace kumquatcove {

/**
 * Estimates the probability that an upstream still has an object cached, by the
 * number of other objects that it has handled since; learned from answers.
 *
 * Upstreams of a service have caches of the same capacity, which isn't stated,
 * and this instance doesn't see all objects that they handle. Thread safety:
 * none.
 */
class HitProbabilityEstimator {
 public:
  /** Recency ranks per group; single ranks have too few answers. */
  static constexpr std::size_t kGroupSize = 3;
  static constexpr std::size_t kGroups = 14;
  /** Number of recency ranks that have estimates. */
  static constexpr std::size_t kRanks = kGroupSize * kGroups;

  /** Returns the hit probability of an object after which `rank` others were
   * handled. */
  double Estimate(const ServiceName& service, std::size_t rank) const;

  /** Records whether an answer was as fast as with the object cached. */
  void OnAnswer(const ServiceName& service, std::size_t rank, bool hit);

 private:
  using Shares = std::array<double, kGroups>;

  static Shares MakeInitial();

  absl::flat_hash_map<ServiceName, Shares> m_services;
};

}  // namespace kumquatcove

#endif  // DISPATCH_HIT_PROBABILITY_ESTIMATOR_H_
