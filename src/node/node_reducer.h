#ifndef NODE_NODE_REDUCER_H_
#define NODE_NODE_REDUCER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "base/clock_reading.h"
#include "protocol/context.h"
#include "protocol/effect.h"
#include "protocol/event.h"
#include "protocol/status_report.h"
#include "routing/routing_settings.h"

namespace kumquatcove {

class RequestCoordinator;
struct NodeModules;

/** Parameters that a node needs before its first event. */
struct NodeSettings {
  Identity identity;
  RoutingSettings routing;
  /** Seed of the node's random number generator. */
  std::uint64_t seed = 0;
};

/**
 * Makes all decisions of one entry instance: handles events and returns
 * effects.
 *
 * Deterministic: the same events, times and settings produce the same effects.
 * No function blocks, reads a clock or does I/O. Thread safety: none; the
 * driver passes one event at a time.
 */
class NodeReducer {
 public:
  explicit NodeReducer(NodeSettings settings);
  ~NodeReducer();
  NodeReducer(const NodeReducer&) = delete;
  NodeReducer& operator=(const NodeReducer&) = delete;

  /**
   * Handles one event and returns the effects, to be executed in order.
   *
   * Preconditions: the first event is Started; `now.monotonic` never
   * decreases between events.
   */
  std::vector<Effect> Reduce(const Event& event, ClockReading now);

 private:
  struct EventVisitor;
  struct MessageVisitor;

  void HandleMessage(const InstanceId& from, const PeerMessage& message);
  void HandleTick();
  void HandleStoreReply(const StoreReplyArrived& event);
  void HandleOperatorCommand(const OperatorCommandArrived& event);
  void HandleLookup(const LookupArrived& event);
  void HandleStopRequested();

  /** Processes pending decisions, notices and messages of this instance to
   * itself until none is left. */
  void ProcessUntilIdle();
  bool DeliverOwnMessages();

  void UpdatePhase();
  void ResetAfterPause();
  void UpdateLastWork();
  /** Returns whether a request or an operator's command awaits its answer. */
  bool HasWork() const;
  bool IsDrained() const;
  StatusReport MakeStatusReport() const;

  Context m_context;
  std::unique_ptr<NodeModules> m_modules;
  std::unique_ptr<RequestCoordinator> m_coordinator;
  /** Effects of the current event, except messages of this instance to itself.
   */
  std::vector<Effect> m_output;
  MonotonicTime m_started;
  MonotonicTime m_last_event;
  MonotonicTime m_next_list_fetch;
  std::optional<MonotonicTime> m_stop_requested;
  /** Last event of a stop before or after which HasWork was true. */
  MonotonicTime m_last_work;
  bool m_was_recovering = false;
  /** New work is refused, since the process is about to exit. */
  bool m_refuses_work = false;
  bool m_exited = false;
};

}  // namespace kumquatcove

#endif  // NODE_NODE_REDUCER_H_
