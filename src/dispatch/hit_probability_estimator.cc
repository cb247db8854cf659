#include "dispatch/hit_probability_estimator.h"

namespace kumquatcove {
namespace {

// Assumed before the first answers: an upstream caches a dozen objects almost
// certainly, and a few more with medium probability.
constexpr double kInitialHighProbability = 0.95;
constexpr double kInitialMediumProbability = 0.6;
constexpr double kInitialLowProbability = 0.1;
constexpr std::size_t kHighProbabilityGroups = 4;
constexpr std::size_t kMediumProbabilityGroups = 6;

// Weight of a new answer; kept small because stragglers look like cache misses.
constexpr double kAnswerWeight = 0.05;

}  // namespace

HitProbabilityEstimator::Shares HitProbabilityEstimator::MakeInitial() {
  Shares shares{};
  for (std::size_t group = 0; group < kGroups; ++group) {
    shares[group] =
        group < kHighProbabilityGroups
            ? kInitialHighProbability
            : (group < kMediumProbabilityGroups ? kInitialMediumProbability
                                                : kInitialLowProbability);
  }
  return shares;
}

double HitProbabilityEstimator::Estimate(const ServiceName& service,
                                         std::size_t rank) const {
  static const Shares kInitial = MakeInitial();
  const std::size_t group = rank / kGroupSize;
  if (group >= kGroups) {
    return 0;
  }
  const auto found = m_services.find(service);
  return found == m_services.end() ? kInitial[group] : found->second[group];
}

void HitProbabilityEstimator::OnAnswer(const ServiceName& service,
                                       std::size_t rank,
                                       bool hit) {
  const std::size_t group = rank / kGroupSize;
  if (group >= kGroups) {
    return;
  }
  Shares& shares = m_services.try_emplace(service, MakeInitial()).first->second;
  shares[group] += ((hit ? 1.0 : 0.0) - shares[group]) * kAnswerWeight;
}

}  // namespace kumquatcove
