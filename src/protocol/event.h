#ifndef PROTOCOL_EVENT_H_
#define PROTOCOL_EVENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <boost/describe/class.hpp>

#include "base/hybrid_clock.h"
#include "base/name.h"
#include "protocol/dispatch_settings.h"
#include "protocol/http_message.h"
#include "protocol/ids.h"
#include "protocol/operator_command.h"
#include "protocol/peer_message.h"
#include "protocol/store_operation.h"

namespace kumquatcove {

/** The process has started. Always the first event, sent once. */
struct Started {
  static constexpr std::string_view kName = "started";
  friend bool operator==(const Started&, const Started&) = default;
};
BOOST_DESCRIBE_STRUCT(Started, (), ())

/** Timer tick, sent every kTickInterval. All timeouts are detected on ticks. */
struct Tick {
  static constexpr std::string_view kName = "tick";
  friend bool operator==(const Tick&, const Tick&) = default;
};
BOOST_DESCRIBE_STRUCT(Tick, (), ())

inline constexpr Duration kTickInterval = Milliseconds(10);

/** A caller sent a request. The driver waits for AnswerCaller with the same id.
 */
struct RequestArrived {
  static constexpr std::string_view kName = "request_arrived";
  RequestId request;
  HttpRequest http;
  /** Id that the caller assigned to this send of its request; empty if absent.
   */
  std::string attempt;
  /** Object that the request refers to, if the caller specifies it. An upstream
   * that has recently handled the object serves such requests faster. */
  std::string object;
  friend bool operator==(const RequestArrived&,
                         const RequestArrived&) = default;
};
BOOST_DESCRIBE_STRUCT(RequestArrived, (), (request, http, attempt, object))

/** The caller closed its connection before the answer. */
struct CallerGone {
  static constexpr std::string_view kName = "caller_gone";
  RequestId request;
  friend bool operator==(const CallerGone&, const CallerGone&) = default;
};
BOOST_DESCRIBE_STRUCT(CallerGone, (), (request))

/** A caller requests a list of entry instances. The driver waits for
 * AnswerLookup with the same id. */
struct LookupArrived {
  static constexpr std::string_view kName = "lookup_arrived";
  RequestId request;
  /** Name of the service in any scheme; empty if the lookup is independent of
   * the service. */
  std::string service;
  /** IPv4 address of the caller. */
  std::string client_address;
  /** Location of the caller, if the caller reports it. */
  RegionName region;
  ZoneName zone;
  friend bool operator==(const LookupArrived&, const LookupArrived&) = default;
};
BOOST_DESCRIBE_STRUCT(LookupArrived,
                      (),
                      (request, service, client_address, region, zone))

/** An authenticated operator sent a command. The driver waits for
 * AnswerOperator with the same id. */
struct OperatorCommandArrived {
  static constexpr std::string_view kName = "operator_command_arrived";
  RequestId request;
  OperatorName operator_name;
  OperatorCommand command;
  friend bool operator==(const OperatorCommandArrived&,
                         const OperatorCommandArrived&) = default;
};
BOOST_DESCRIBE_STRUCT(OperatorCommandArrived,
                      (),
                      (request, operator_name, command))

struct PeerMessageArrived {
  static constexpr std::string_view kName = "peer_message_arrived";
  InstanceId from;
  HybridTimestamp sent;
  PeerMessage message;
  friend bool operator==(const PeerMessageArrived&,
                         const PeerMessageArrived&) = default;
};
BOOST_DESCRIBE_STRUCT(PeerMessageArrived, (), (from, sent, message))

struct StoreReplyArrived {
  static constexpr std::string_view kName = "store_reply_arrived";
  StoreRequestId id;
  StoreReply reply;
  friend bool operator==(const StoreReplyArrived&,
                         const StoreReplyArrived&) = default;
};
BOOST_DESCRIBE_STRUCT(StoreReplyArrived, (), (id, reply))

/** One row of the platform's list of instances, which may be outdated. */
struct ListedInstance {
  InstanceId instance;
  RegionName region;
  ZoneName zone;
  std::string caller_address;
  std::string peer_address;
  bool leaving = false;
  friend bool operator==(const ListedInstance&,
                         const ListedInstance&) = default;
};
BOOST_DESCRIBE_STRUCT(
    ListedInstance,
    (),
    (instance, region, zone, caller_address, peer_address, leaving))

/** Answer to FetchInstanceList. */
struct InstanceListArrived {
  static constexpr std::string_view kName = "instance_list_arrived";
  std::vector<ListedInstance> instances;
  /** Upstreams that the platform announces as leaving. */
  std::vector<UpstreamId> leaving_upstreams;
  friend bool operator==(const InstanceListArrived&,
                         const InstanceListArrived&) = default;
};
BOOST_DESCRIBE_STRUCT(InstanceListArrived, (), (instances, leaving_upstreams))

struct ConnectionOpened {
  static constexpr std::string_view kName = "connection_opened";
  ConnectionId connection;
  friend bool operator==(const ConnectionOpened&,
                         const ConnectionOpened&) = default;
};
BOOST_DESCRIBE_STRUCT(ConnectionOpened, (), (connection))

/** A connection could not be opened, was closed by the upstream or failed. */
struct ConnectionLost {
  static constexpr std::string_view kName = "connection_lost";
  ConnectionId connection;
  /** No byte of its request has been written. */
  bool unwritten = false;
  friend bool operator==(const ConnectionLost&,
                         const ConnectionLost&) = default;
};
BOOST_DESCRIBE_STRUCT(ConnectionLost, (), (connection, unwritten))

/** Load that an upstream reports about itself in an answer. */
struct UpstreamLoadReport {
  std::int32_t running = 0;
  std::int32_t waiting = 0;
  std::int32_t slots = 0;
  /** Current duration of work on its machine, in percent of the usual duration.
   */
  std::int32_t work_time_percent = 100;
  friend bool operator==(const UpstreamLoadReport&,
                         const UpstreamLoadReport&) = default;
};
BOOST_DESCRIBE_STRUCT(UpstreamLoadReport,
                      (),
                      (running, waiting, slots, work_time_percent))

/** A complete answer was received on a connection. */
struct UpstreamAnswered {
  static constexpr std::string_view kName = "upstream_answered";
  ConnectionId connection;
  HttpAnswer answer;
  /** The upstream keeps the connection open. */
  bool keep_alive = true;
  /** The answer has `X-Draining: true`. */
  bool draining = false;
  /** The upstream reports that it did not execute the request. */
  bool not_executed = false;
  /** The address belongs to a different upstream than expected. */
  bool wrong_upstream = false;
  std::optional<UpstreamLoadReport> load;
  /** Requests per second that the upstream accepts from all instances together;
   * not set if it states no limit. */
  std::optional<double> rate_limit;
  /** The answer states a rate limit that can't be read, so that an earlier one
   * still applies. */
  bool rate_limit_unreadable = false;
  /** The upstream closes the connection after this much idle time. */
  std::optional<Duration> idle_limit;
  friend bool operator==(const UpstreamAnswered&,
                         const UpstreamAnswered&) = default;
};
BOOST_DESCRIBE_STRUCT(UpstreamAnswered,
                      (),
                      (connection,
                       answer,
                       keep_alive,
                       draining,
                       not_executed,
                       wrong_upstream,
                       load,
                       rate_limit,
                       rate_limit_unreadable,
                       idle_limit))

/** Answer to ProbeUpstream. */
struct ProbeCompleted {
  static constexpr std::string_view kName = "probe_completed";
  UpstreamId upstream;
  bool healthy = false;
  bool draining = false;
  /** Requests running or waiting at the upstream, as reported by the upstream
   * itself; may be outdated or wrong. */
  std::int32_t reported_load = 0;
  friend bool operator==(const ProbeCompleted&,
                         const ProbeCompleted&) = default;
};
BOOST_DESCRIBE_STRUCT(ProbeCompleted,
                      (),
                      (upstream, healthy, draining, reported_load))

/** A stop of the process was requested; it exits after the effect Exit. */
struct StopRequested {
  static constexpr std::string_view kName = "stop_requested";
  friend bool operator==(const StopRequested&, const StopRequested&) = default;
};
BOOST_DESCRIBE_STRUCT(StopRequested, (), ())

/** Settings that were reloaded from the settings file at run time. */
struct SettingsReloaded {
  static constexpr std::string_view kName = "settings_reloaded";
  DispatchSettings dispatch;
  friend bool operator==(const SettingsReloaded&,
                         const SettingsReloaded&) = default;
};
BOOST_DESCRIBE_STRUCT(SettingsReloaded, (), (dispatch))

using Event = std::variant<Started,
                           Tick,
                           RequestArrived,
                           CallerGone,
                           LookupArrived,
                           OperatorCommandArrived,
                           PeerMessageArrived,
                           StoreReplyArrived,
                           InstanceListArrived,
                           ConnectionOpened,
                           ConnectionLost,
                           UpstreamAnswered,
                           ProbeCompleted,
                           StopRequested,
                           SettingsReloaded>;

}  // namespace kumquatcove

#endif  // PROTOCOL_EVENT_H_
