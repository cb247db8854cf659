#ifndef DISPATCH_OBJECT_MEMORY_H_
#define DISPATCH_OBJECT_MEMORY_H_

#include <cstddef>
#include <cstdint>
#include <list>
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
 * Objects that one upstream has handled lately, as far as this instance knows.
 *
 * An upstream remembers a few dozen objects; which others it has handled since
 * isn't known here, so that only the last kCapacity of this instance count.
 * Thread safety: none.
 */
class ObjectMemory {
 public:
  static constexpr std::size_t kCapacity = 48;

  /** Notes that the upstream has handled the object. */
  void Note(ObjectHash object);
  bool Contains(ObjectHash object) const { return m_places.contains(object); }
  void Clear();

 private:
  /** The one used last is at the front. */
  std::list<ObjectHash> m_order;
  absl::flat_hash_map<ObjectHash, std::list<ObjectHash>::iterator> m_places;
};

/**
 * Returns the ids among `upstreams` that an object is kept on, in rendezvous
 * order.
 *
 * Every instance computes the same for the same list, so that each upstream
 * handles about kPreferredShare of all objects and forgets none of them; at
 * least one upstream is returned if there is any.
 */
std::vector<UpstreamId> PreferredUpstreams(
    ObjectHash object,
    const std::vector<UpstreamId>& upstreams);

/** Share of a region's upstreams of a service on which an object is kept. An
 * upstream remembers at least about two thirds of the objects in use. */
inline constexpr double kPreferredShare = 0.5;

}  // namespace kumquatcove

#endif  // DISPATCH_OBJECT_MEMORY_H_
