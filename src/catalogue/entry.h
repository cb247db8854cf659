#ifndef CATALOGUE_ENTRY_H_
#define CATALOGUE_ENTRY_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <boost/describe/class.hpp>

#include "base/clock_reading.h"
#include "base/enum_table.h"
#include "base/name.h"

namespace kumquatcove {

/** Whether a request of a service may run more than once. */
enum class RequestClass { kIdempotent, kNonIdempotent };

constexpr auto EnumNames(RequestClass) {
  return std::array{
      EnumName<RequestClass>{RequestClass::kIdempotent, "idempotent"},
      EnumName<RequestClass>{RequestClass::kNonIdempotent, "non-idempotent"}};
}

/** The naming scheme by which a caller names a service; all three are inherited
 * and stay in use. */
enum class NamingScheme { kHost, kPath, kCode };

constexpr auto EnumNames(NamingScheme) {
  return std::array{EnumName<NamingScheme>{NamingScheme::kHost, "host"},
                    EnumName<NamingScheme>{NamingScheme::kPath, "path"},
                    EnumName<NamingScheme>{NamingScheme::kCode, "code"}};
}

/** Names of one service in each naming scheme; a name belongs to one entry
 * only. */
struct ServiceNames {
  std::vector<std::string> host;
  std::vector<std::string> path;
  std::vector<std::string> code;
  friend bool operator==(const ServiceNames&, const ServiceNames&) = default;
};
BOOST_DESCRIBE_STRUCT(ServiceNames, (), (host, path, code))

/** One upstream of a service. */
struct UpstreamDeclaration {
  UpstreamId id;
  ZoneName zone;
  /** IP number and port, such as `127.0.0.1:9001`. */
  std::string address;
  /** Set by an operator to take the upstream out of service. */
  bool drained = false;
  friend bool operator==(const UpstreamDeclaration&,
                         const UpstreamDeclaration&) = default;
};
BOOST_DESCRIBE_STRUCT(UpstreamDeclaration, (), (id, zone, address, drained))

/** Limits of one service; each binds the sum over all entry instances. */
struct ServiceLimits {
  std::int32_t slots_per_upstream = 1;
  std::int32_t connections_per_upstream = 1;
  /** Requests that may wait for a slot in one region. */
  std::int32_t queue_length = 1;
  std::int32_t default_deadline_ms = 1000;
  std::int32_t max_deadline_ms = 1000;
  /** Share of a region's slots, in thousandths, that steering from other
   * regions leaves free. */
  std::int32_t headroom_permille = 0;
  /** Requests per second that a shift may move into another region. */
  std::int32_t shift_cap_per_second = 0;
  /** Retries as a share of requests, in thousandths. */
  std::int32_t retry_permille = 0;
  /** Hedged requests as a share of requests, in thousandths. */
  std::int32_t hedge_permille = 0;
  /** Services of lower priority are shed first. */
  std::int32_t priority = 0;
  /** How long the claim of a non-idempotent request is kept. */
  std::int32_t claim_retention_s = 86'400;
  friend bool operator==(const ServiceLimits&, const ServiceLimits&) = default;
};
BOOST_DESCRIBE_STRUCT(ServiceLimits,
                      (),
                      (slots_per_upstream,
                       connections_per_upstream,
                       queue_length,
                       default_deadline_ms,
                       max_deadline_ms,
                       headroom_permille,
                       shift_cap_per_second,
                       retry_permille,
                       hedge_permille,
                       priority,
                       claim_retention_s))

/** A declared move of a share of one region's traffic to another region, as a
 * ramp that starts when it is committed. */
struct ShiftDeclaration {
  RegionName from;
  RegionName to;
  /** Share of the traffic of `from` that is moved at the end of the ramp, in
   * thousandths. */
  std::int32_t target_permille = 0;
  std::int32_t step_permille = 0;
  std::int32_t step_interval_s = 1;
  friend bool operator==(const ShiftDeclaration&,
                         const ShiftDeclaration&) = default;
};
BOOST_DESCRIBE_STRUCT(
    ShiftDeclaration,
    (),
    (from, to, target_permille, step_permille, step_interval_s))

/** Declaration of one service. */
struct ServiceEntry {
  static constexpr std::string_view kName = "service";
  ServiceName service;
  OperatorName owner;
  RequestClass request_class = RequestClass::kIdempotent;
  ServiceNames names;
  ServiceLimits limits;
  std::vector<UpstreamDeclaration> upstreams;
  std::vector<ShiftDeclaration> shifts;
  friend bool operator==(const ServiceEntry&, const ServiceEntry&) = default;
};
BOOST_DESCRIBE_STRUCT(
    ServiceEntry,
    (),
    (service, owner, request_class, names, limits, upstreams, shifts))

/** A region and its availability zones. */
struct RegionDeclaration {
  RegionName name;
  std::vector<ZoneName> zones;
  friend bool operator==(const RegionDeclaration&,
                         const RegionDeclaration&) = default;
};
BOOST_DESCRIBE_STRUCT(RegionDeclaration, (), (name, zones))

/** Callers whose addresses lie in `prefix` are nearest to `zone`. */
struct ClientBlock {
  /** IPv4 network in CIDR notation, such as `10.1.0.0/16`. */
  std::string prefix;
  ZoneName zone;
  friend bool operator==(const ClientBlock&, const ClientBlock&) = default;
};
BOOST_DESCRIBE_STRUCT(ClientBlock, (), (prefix, zone))

/** Declaration of regions, links and client blocks; a catalogue has exactly
 * one. */
struct TopologyEntry {
  static constexpr std::string_view kName = "topology";
  OperatorName owner;
  std::vector<RegionDeclaration> regions;
  /** Capacity of the link between two regions in each direction, shared by all
   * traffic. */
  std::int32_t link_mbit_per_second = 0;
  /** Greatest number of entry instances that run at one time; static shares of
   * limits are computed from it. */
  std::int32_t max_instances = 16;
  /** How long a caller may use a look-up answer. */
  std::int32_t lookup_ttl_ms = 1000;
  std::vector<ClientBlock> client_blocks;
  friend bool operator==(const TopologyEntry&, const TopologyEntry&) = default;
};
BOOST_DESCRIBE_STRUCT(TopologyEntry,
                      (),
                      (owner,
                       regions,
                       link_mbit_per_second,
                       max_instances,
                       lookup_ttl_ms,
                       client_blocks))

using EntryBody = std::variant<ServiceEntry, TopologyEntry>;

/** An entry as committed: what was declared, and when it last changed. */
struct CatalogueEntry {
  /** Catalogue revision of the entry's last change; edits are compare-and-set
   * on it. */
  std::int64_t revision = 0;
  /** Wall time of the commit. */
  WallTime committed;
  EntryBody body;
  /** Start of the ramp of each shift of a service, in their order: the commit
   * that declared the shift as it is. Other edits of the entry, such as a
   * drain, don't move traffic back by starting a ramp again. */
  std::vector<WallTime> shift_starts;
  friend bool operator==(const CatalogueEntry&,
                         const CatalogueEntry&) = default;
};
BOOST_DESCRIBE_STRUCT(CatalogueEntry,
                      (),
                      (revision, committed, body, shift_starts))

/** Name under which the topology entry is stored; no service may have it. */
inline constexpr std::string_view kTopologyEntryName = "topology";

/** Returns the name of an entry: the service's, or kTopologyEntryName. */
std::string EntryName(const EntryBody& body);

/** Returns the operator who may edit the entry. */
const OperatorName& EntryOwner(const EntryBody& body);

/** All entries in force at one revision. */
struct CatalogueSnapshot {
  std::int64_t revision = 0;
  std::vector<CatalogueEntry> entries;
  friend bool operator==(const CatalogueSnapshot&,
                         const CatalogueSnapshot&) = default;
};
BOOST_DESCRIBE_STRUCT(CatalogueSnapshot, (), (revision, entries))

}  // namespace kumquatcove

#endif  // CATALOGUE_ENTRY_H_
