#ifndef PROTOCOL_EFFECT_H_
#define PROTOCOL_EFFECT_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include <boost/describe/class.hpp>

#include "base/enum_table.h"
#include "base/hybrid_clock.h"
#include "base/name.h"
#include "protocol/http_message.h"
#include "protocol/ids.h"
#include "protocol/lookup.h"
#include "protocol/operator_command.h"
#include "protocol/peer_message.h"
#include "protocol/store_operation.h"
#include "protocol/timeline_event.h"

namespace kumquatcove {

/** Sends a message to another instance; it may be lost, but is delivered at
 * most once. */
struct SendPeer {
  static constexpr std::string_view kName = "send_peer";
  InstanceId to;
  /** IP address and port of the receiver. */
  std::string address;
  HybridTimestamp sent;
  PeerMessage message;
  friend bool operator==(const SendPeer&, const SendPeer&) = default;
};
BOOST_DESCRIBE_STRUCT(SendPeer, (), (to, address, sent, message))

/** Executes an operation on the store. Answered by StoreReplyArrived, with
 * status kUnknown after `timeout`. */
struct CallStore {
  static constexpr std::string_view kName = "call_store";
  StoreRequestId id;
  StoreOperation operation;
  Duration timeout{0};
  /** Use a new connection and close idle ones, since existing connections may
   * have stalled. */
  bool fresh_connection = false;
  friend bool operator==(const CallStore&, const CallStore&) = default;
};
BOOST_DESCRIBE_STRUCT(CallStore, (), (id, operation, timeout, fresh_connection))

/** Reads the platform's list of instances. Answered by InstanceListArrived on
 * success only. */
struct FetchInstanceList {
  static constexpr std::string_view kName = "fetch_instance_list";
  friend bool operator==(const FetchInstanceList&,
                         const FetchInstanceList&) = default;
};
BOOST_DESCRIBE_STRUCT(FetchInstanceList, (), ())

/** Opens a connection to an upstream; answered by ConnectionOpened or
 * ConnectionLost. */
struct OpenConnection {
  static constexpr std::string_view kName = "open_connection";
  ConnectionId connection;
  UpstreamId upstream;
  std::string address;
  friend bool operator==(const OpenConnection&,
                         const OpenConnection&) = default;
};
BOOST_DESCRIBE_STRUCT(OpenConnection, (), (connection, upstream, address))

/**
 * Sends a request on an open, idle connection; answered by UpstreamAnswered or
 * ConnectionLost.
 *
 * After `send_before` the driver must not send the request and reports
 * ConnectionLost instead, since the process may have been paused since the
 * decision.
 */
struct SendUpstream {
  static constexpr std::string_view kName = "send_upstream";
  ConnectionId connection;
  MonotonicTime send_before;
  /** Remaining time, sent to the upstream as its deadline. */
  Duration patience{0};
  HttpRequest http;
  /** Upstream expected at the address; checked if the platform supports it. */
  UpstreamId upstream;
  /** Id of the caller's send, used to match an upstream's answer to its
   * request. */
  std::string attempt;
  friend bool operator==(const SendUpstream&, const SendUpstream&) = default;
};
BOOST_DESCRIBE_STRUCT(
    SendUpstream,
    (),
    (connection, send_before, patience, http, upstream, attempt))

/** Closes a connection; no further event is reported for it. */
struct CloseConnection {
  static constexpr std::string_view kName = "close_connection";
  ConnectionId connection;
  friend bool operator==(const CloseConnection&,
                         const CloseConnection&) = default;
};
BOOST_DESCRIBE_STRUCT(CloseConnection, (), (connection))

/** Reads an upstream's `/health` and `/load` on a fresh connection; answered by
 * ProbeCompleted. */
struct ProbeUpstream {
  static constexpr std::string_view kName = "probe_upstream";
  UpstreamId upstream;
  std::string address;
  friend bool operator==(const ProbeUpstream&, const ProbeUpstream&) = default;
};
BOOST_DESCRIBE_STRUCT(ProbeUpstream, (), (upstream, address))

struct AnswerCaller {
  static constexpr std::string_view kName = "answer_caller";
  RequestId request;
  CallerAnswer answer;
  /** Time after which the caller may retry a refused request. */
  std::optional<Duration> retry_after;
  friend bool operator==(const AnswerCaller&, const AnswerCaller&) = default;
};
BOOST_DESCRIBE_STRUCT(AnswerCaller, (), (request, answer, retry_after))

struct AnswerLookup {
  static constexpr std::string_view kName = "answer_lookup";
  RequestId request;
  LookupAnswer answer;
  friend bool operator==(const AnswerLookup&, const AnswerLookup&) = default;
};
BOOST_DESCRIBE_STRUCT(AnswerLookup, (), (request, answer))

struct AnswerOperator {
  static constexpr std::string_view kName = "answer_operator";
  RequestId request;
  OperatorAnswer answer;
  friend bool operator==(const AnswerOperator&,
                         const AnswerOperator&) = default;
};
BOOST_DESCRIBE_STRUCT(AnswerOperator, (), (request, answer))

/** Writes a timeline event to the log. */
struct RecordTimeline {
  static constexpr std::string_view kName = "record_timeline";
  TimelineEvent event;
  friend bool operator==(const RecordTimeline&,
                         const RecordTimeline&) = default;
};
BOOST_DESCRIBE_STRUCT(RecordTimeline, (), (event))

/** Reports to the platform whether this instance accepts requests. */
struct SetReadiness {
  static constexpr std::string_view kName = "set_readiness";
  bool ready = false;
  friend bool operator==(const SetReadiness&, const SetReadiness&) = default;
};
BOOST_DESCRIBE_STRUCT(SetReadiness, (), (ready))

/** How connections of callers are handled. */
enum class CallerIntake {
  kOpen,
  /** Each connection is closed after its next answer. */
  kClosing,
  /** No new connection is accepted and no further request is read. */
  kClosed,
};

constexpr auto EnumNames(CallerIntake) {
  using Row = EnumName<CallerIntake>;
  return std::array{Row{CallerIntake::kOpen, "open"},
                    Row{CallerIntake::kClosing, "closing"},
                    Row{CallerIntake::kClosed, "closed"}};
}

/** Sets the limits for requests of callers. The defaults are those in force
 * until the first effect of this kind. */
struct SetCallerLimits {
  static constexpr std::string_view kName = "set_caller_limits";
  std::int64_t max_header_bytes = kMaxRequestHeadBytes;
  std::int64_t max_body_bytes = kMaxBodyBytes;
  /** Maximum time between two requests on a connection. */
  Duration idle{0};
  CallerIntake intake = CallerIntake::kOpen;
  friend bool operator==(const SetCallerLimits&,
                         const SetCallerLimits&) = default;
};
BOOST_DESCRIBE_STRUCT(SetCallerLimits,
                      (),
                      (max_header_bytes, max_body_bytes, idle, intake))

/** Terminates the process once all answers are written and read, or at a time
 * limit. Every request that has arrived has its answer at this point. */
struct Exit {
  static constexpr std::string_view kName = "exit";
  MonotonicTime limit;
  friend bool operator==(const Exit&, const Exit&) = default;
};
BOOST_DESCRIBE_STRUCT(Exit, (), (limit))

using Effect = std::variant<SendPeer,
                            CallStore,
                            FetchInstanceList,
                            OpenConnection,
                            SendUpstream,
                            CloseConnection,
                            ProbeUpstream,
                            AnswerCaller,
                            AnswerLookup,
                            AnswerOperator,
                            RecordTimeline,
                            SetReadiness,
                            SetCallerLimits,
                            Exit>;

}  // namespace kumquatcove

#endif  // PROTOCOL_EFFECT_H_
