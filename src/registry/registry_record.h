#ifndef REGISTRY_REGISTRY_RECORD_H_
#define REGISTRY_REGISTRY_RECORD_H_

#include <array>
#include <cstdint>
#include <string>
#include <variant>

#include <boost/describe/class.hpp>

#include "base/clock_reading.h"
#include "base/enum_table.h"
#include "base/name.h"
#include "registry/route_table.h"

namespace kumquatcove {

/** Tables of the store that describe a deployment. */
enum class RegistryTable {
  /** What the operator wrote: the configuration and evacuations. */
  kOperator,
  /** Upstreams, as they register themselves. */
  kUpstreams,
  /** Entry instances, as they register themselves. */
  kEntries,
};

constexpr auto EnumNames(RegistryTable) {
  using Row = EnumName<RegistryTable>;
  return std::array{Row{RegistryTable::kOperator, "operator"},
                    Row{RegistryTable::kUpstreams, "upstreams"},
                    Row{RegistryTable::kEntries, "entries"}};
}

/** An upstream's own description. */
struct UpstreamRegistration {
  UpstreamId id;
  ServiceName service;
  ZoneName zone;
  /** IP number and port. */
  std::string address;
  std::int32_t slots = 1;
  /** It has announced that it leaves, and takes no new work. */
  bool draining = false;
  /** Time for which it still bears few requests, from the time of the row. */
  Duration cold_left{0};
  /** Start of the upstream in milliseconds since the Unix epoch; one that
   * starts again under the same id has forgotten everything. */
  std::int64_t started_ms = 0;
  /** Grows with each write of the row by the same start of the upstream. */
  std::int64_t sequence = 0;
  friend bool operator==(const UpstreamRegistration&,
                         const UpstreamRegistration&) = default;
};

/** The operator wants nothing sent to the upstreams of an availability zone. */
struct ZoneEvacuation {
  ZoneName zone;
  friend bool operator==(const ZoneEvacuation&,
                         const ZoneEvacuation&) = default;
};

/** An entry instance's own description. */
struct EntryRegistration {
  InstanceId instance;
  RegionName region;
  ZoneName zone;
  std::string caller_address;
  std::string peer_address;
  friend bool operator==(const EntryRegistration&,
                         const EntryRegistration&) = default;
};
BOOST_DESCRIBE_STRUCT(EntryRegistration,
                      (),
                      (instance, region, zone, caller_address, peer_address))

/** A row that can't be read; it stands for nothing. */
struct UnreadableRow {
  std::string problem;
  friend bool operator==(const UnreadableRow&, const UnreadableRow&) = default;
};

using RegistryRecord = std::variant<RouteConfiguration,
                                    ZoneEvacuation,
                                    UpstreamRegistration,
                                    EntryRegistration,
                                    UnreadableRow>;

}  // namespace kumquatcove

#endif  // REGISTRY_REGISTRY_RECORD_H_
