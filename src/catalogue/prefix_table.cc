#include "catalogue/prefix_table.h"

#include <functional>
#include <map>
#include <optional>
#include <utility>

#include "catalogue/ipv4.h"

namespace kumquatcove {

PrefixTable::PrefixTable(const std::vector<ClientBlock>& blocks) {
  absl::flat_hash_map<ZoneName, std::uint32_t> zone_indices;
  std::map<int, Level, std::greater<>> levels;
  for (const ClientBlock& block : blocks) {
    const std::optional<Ipv4Network> network = ParseIpv4Network(block.prefix);
    if (!network) {
      continue;
    }
    const auto [zone, added] = zone_indices.try_emplace(
        block.zone, static_cast<std::uint32_t>(m_zones.size()));
    if (added) {
      m_zones.push_back(block.zone);
    }
    Level& level = levels[network->length];
    level.length = network->length;
    level.zones[network->address] = zone->second;
  }
  for (auto& [length, level] : levels) {
    m_levels.push_back(std::move(level));
  }
}

const ZoneName* PrefixTable::Find(std::uint32_t address) const {
  for (const Level& level : m_levels) {
    const auto found = level.zones.find(address & Ipv4Mask(level.length));
    if (found != level.zones.end()) {
      return &m_zones[found->second];
    }
  }
  return nullptr;
}

const ZoneName* PrefixTable::Find(const std::string& address) const {
  const std::optional<std::uint32_t> number = ParseIpv4Address(address);
  return number ? Find(*number) : nullptr;
}

}  // namespace kumquatcove
