#ifndef CATALOGUE_PREFIX_TABLE_H_
#define CATALOGUE_PREFIX_TABLE_H_

#include <cstdint>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "base/name.h"
#include "catalogue/entry.h"

namespace kumquatcove {

/**
 * Longest-prefix table from client blocks to availability zones.
 *
 * A look-up costs one hash probe for each prefix length in use. Immutable once
 * built, hence safe to share between threads.
 */
class PrefixTable {
 public:
  /** Builds the table; blocks that aren't IPv4 networks are left out, and of
   * equal blocks the last counts. */
  explicit PrefixTable(const std::vector<ClientBlock>& blocks);

  /** Returns the zone of the longest block that holds `address`, or null. The
   * pointer lives as long as this object. */
  const ZoneName* Find(std::uint32_t address) const;

  /** As above, with the address as text; null if it isn't an IPv4 address. */
  const ZoneName* Find(const std::string& address) const;

 private:
  struct Level {
    int length = 0;
    /** Index into m_zones by network address. */
    absl::flat_hash_map<std::uint32_t, std::uint32_t> zones;
  };

  /** Longest prefixes first. */
  std::vector<Level> m_levels;
  std::vector<ZoneName> m_zones;
};

}  // namespace kumquatcove

#endif  // CATALOGUE_PREFIX_TABLE_H_
