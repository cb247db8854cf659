#ifndef DISPATCH_RECENT_OBJECTS_H_
#define DISPATCH_RECENT_OBJECTS_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "base/name.h"

namespace kumquatcove {

/** Hash of an object and of the route on which it is used; 0 stands for no
 * object. */
using ObjectHash = std::uint64_t;

/** Returns the hash of an object, never 0. Precondition: `object` isn't empty.
 */
ObjectHash HashObject(const std::string& route, const std::string& object);

/**
 * Objects that one upstream has handled recently, as far as this instance has
 * received them.
 *
 * Requests from instances of other regions aren't included.
 * HitProbabilityEstimator estimates which of the objects the upstream still has
 * cached. Thread safety: none.
 */
class RecentObjects {
 public:
  /** Exceeds the expected cache capacity of any upstream. */
  static constexpr std::size_t kCapacity = 42;

  /** Records that the upstream has handled the object. */
  void Record(ObjectHash object);
  bool Contains(ObjectHash object) const {
    return m_positions.contains(object);
  }
  /** Returns the number of objects handled after this one; `std::nullopt` if
   * the object isn't recorded. */
  std::optional<std::size_t> FindRecencyRank(ObjectHash object) const;
  void Clear();

 private:
  /** Most recently used object first. */
  std::list<ObjectHash> m_order;
  absl::flat_hash_map<ObjectHash, std::list<ObjectHash>::iterator> m_positions;
};

/** An upstream that objects may be assigned to. */
struct AffinityCandidate {
  UpstreamId id;
  /** Relative share of the objects to assign to it; 0 assigns none. */
  double weight = 0;
};

/**
 * Returns up to `count` affinity upstreams of an object, in order of
 * preference.
 *
 * Weighted rendezvous hashing: every instance computes the same result for the
 * same candidates, and adding or removing one moves only its own objects.
 */
std::vector<UpstreamId> ChooseAffinityUpstreams(
    ObjectHash object,
    const std::vector<AffinityCandidate>& candidates,
    std::size_t count);

}  // namespace kumquatcove

#endif  // DISPATCH_RECENT_OBJECTS_H_
