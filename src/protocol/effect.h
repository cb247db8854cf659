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

/** Sends a message to another instance; it may be lost, but is never delivered
 * twice. */
struct SendPeer {
  static constexpr std::string_view kName = "send_peer";
  InstanceId to;
  /** IP number and port of the receiver. */
  std::string address;
  HybridTimestamp sent;
  PeerMessage message;
  friend bool operator==(const SendPeer&, const SendPeer&) = default;
};
BOOST_DESCRIBE_STRUCT(SendPeer, (), (to, address, sent, message))

/** Runs an operation on the store; answered by StoreReplyArrived, kUnknown
 * after `timeout`. */
struct CallStore {
  static constexpr std::string_view kName = "call_store";
  StoreRequestId id;
  StoreOperation operation;
  Duration timeout{0};
  /** Earlier connections may have gone silent: a new one is used, and idle ones
   * are closed. */
  bool fresh_connection = false;
  friend bool operator==(const CallStore&, const CallStore&) = default;
};
BOOST_DESCRIBE_STRUCT(CallStore, (), (id, operation, timeout, fresh_connection))

/** Reads the platform's list of instances; answered by InstanceListArrived, or
 * not at all. */
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
 * A driver that comes to it after `send_before` must not send it and reports
 * ConnectionLost: the process may have been paused since the decision.
 */
struct SendUpstream {
  static constexpr std::string_view kName = "send_upstream";
  ConnectionId connection;
  MonotonicTime send_before;
  /** Time left, passed to the upstream as its deadline. */
  Duration patience{0};
  HttpRequest http;
  /** Upstream that must have the address, if the platform can check it. */
  UpstreamId upstream;
  /** Id of the caller's send, by which an upstream's answer is recognised. */
  std::string attempt;
  friend bool operator==(const SendUpstream&, const SendUpstream&) = default;
};
BOOST_DESCRIBE_STRUCT(
    SendUpstream,
    (),
    (connection, send_before, patience, http, upstream, attempt))

/** Closes a connection; nothing is reported for it afterwards. */
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
  /** When the caller of a refused request may come back. */
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

/** Writes a time line event to the log. */
struct RecordTimeline {
  static constexpr std::string_view kName = "record_timeline";
  TimelineEvent event;
  friend bool operator==(const RecordTimeline&,
                         const RecordTimeline&) = default;
};
BOOST_DESCRIBE_STRUCT(RecordTimeline, (), (event))

/** Tells the platform whether this instance takes requests. */
struct SetReadiness {
  static constexpr std::string_view kName = "set_readiness";
  bool ready = false;
  friend bool operator==(const SetReadiness&, const SetReadiness&) = default;
};
BOOST_DESCRIBE_STRUCT(SetReadiness, (), (ready))

/** What happens to connections of callers. */
enum class CallerIntake {
  kOpen,
  /** Each connection ends with its next answer. */
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

/** Bounds what callers may send. */
struct SetCallerLimits {
  static constexpr std::string_view kName = "set_caller_limits";
  std::int64_t max_header_bytes = 0;
  std::int64_t max_body_bytes = 0;
  /** Longest time between two requests of a connection. */
  Duration idle{0};
  CallerIntake intake = CallerIntake::kOpen;
  friend bool operator==(const SetCallerLimits&,
                         const SetCallerLimits&) = default;
};
BOOST_DESCRIBE_STRUCT(SetCallerLimits,
                      (),
                      (max_header_bytes, max_body_bytes, idle, intake))

/** Ends the process; nothing is in flight any more. */
struct Exit {
  static constexpr std::string_view kName = "exit";
  friend bool operator==(const Exit&, const Exit&) = default;
};
BOOST_DESCRIBE_STRUCT(Exit, (), ())

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
