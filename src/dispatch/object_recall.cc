#include "dispatch/object_recall.h"

namespace kumquatcove {
namespace {

// Assumed before there are answers: an upstream remembers a dozen objects for
// certain, and a few more perhaps.
constexpr double kInitialSure = 0.95;
constexpr double kInitialPerhaps = 0.6;
constexpr double kInitialForgotten = 0.1;
constexpr std::size_t kSureGroups = 4;
constexpr std::size_t kPerhapsGroups = 6;

// Weight of a new answer; stragglers look like forgotten objects, so that one
// answer says little.
constexpr double kAnswerWeight = 0.05;

}  // namespace

ObjectRecall::Shares ObjectRecall::MakeInitial() {
  Shares shares{};
  for (std::size_t group = 0; group < kGroups; ++group) {
    shares[group] =
        group < kSureGroups
            ? kInitialSure
            : (group < kPerhapsGroups ? kInitialPerhaps : kInitialForgotten);
  }
  return shares;
}

double ObjectRecall::Estimate(const ServiceName& service,
                              std::size_t place) const {
  static const Shares kInitial = MakeInitial();
  const std::size_t group = place / kGroupSize;
  if (group >= kGroups) {
    return 0;
  }
  const auto found = m_services.find(service);
  return found == m_services.end() ? kInitial[group] : found->second[group];
}

void ObjectRecall::OnAnswer(const ServiceName& service,
                            std::size_t place,
                            bool at_hand) {
  const std::size_t group = place / kGroupSize;
  if (group >= kGroups) {
    return;
  }
  Shares& shares = m_services.try_emplace(service, MakeInitial()).first->second;
  shares[group] += ((at_hand ? 1.0 : 0.0) - shares[group]) * kAnswerWeight;
}

}  // namespace kumquatcove
