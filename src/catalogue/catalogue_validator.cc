#include "catalogue/catalogue_validator.h"

#include <algorithm>
#include <cstdint>
#include <locale>
#include <map>
#include <optional>
#include <string_view>
#include <utility>

#include <boost/algorithm/string/case_conv.hpp>
#include <boost/json/serialize.hpp>

#include "base/json_codec.h"
#include "catalogue/ipv4.h"

namespace kumquatcove {
namespace {

// More problems than this help no one and could fill the memory.
constexpr std::size_t kMaxProblems = 100;
// Callers' look-ups are served under this first path segment.
constexpr std::string_view kReservedPath = "kumquatcove";

template <class T>
struct FieldRange {
  const char* name;
  std::int32_t T::*field;
  std::int32_t least;
  std::int32_t greatest;
};

constexpr FieldRange<ServiceLimits> kLimitRanges[] = {
    {"slots_per_upstream", &ServiceLimits::slots_per_upstream, 1, 1000},
    {"connections_per_upstream", &ServiceLimits::connections_per_upstream, 1,
     10'000},
    {"queue_length", &ServiceLimits::queue_length, 1, 100'000},
    // Claims are sent within 60 s at most (3.5).
    {"default_deadline_ms", &ServiceLimits::default_deadline_ms, 1, 60'000},
    {"max_deadline_ms", &ServiceLimits::max_deadline_ms, 1, 60'000},
    {"headroom_permille", &ServiceLimits::headroom_permille, 0, 1000},
    {"shift_cap_per_second", &ServiceLimits::shift_cap_per_second, 0,
     1'000'000},
    {"retry_permille", &ServiceLimits::retry_permille, 0, 1000},
    {"hedge_permille", &ServiceLimits::hedge_permille, 0, 1000},
    {"priority", &ServiceLimits::priority, 0, 10'000},
    // A claim must outlive the longest deadline by far.
    {"claim_retention_s", &ServiceLimits::claim_retention_s, 600, 2'592'000},
};

constexpr FieldRange<ShiftDeclaration> kShiftRanges[] = {
    {"target_permille", &ShiftDeclaration::target_permille, 1, 1000},
    {"step_permille", &ShiftDeclaration::step_permille, 1, 1000},
    {"step_interval_s", &ShiftDeclaration::step_interval_s, 1, 86'400},
};

constexpr FieldRange<TopologyEntry> kTopologyRanges[] = {
    {"link_mbit_per_second", &TopologyEntry::link_mbit_per_second, 1,
     10'000'000},
    {"max_instances", &TopologyEntry::max_instances, 1, 10'000},
    {"lookup_ttl_ms", &TopologyEntry::lookup_ttl_ms, 100, 60'000},
};

bool IsWord(std::string_view text,
            std::size_t max_length,
            std::string_view extra) {
  return !text.empty() && text.size() <= max_length &&
         std::all_of(text.begin(), text.end(), [&](char letter) {
           return (letter >= 'a' && letter <= 'z') ||
                  (letter >= '0' && letter <= '9') ||
                  extra.find(letter) != std::string_view::npos ||
                  (letter >= 'A' && letter <= 'Z');
         });
}

std::string Indexed(const std::string& name, std::size_t index) {
  return name + "[" + std::to_string(index) + "]";
}

/** Collects the problems of one catalogue. */
class Validator {
 public:
  std::vector<CatalogueProblem> Check(const std::vector<LocatedEntry>& entries);

 private:
  template <class T>
  void Report(const std::string& member, const T& value, std::string problem) {
    if (m_problems.size() < kMaxProblems) {
      m_problems.push_back({m_location.file, m_location.path + member,
                            boost::json::serialize(ToJson(value)),
                            std::move(problem)});
    }
  }
  template <class T, std::size_t kCount>
  void CheckRanges(const std::string& member,
                   const T& object,
                   const FieldRange<T> (&ranges)[kCount]) {
    for (const FieldRange<T>& range : ranges) {
      const std::int32_t value = object.*range.field;
      if (value < range.least || value > range.greatest) {
        Report(member + "." + range.name, value,
               "permitted are " + std::to_string(range.least) + " to " +
                   std::to_string(range.greatest));
      }
    }
  }
  template <class Key, class T>
  void CheckUnique(std::map<Key, std::string>& seen,
                   const Key& key,
                   const T& value,
                   const std::string& member);
  void CheckOwner(const OperatorName& owner);
  void CheckTopology(const TopologyEntry& topology);
  void CheckClientBlocks(const TopologyEntry& topology);
  void CheckService(const ServiceEntry& service);
  void CheckNames(const std::string& scheme,
                  const std::vector<std::string>& names);
  void CheckLimits(const ServiceLimits& limits);
  void CheckUpstreams(const std::vector<UpstreamDeclaration>& upstreams);
  void CheckShifts(const ServiceEntry& service);
  void CheckShiftRegion(const std::string& member, const RegionName& region);

  EntryLocation m_location;
  std::vector<CatalogueProblem> m_problems;
  std::map<RegionName, std::string> m_regions;
  std::map<ZoneName, std::string> m_zones;
  std::map<std::string, std::string> m_entries;
  std::map<std::string, std::string> m_names;
  std::map<UpstreamId, std::string> m_upstreams;
  std::map<std::string, std::string> m_addresses;
};

std::vector<CatalogueProblem> Validator::Check(
    const std::vector<LocatedEntry>& entries) {
  // Regions and zones are needed to check the services.
  for (const LocatedEntry& entry : entries) {
    m_location = entry.location;
    const std::string name = EntryName(entry.body);
    CheckUnique(m_entries, name, name, "");
    if (const auto* topology = std::get_if<TopologyEntry>(&entry.body)) {
      CheckTopology(*topology);
    }
  }
  if (!entries.empty() &&
      m_entries.count(std::string(kTopologyEntryName)) == 0) {
    m_problems.push_back({entries.front().location.file, "$.topology", "",
                          "a catalogue must have a topology"});
  }
  for (const LocatedEntry& entry : entries) {
    m_location = entry.location;
    if (const auto* service = std::get_if<ServiceEntry>(&entry.body)) {
      CheckService(*service);
    }
  }
  return std::move(m_problems);
}

template <class Key, class T>
void Validator::CheckUnique(std::map<Key, std::string>& seen,
                            const Key& key,
                            const T& value,
                            const std::string& member) {
  const std::string place = m_location.file +
                            (m_location.file.empty() ? "" : ": ") +
                            m_location.path + member;
  const auto [first, added] = seen.emplace(key, place);
  if (!added) {
    Report(member, value, "must be unique, but is also at " + first->second);
  }
}

void Validator::CheckOwner(const OperatorName& owner) {
  if (!IsWord(owner.Text(), 64, "-_.@")) {
    Report(".owner", owner,
           "permitted are 1 to 64 letters, digits and characters of '-_.@'");
  }
}

void Validator::CheckTopology(const TopologyEntry& topology) {
  CheckOwner(topology.owner);
  CheckRanges("", topology, kTopologyRanges);
  if (topology.regions.empty() || topology.regions.size() > 64) {
    Report(".regions", topology.regions.size(),
           "permitted are 1 to 64 regions");
  }
  for (std::size_t i = 0; i < topology.regions.size(); ++i) {
    const RegionDeclaration& region = topology.regions[i];
    const std::string member = Indexed(".regions", i);
    if (!IsWord(region.name.Text(), 64, "-_")) {
      Report(member + ".name", region.name,
             "permitted are 1 to 64 letters, digits and characters of '-_'");
    }
    CheckUnique(m_regions, region.name, region.name, member + ".name");
    if (region.zones.empty() || region.zones.size() > 16) {
      Report(member + ".zones", region.zones.size(),
             "permitted are 1 to 16 availability zones");
    }
    for (std::size_t j = 0; j < region.zones.size(); ++j) {
      const std::string zone_member = Indexed(member + ".zones", j);
      if (!IsWord(region.zones[j].Text(), 64, "-_")) {
        Report(zone_member, region.zones[j],
               "permitted are 1 to 64 letters, digits and characters of '-_'");
      }
      CheckUnique(m_zones, region.zones[j], region.zones[j], zone_member);
    }
  }
  CheckClientBlocks(topology);
}

void Validator::CheckClientBlocks(const TopologyEntry& topology) {
  std::map<std::pair<std::uint32_t, int>, std::string> networks;
  for (std::size_t i = 0; i < topology.client_blocks.size(); ++i) {
    const ClientBlock& block = topology.client_blocks[i];
    const std::string member = Indexed(".client_blocks", i);
    const std::optional<Ipv4Network> network = ParseIpv4Network(block.prefix);
    if (!network) {
      Report(member + ".prefix", block.prefix,
             "permitted are IPv4 networks such as 10.1.0.0/16 without bits "
             "after the prefix");
    } else {
      CheckUnique(networks, {network->address, network->length}, block.prefix,
                  member + ".prefix");
    }
    if (m_zones.count(block.zone) == 0) {
      Report(member + ".zone", block.zone,
             "permitted are the availability zones of the topology");
    }
  }
}

void Validator::CheckService(const ServiceEntry& service) {
  if (!IsWord(service.service.Text(), 64, "-_") ||
      service.service.Text() == kTopologyEntryName) {
    Report(".service", service.service,
           "permitted are 1 to 64 letters, digits and characters of '-_', but "
           "not 'topology'");
  }
  CheckOwner(service.owner);
  CheckNames("host", service.names.host);
  CheckNames("path", service.names.path);
  CheckNames("code", service.names.code);
  if (service.names.host.empty() && service.names.path.empty() &&
      service.names.code.empty()) {
    Report(".names", service.names, "a service must have a name in a scheme");
  }
  CheckLimits(service.limits);
  CheckUpstreams(service.upstreams);
  CheckShifts(service);
}

void Validator::CheckNames(const std::string& scheme,
                           const std::vector<std::string>& names) {
  for (std::size_t i = 0; i < names.size(); ++i) {
    const std::string member = Indexed(".names." + scheme, i);
    if (!IsWord(names[i], 253, "-_.") ||
        (scheme == "path" && names[i] == kReservedPath)) {
      Report(member, names[i],
             "permitted are 1 to 253 letters, digits and characters of "
             "'-_.', but not the path 'kumquatcove'");
    }
    std::string key = scheme + ":" + names[i];
    if (scheme == "host") {
      boost::algorithm::to_lower(key, std::locale::classic());
    }
    CheckUnique(m_names, key, names[i], member);
  }
}

void Validator::CheckLimits(const ServiceLimits& limits) {
  CheckRanges(".limits", limits, kLimitRanges);
  if (limits.default_deadline_ms > limits.max_deadline_ms) {
    Report(".limits.default_deadline_ms", limits.default_deadline_ms,
           "permitted are 1 to max_deadline_ms, " +
               std::to_string(limits.max_deadline_ms));
  }
  if (limits.slots_per_upstream > limits.connections_per_upstream) {
    // Each request in flight has a connection of its own.
    Report(".limits.slots_per_upstream", limits.slots_per_upstream,
           "permitted are 1 to connections_per_upstream, " +
               std::to_string(limits.connections_per_upstream));
  }
}

void Validator::CheckUpstreams(
    const std::vector<UpstreamDeclaration>& upstreams) {
  if (upstreams.empty() || upstreams.size() > 10'000) {
    Report(".upstreams", upstreams.size(),
           "permitted are 1 to 10000 upstreams");
  }
  for (std::size_t i = 0; i < upstreams.size(); ++i) {
    const UpstreamDeclaration& upstream = upstreams[i];
    const std::string member = Indexed(".upstreams", i);
    if (!IsWord(upstream.id.Text(), 64, "-_.")) {
      Report(member + ".id", upstream.id,
             "permitted are 1 to 64 letters, digits and characters of '-_.'");
    }
    CheckUnique(m_upstreams, upstream.id, upstream.id, member + ".id");
    if (m_zones.count(upstream.zone) == 0) {
      Report(member + ".zone", upstream.zone,
             "permitted are the availability zones of the topology");
    }
    if (!IsIpv4Endpoint(upstream.address)) {
      Report(member + ".address", upstream.address,
             "permitted are an IPv4 address and a port from 1 to 65535, such "
             "as 127.0.0.1:9001");
    }
    CheckUnique(m_addresses, upstream.address, upstream.address,
                member + ".address");
  }
}

void Validator::CheckShifts(const ServiceEntry& service) {
  std::map<RegionName, std::int64_t> moved;
  for (std::size_t i = 0; i < service.shifts.size(); ++i) {
    const ShiftDeclaration& shift = service.shifts[i];
    const std::string member = Indexed(".shifts", i);
    CheckRanges(member, shift, kShiftRanges);
    CheckShiftRegion(member + ".from", shift.from);
    CheckShiftRegion(member + ".to", shift.to);
    if (shift.from == shift.to) {
      Report(member + ".to", shift.to, "must be another region than 'from'");
    }
    moved[shift.from] += shift.target_permille;
    if (moved[shift.from] > 1000) {
      Report(member + ".target_permille", shift.target_permille,
             "all shifts from one region together may move at most 1000");
    }
  }
  if (!service.shifts.empty() && service.limits.shift_cap_per_second == 0) {
    Report(".limits.shift_cap_per_second", 0,
           "must be at least 1 if a shift is declared");
  }
}

void Validator::CheckShiftRegion(const std::string& member,
                                 const RegionName& region) {
  if (m_regions.count(region) == 0) {
    Report(member, region, "permitted are the regions of the topology");
  }
}

}  // namespace

std::vector<CatalogueProblem> ValidateCatalogue(
    const std::vector<LocatedEntry>& entries) {
  return Validator().Check(entries);
}

std::vector<CatalogueProblem> ValidateCatalogue(
    const std::vector<EntryBody>& bodies) {
  std::vector<LocatedEntry> entries;
  entries.reserve(bodies.size());
  for (const EntryBody& body : bodies) {
    entries.push_back({{"", "$." + EntryName(body)}, body});
  }
  return ValidateCatalogue(entries);
}

}  // namespace kumquatcove
