#include "catalogue/catalogue_index.h"

#include <algorithm>
#include <locale>
#include <string>
#include <utility>
#include <variant>

#include <boost/algorithm/string/case_conv.hpp>
#include <boost/json/serialize.hpp>

#include "base/hash.h"
#include "base/json_codec.h"

namespace kumquatcove {
namespace {

std::string NameKey(NamingScheme scheme, std::string_view name) {
  std::string key(ToString(scheme));
  key += ':';
  key += name;
  if (scheme == NamingScheme::kHost) {
    boost::algorithm::to_lower(key, std::locale::classic());
  }
  return key;
}

// Client blocks are hashed one by one: as JSON, 170,000 of them take tens of
// megabytes and most of the time in which a change is applied.
std::uint64_t HashBlocks(const std::vector<ClientBlock>& blocks,
                         std::uint64_t seed) {
  std::uint64_t hash = seed ^ blocks.size();
  for (const ClientBlock& block : blocks) {
    hash = StableHash(block.prefix, hash);
    hash = StableHash(block.zone.Text(), hash);
  }
  return hash;
}

// Leaves the entry as it was; its blocks are taken out while the rest is
// converted.
std::uint64_t HashEntry(CatalogueEntry& entry, std::uint64_t seed) {
  auto* topology = std::get_if<TopologyEntry>(&entry.body);
  std::vector<ClientBlock> blocks;
  if (topology != nullptr) {
    blocks.swap(topology->client_blocks);
  }
  std::uint64_t hash = StableHash(boost::json::serialize(ToJson(entry)), seed);
  if (topology != nullptr) {
    hash = HashBlocks(blocks, hash);
    blocks.swap(topology->client_blocks);
  }
  return hash;
}

std::uint64_t HashSnapshot(CatalogueSnapshot& snapshot) {
  std::uint64_t hash = StableHash(std::to_string(snapshot.revision));
  for (CatalogueEntry& entry : snapshot.entries) {
    hash = HashEntry(entry, hash);
  }
  return hash;
}

}  // namespace

CatalogueIndex::CatalogueIndex(CatalogueSnapshot snapshot)
    : m_snapshot(std::move(snapshot)) {
  std::sort(m_snapshot.entries.begin(), m_snapshot.entries.end(),
            [](const CatalogueEntry& a, const CatalogueEntry& b) {
              return EntryName(a.body) < EntryName(b.body);
            });
  m_digest = HashSnapshot(m_snapshot);
  for (std::size_t position = 0; position < m_snapshot.entries.size();
       ++position) {
    if (std::holds_alternative<TopologyEntry>(
            m_snapshot.entries[position].body)) {
      m_topology = position;
      IndexTopology(Topology());
    }
  }
  for (std::size_t position = 0; position < m_snapshot.entries.size();
       ++position) {
    const EntryBody& body = m_snapshot.entries[position].body;
    m_entries[EntryName(body)] = position;
    if (const auto* service = std::get_if<ServiceEntry>(&body)) {
      IndexService(*service, position);
    }
  }
}

const TopologyEntry& CatalogueIndex::Topology() const {
  static const TopologyEntry kNone;
  return m_topology
             ? std::get<TopologyEntry>(m_snapshot.entries[*m_topology].body)
             : kNone;
}

const ServiceEntry* CatalogueIndex::FindService(
    const ServiceName& service) const {
  const CatalogueEntry* entry = FindEntry(service.Text());
  return entry == nullptr ? nullptr : std::get_if<ServiceEntry>(&entry->body);
}

const CatalogueEntry* CatalogueIndex::FindEntry(std::string_view name) const {
  const auto found = m_entries.find(std::string(name));
  return found == m_entries.end() ? nullptr
                                  : &m_snapshot.entries[found->second];
}

const ServiceEntry* CatalogueIndex::FindByName(NamingScheme scheme,
                                               std::string_view name) const {
  const auto found = m_names.find(NameKey(scheme, name));
  return found == m_names.end() ? nullptr
                                : std::get_if<ServiceEntry>(
                                      &m_snapshot.entries[found->second].body);
}

const UpstreamRecord* CatalogueIndex::FindUpstream(
    const UpstreamId& upstream) const {
  const auto found = m_upstreams.find(upstream);
  return found == m_upstreams.end() ? nullptr : &found->second;
}

const std::vector<UpstreamId>& CatalogueIndex::UpstreamsIn(
    const ServiceName& service,
    const RegionName& region) const {
  static const std::vector<UpstreamId> kNone;
  const auto found = m_placement.find(ServiceRegion{service, region});
  return found == m_placement.end() ? kNone : found->second;
}

std::optional<RegionName> CatalogueIndex::RegionOf(const ZoneName& zone) const {
  const auto found = m_regions.find(zone);
  return found == m_regions.end() ? std::nullopt : std::optional(found->second);
}

void CatalogueIndex::IndexTopology(const TopologyEntry& topology) {
  for (const RegionDeclaration& region : topology.regions) {
    for (const ZoneName& zone : region.zones) {
      m_regions[zone] = region.name;
    }
  }
}

void CatalogueIndex::IndexService(const ServiceEntry& service,
                                  std::size_t position) {
  m_services.push_back(service.service);
  const auto index_names = [&](NamingScheme scheme,
                               const std::vector<std::string>& names) {
    for (const std::string& name : names) {
      m_names[NameKey(scheme, name)] = position;
    }
  };
  index_names(NamingScheme::kHost, service.names.host);
  index_names(NamingScheme::kPath, service.names.path);
  index_names(NamingScheme::kCode, service.names.code);
  for (const UpstreamDeclaration& upstream : service.upstreams) {
    const RegionName region = RegionOf(upstream.zone).value_or(RegionName());
    m_upstreams[upstream.id] = {upstream, service.service, region};
    m_placement[{service.service, region}].push_back(upstream.id);
  }
}

}  // namespace kumquatcove
