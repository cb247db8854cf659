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
  /** The configuration and evacuations, written by the operator. */
  kOperator,
  /** Upstreams; each one registers itself. */
  kUpstreams,
  /** Entry instances; each one registers itself. */
  kEntries,
};

constexpr auto EnumNames(RegistryTable) {
  using Row = EnumName<RegistryTable>;
  return std::array{Row{RegistryTable::kOperator, "operator"},
                    Row{RegistryTable::kUpstreams, "upstreams"},
                    Row{RegistryTable::kEntries, "entries"}};
}

/** An upstream's registration, as written by the upstream itself. */
struct UpstreamRegistration {
  UpstreamId id;
  ServiceName service;
  ZoneName zone;
  /** IP address and port. */
  std::string address;
  std::int32_t slots = 1;
  /** The upstream has announced its shutdown and accepts no new work. */
  bool draining = false;
  /** Remaining warm-up time, counted from the time of the row, in which the
   * upstream handles only a low request rate. */
  Duration cold_left{0};
  /** Start time of the upstream in milliseconds since the Unix epoch. An
   * upstream that restarts under the same id has lost all its state. */
  std::int64_t started_ms = 0;
  /** Increases with each write of the row by the same run of the upstream. */
  std::int64_t sequence = 0;
  friend bool operator==(const UpstreamRegistration&,
                         const UpstreamRegistration&) = default;
};

/** The operator has excluded the upstreams of an availability zone from all
 * requests. */
struct ZoneEvacuation {
  ZoneName zone;
  friend bool operator==(const ZoneEvacuation&,
                         const ZoneEvacuation&) = default;
};

/** An entry instance's registration, as written by the instance itself. */
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

/** A row that can't be decoded; it describes no object. */
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
