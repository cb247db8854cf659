#include "dispatch/object_memory.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

#include "base/hash.h"

namespace kumquatcove {

ObjectHash HashObject(const std::string& route, const std::string& object) {
  assert(!object.empty());
  return std::max<ObjectHash>(StableHash({route, object}), 1);
}

void ObjectMemory::Note(ObjectHash object) {
  const auto found = m_places.find(object);
  if (found != m_places.end()) {
    m_order.splice(m_order.begin(), m_order, found->second);
    return;
  }
  if (m_order.size() >= kCapacity) {
    m_places.erase(m_order.back());
    m_order.pop_back();
  }
  m_order.push_front(object);
  m_places[object] = m_order.begin();
}

void ObjectMemory::Clear() {
  m_order.clear();
  m_places.clear();
}

std::vector<UpstreamId> PreferredUpstreams(
    ObjectHash object,
    const std::vector<UpstreamId>& upstreams) {
  std::vector<std::pair<std::uint64_t, UpstreamId>> ranked;
  ranked.reserve(upstreams.size());
  for (const UpstreamId& id : upstreams) {
    ranked.emplace_back(StableHash(id.Text(), object), id);
  }
  std::sort(ranked.begin(), ranked.end());
  const auto count = static_cast<std::size_t>(
      std::ceil(kPreferredShare * static_cast<double>(ranked.size())));
  std::vector<UpstreamId> preferred;
  for (std::size_t i = 0; i < count; ++i) {
    preferred.push_back(std::move(ranked[i].second));
  }
  return preferred;
}

}  // namespace kumquatcove
