#include "dispatch/work_learner.h"

#include <cstddef>
#include <optional>

namespace kumquatcove {
namespace {

// An upstream that has handled this many other objects since, or fewer, still
// has an object at hand.
constexpr std::size_t kSurePlaces = 9;

// Work without the object at hand takes longer than this many times the work
// with it; the platform's upstreams need about three times as long.
constexpr double kMinUnknownRatio = 1.5;

}  // namespace

void WorkLearner::OnSuccess(const PlacementRequest& request,
                            const PlacementChoice& choice,
                            int slots,
                            Duration time) {
  if (choice.occupancy + 1 > slots) {
    // The time includes the wait for a slot.
    return;
  }
  const ServiceName& service = request.service;
  const std::optional<std::size_t> place = choice.object_place;
  const Duration familiar =
      m_times.Expect(service, ObjectFamiliarity::kFamiliar);
  const Duration unknown = m_times.Expect(service, ObjectFamiliarity::kUnknown);
  if (place) {
    m_recall.OnAnswer(service, *place, time < (familiar + unknown) / 2);
  }
  if (request.object == 0 || (place && *place <= kSurePlaces)) {
    m_times.Add(service, ObjectFamiliarity::kFamiliar, time);
  } else if (!place && time > familiar * kMinUnknownRatio) {
    m_times.Add(service, ObjectFamiliarity::kUnknown, time);
  }
}

}  // namespace kumquatcove
