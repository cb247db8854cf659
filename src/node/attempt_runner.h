#ifndef NODE_ATTEMPT_RUNNER_H_
#define NODE_ATTEMPT_RUNNER_H_

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "base/clock_reading.h"
#include "base/enum_table.h"
#include "claims/claim_table.h"
#include "node/node_modules.h"
#include "protocol/context.h"
#include "protocol/event.h"
#include "protocol/http_message.h"
#include "protocol/peer_message.h"

namespace kumquatcove {

/** Parameters of an attempt to run a request at an upstream. */
struct AttemptSpec {
  RequestId request;
  ServiceName service;
  std::shared_ptr<const HttpRequest> http;
  MonotonicTime deadline;
  WorkLength length = WorkLength::kShort;
  std::int32_t priority = 0;
  bool spillover = false;
  bool hedge = false;
  bool isolate = false;
  /** Open a new connection, since the upstream may be closing an idle one. */
  bool fresh_connection = false;
  std::vector<UpstreamId> exclude;
  /** Claim to mark as sent before the request is sent. */
  std::optional<ClaimKey> claim;
};

enum class AttemptState { kWaitingForSlot, kConnecting, kSent };

constexpr auto EnumNames(AttemptState) {
  using Row = EnumName<AttemptState>;
  return std::array{Row{AttemptState::kWaitingForSlot, "waiting-for-slot"},
                    Row{AttemptState::kConnecting, "connecting"},
                    Row{AttemptState::kSent, "sent"}};
}

/** An attempt in progress. */
struct Attempt {
  AttemptSpec spec;
  AttemptState state = AttemptState::kWaitingForSlot;
  UpstreamId upstream;
  ConnectionId connection;
  /** Start of kConnecting or kSent. */
  MonotonicTime since;
  /** The connection has carried an earlier request. */
  bool reused_connection = false;
};

/** Result of an attempt that ended. */
struct AttemptEnd {
  TicketId ticket;
  AttemptSpec spec;
  /** Empty if no slot was granted. */
  UpstreamId upstream;
  AttemptResult result = AttemptResult::kNotSent;
  /** Set for kNotSent, kShed, kFailed and kTimedOut. */
  RefusalReason reason = RefusalReason::kNone;
  /** Set for kAnswered. */
  HttpAnswer answer;
  Duration service_time{0};
};

/**
 * Runs attempts: obtains a slot and a connection, sends the request and
 * reports the result.
 *
 * Thread safety: none; owned by one reducer.
 */
class AttemptRunner {
 public:
  explicit AttemptRunner(NodeModules& modules) : m_modules(modules) {}

  /** Starts an attempt. TakeEnded returns its result unless it is cancelled
   * first. */
  TicketId Start(Context& context, AttemptSpec spec);

  /** Ends an attempt without a result from TakeEnded. Its connection, if it has
   * one, is closed. Unknown tickets are ignored. */
  void Cancel(Context& context, TicketId ticket);

  void OnConnectionOpened(Context& context, ConnectionId connection);
  void OnConnectionLost(Context& context, ConnectionId connection);
  void OnUpstreamAnswered(Context& context, const UpstreamAnswered& event);

  /** Processes the slot client's decisions. */
  void ProcessDecisions(Context& context);

  /** Ends attempts whose deadline or connect timeout has expired. */
  void OnTick(Context& context);

  /** Returns the attempt, or null if the ticket is unknown. The pointer is
   * valid until the next non-const call. */
  const Attempt* Find(TicketId ticket) const;

  std::vector<AttemptEnd> TakeEnded();

 private:
  void OnSlotGranted(Context& context,
                     TicketId ticket,
                     const UpstreamId& upstream);
  void Send(Context& context, TicketId ticket);
  void End(Context& context,
           TicketId ticket,
           AttemptResult result,
           RefusalReason reason,
           HttpAnswer answer = {});
  void ReleaseSlot(Context& context,
                   TicketId ticket,
                   const Attempt& attempt,
                   AttemptResult result,
                   Duration service_time);
  void RecordUnanswered(Context& context, const Attempt& attempt);
  void ExpireAttempt(Context& context, TicketId ticket);

  NodeModules& m_modules;
  absl::flat_hash_map<TicketId, Attempt> m_attempts;
  /** Number of consecutive attempts on reused connections without an answer,
   * by upstream. */
  absl::flat_hash_map<UpstreamId, int> m_unanswered;
  std::vector<AttemptEnd> m_ended;
};

}  // namespace kumquatcove

#endif  // NODE_ATTEMPT_RUNNER_H_
