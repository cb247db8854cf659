#include "discovery/entry_selector.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "base/hash.h"

namespace kumquatcove {
namespace {

bool IsKnownService(const CatalogueIndex& catalogue,
                    const std::string& service) {
  for (const auto& scheme : EnumNames(NamingScheme{})) {
    if (catalogue.FindByName(scheme.value, service) != nullptr) {
      return true;
    }
  }
  return false;
}

// Callers of few zones ask one instance; more kept classes would only fill the
// memory.
constexpr std::size_t kMaxCachedZones = 64;

/** An instance with its rendezvous weight for a caller. */
struct WeightedInstance {
  std::uint64_t weight = 0;
  const InstanceId* instance = nullptr;
};

bool ComesBefore(const WeightedInstance& a, const WeightedInstance& b) {
  return a.weight != b.weight ? a.weight > b.weight : *a.instance > *b.instance;
}

// Appends the first `count` instances in the order of RendezvousOrder.
void AppendFirst(const MemberTable& members,
                 const std::string& key,
                 const std::vector<InstanceId>& instances,
                 std::size_t count,
                 std::vector<LookupEntry>& entries) {
  std::vector<WeightedInstance> weighted;
  weighted.reserve(instances.size());
  for (const InstanceId& instance : instances) {
    weighted.push_back({StableHash({key, instance.Text()}), &instance});
  }
  const std::size_t taken = std::min(count, weighted.size());
  std::partial_sort(weighted.begin(),
                    weighted.begin() + static_cast<std::ptrdiff_t>(taken),
                    weighted.end(), ComesBefore);
  for (std::size_t index = 0; index < taken; ++index) {
    const InstanceId& instance = *weighted[index].instance;
    const MemberRecord& record = members.Find(instance)->record;
    entries.push_back({instance, record.zone, record.caller_address});
  }
}

}  // namespace

LookupAnswer EntrySelector::Select(const Context& context,
                                   const MemberTable& members,
                                   const std::string& service,
                                   const std::string& client_address) {
  LookupAnswer answer;
  if (!service.empty() && !IsKnownService(context.Catalogue(), service)) {
    answer.reason = RefusalReason::kUnknownService;
    return answer;
  }
  const ZoneName zone = ZoneOf(context, client_address);
  for (const std::vector<InstanceId>& equal :
       ClassesFor(context, members, zone)) {
    if (answer.entries.size() < kMaxLookupEntries) {
      AppendFirst(members, client_address, equal,
                  kMaxLookupEntries - answer.entries.size(), answer.entries);
    }
  }
  if (answer.entries.empty()) {
    answer.reason = RefusalReason::kNotReady;
    return answer;
  }
  answer.time_to_live =
      Milliseconds(context.Catalogue().Topology().lookup_ttl_ms);
  return answer;
}

const EntrySelector::DistanceClasses& EntrySelector::ClassesFor(
    const Context& context,
    const MemberTable& members,
    const ZoneName& zone) {
  const std::int64_t revision = context.Catalogue().Revision();
  if (members.MembershipVersion() != m_view_number ||
      revision != m_view_revision || m_classes.size() >= kMaxCachedZones) {
    m_classes.clear();
    m_view_number = members.MembershipVersion();
    m_view_revision = revision;
  }
  const auto [entry, is_new] = m_classes.try_emplace(zone);
  if (is_new) {
    const std::optional<RegionName> declared =
        context.Catalogue().RegionOf(zone);
    const RegionName region = declared.value_or(context.Self().region);
    for (const auto& [instance, member] : members.All()) {
      if (member.IsServing()) {
        const std::size_t distance = member.record.zone == zone       ? 0
                                     : member.record.region == region ? 1
                                                                      : 2;
        entry->second.at(distance).push_back(instance);
      }
    }
  }
  return entry->second;
}

ZoneName EntrySelector::ZoneOf(const Context& context,
                               const std::string& client_address) {
  std::shared_ptr<const CatalogueIndex> catalogue = context.SharedCatalogue();
  if (catalogue != m_catalogue) {
    const std::vector<ClientBlock>& blocks =
        catalogue->Topology().client_blocks;
    if (m_blocks == nullptr ||
        blocks != m_catalogue->Topology().client_blocks) {
      m_blocks = std::make_shared<const PrefixTable>(blocks);
    }
    m_catalogue = std::move(catalogue);
  }
  const ZoneName* zone = m_blocks->Find(client_address);
  return zone == nullptr ? context.Self().zone : *zone;
}

}  // namespace kumquatcove
