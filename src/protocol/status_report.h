#ifndef PROTOCOL_STATUS_REPORT_H_
#define PROTOCOL_STATUS_REPORT_H_

#include <cstdint>
#include <string>
#include <vector>

#include <boost/describe/class.hpp>

#include "base/name.h"
#include "protocol/peer_message.h"

namespace kumquatcove {

/** Status of a member from the view of an instance. `health` is the name of a
 * MemberHealth. */
struct MemberStatus {
  InstanceId instance;
  RegionName region;
  std::string health;
  InstancePhase phase = InstancePhase::kJoining;
  std::int64_t catalogue_revision = 0;
  friend bool operator==(const MemberStatus&, const MemberStatus&) = default;
};
BOOST_DESCRIBE_STRUCT(MemberStatus,
                      (),
                      (instance, region, health, phase, catalogue_revision))

/** Use of a service's slots in the region of its slot home. */
struct ServiceStatus {
  ServiceName service;
  std::int32_t slots_total = 0;
  std::int32_t slots_busy = 0;
  std::int32_t queued = 0;
  friend bool operator==(const ServiceStatus&, const ServiceStatus&) = default;
};
BOOST_DESCRIBE_STRUCT(ServiceStatus,
                      (),
                      (service, slots_total, slots_busy, queued))

/** Status of an upstream whose state is not kServing, from the view of an
 * instance. */
struct UpstreamStatus {
  UpstreamId upstream;
  UpstreamState state = UpstreamState::kServing;
  friend bool operator==(const UpstreamStatus&,
                         const UpstreamStatus&) = default;
};
BOOST_DESCRIBE_STRUCT(UpstreamStatus, (), (upstream, state))

/** State of one entry instance; the document in the answer to StatusCommand. */
struct StatusReport {
  InstanceId instance;
  RegionName region;
  InstancePhase phase = InstancePhase::kJoining;
  bool ready = false;
  bool isolated = false;
  bool store_reachable = false;
  std::int64_t catalogue_revision = 0;
  std::uint64_t catalogue_digest = 0;
  std::uint64_t pending_requests = 0;
  std::uint64_t open_connections = 0;
  std::uint64_t claims = 0;
  std::vector<MemberStatus> members;
  /** Services of which this instance is the slot home. */
  std::vector<ServiceStatus> services;
  std::vector<UpstreamStatus> upstreams;
  friend bool operator==(const StatusReport&, const StatusReport&) = default;
};
BOOST_DESCRIBE_STRUCT(StatusReport,
                      (),
                      (instance,
                       region,
                       phase,
                       ready,
                       isolated,
                       store_reachable,
                       catalogue_revision,
                       catalogue_digest,
                       pending_requests,
                       open_connections,
                       claims,
                       members,
                       services,
                       upstreams))

}  // namespace kumquatcove

#endif  // PROTOCOL_STATUS_REPORT_H_
