#ifndef DISPATCH_OBJECT_RECALL_H_
#define DISPATCH_OBJECT_RECALL_H_

#include <array>
#include <cstddef>

#include <absl/container/flat_hash_map.h>

#include "base/name.h"

namespace kumquatcove {

/**
 * How likely an upstream still has an object at hand, by the number of other
 * objects that it is known to have handled since; learned from answers.
 *
 * Upstreams of a service remember alike many objects, but how many isn't
 * stated, and some of what they handle isn't known here. Thread safety: none.
 */
class ObjectRecall {
 public:
  /** Objects that are taken together; single places have too few answers. */
  static constexpr std::size_t kGroupSize = 3;
  static constexpr std::size_t kGroups = 14;
  /** Places of which something is learned. */
  static constexpr std::size_t kPlaces = kGroupSize * kGroups;

  /** Returns the probability for the object with `place` others after it. */
  double Estimate(const ServiceName& service, std::size_t place) const;

  /** Notes whether an answer came as fast as with the object at hand. */
  void OnAnswer(const ServiceName& service, std::size_t place, bool at_hand);

 private:
  using Shares = std::array<double, kGroups>;

  static Shares MakeInitial();

  absl::flat_hash_map<ServiceName, Shares> m_services;
};

}  // namespace kumquatcove

#endif  // DISPATCH_OBJECT_RECALL_H_
