#ifndef CATALOGUE_CATALOGUE_INDEX_H_
#define CATALOGUE_CATALOGUE_INDEX_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "base/name.h"
#include "catalogue/entry.h"

namespace kumquatcove {

/** What the catalogue says of one upstream, with its region resolved. */
struct UpstreamRecord {
  UpstreamDeclaration declaration;
  ServiceName service;
  RegionName region;
};

/**
 * The catalogue in force at one revision, indexed for routing.
 *
 * Immutable once built, hence safe to share between threads.
 */
class CatalogueIndex {
 public:
  /** Builds an empty catalogue of revision 0. */
  CatalogueIndex() = default;

  /** Indexes `snapshot`. Precondition: it has passed validation. */
  explicit CatalogueIndex(CatalogueSnapshot snapshot);

  std::int64_t Revision() const { return m_snapshot.revision; }
  const CatalogueSnapshot& Snapshot() const { return m_snapshot; }

  /** Returns a hash of all entries; equal revisions with different digests mean
   * damage. */
  std::uint64_t Digest() const { return m_digest; }

  /** Returns the service entry, or null if there is none. The pointer lives as
   * long as this object. */
  const ServiceEntry* FindService(const ServiceName& service) const;

  /** Returns the committed entry of a service, or null. */
  const CatalogueEntry* FindEntry(std::string_view name) const;

  /** Returns the service called `name` in `scheme`, or null. Host names compare
   * without regard to case. */
  const ServiceEntry* FindByName(NamingScheme scheme,
                                 std::string_view name) const;

  /** Returns the upstream, or null. */
  const UpstreamRecord* FindUpstream(const UpstreamId& upstream) const;

  /** Returns the upstreams of `service` in `region`, drained ones included, in
   * the order declared. */
  const std::vector<UpstreamId>& UpstreamsIn(const ServiceName& service,
                                             const RegionName& region) const;

  /** Returns the region of an availability zone, or nothing if the zone isn't
   * declared. */
  std::optional<RegionName> RegionOf(const ZoneName& zone) const;

  /** Returns the topology entry; a default one while the catalogue has none. */
  const TopologyEntry& Topology() const;

  /** Returns the names of all services, sorted. */
  const std::vector<ServiceName>& Services() const { return m_services; }

 private:
  struct ServiceRegion {
    ServiceName service;
    RegionName region;
    friend bool operator==(const ServiceRegion&,
                           const ServiceRegion&) = default;
    template <typename H>
    friend H AbslHashValue(
        H state,
        const ServiceRegion& key) {  // NOLINT(readability-identifier-naming)
      return H::combine(std::move(state), key.service, key.region);
    }
  };

  void IndexTopology(const TopologyEntry& topology);
  void IndexService(const ServiceEntry& service, std::size_t position);

  CatalogueSnapshot m_snapshot;
  std::uint64_t m_digest = 0;
  /** Position of the topology entry in m_snapshot. */
  std::optional<std::size_t> m_topology;
  std::vector<ServiceName> m_services;
  absl::flat_hash_map<std::string, std::size_t> m_entries;
  absl::flat_hash_map<std::string, std::size_t> m_names;
  absl::flat_hash_map<ZoneName, RegionName> m_regions;
  absl::flat_hash_map<UpstreamId, UpstreamRecord> m_upstreams;
  absl::flat_hash_map<ServiceRegion, std::vector<UpstreamId>> m_placement;
};

}  // namespace kumquatcove

#endif  // CATALOGUE_CATALOGUE_INDEX_H_
