#ifndef DISPATCH_OBJECT_MEMORY_H_
#define DISPATCH_OBJECT_MEMORY_H_

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
 * Objects that one upstream has handled lately, as far as this instance knows.
 *
 * What instances of other regions send it isn't known here; see ObjectRecall
 * for what the upstream still remembers. Thread safety: none.
 */
class ObjectMemory {
 public:
  /** More than any upstream is expected to remember. */
  static constexpr std::size_t kCapacity = 42;

  /** Notes that the upstream has handled the object. */
  void Note(ObjectHash object);
  bool Contains(ObjectHash object) const { return m_places.contains(object); }
  /** Returns the number of objects that were handled after this one; nothing
   * if it isn't known. */
  std::optional<std::size_t> FindPlace(ObjectHash object) const;
  void Clear();

 private:
  /** The one used last is at the front. */
  std::list<ObjectHash> m_order;
  absl::flat_hash_map<ObjectHash, std::list<ObjectHash>::iterator> m_places;
};

/** An upstream on which objects may be kept. */
struct ObjectKeeper {
  UpstreamId id;
  /** Share of the objects that it is to keep, relative to the others; 0 keeps
   * none. */
  double weight = 0;
};

/**
 * Returns up to `count` upstreams on which an object is kept, the first choice
 * first.
 *
 * Weighted rendezvous hashing: every instance computes the same for the same
 * keepers, and one that comes or goes moves only its own objects.
 */
std::vector<UpstreamId> ChooseKeepers(ObjectHash object,
                                      const std::vector<ObjectKeeper>& keepers,
                                      std::size_t count);

}  // namespace kumquatcove

#endif  // DISPATCH_OBJECT_MEMORY_H_
