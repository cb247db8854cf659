#ifndef ROUTING_CONNECTION_POOL_H_
#define ROUTING_CONNECTION_POOL_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "base/clock_reading.h"
#include "base/enum_table.h"
#include "base/name.h"
#include "protocol/context.h"
#include "protocol/ids.h"

namespace kumquatcove {

/** A connection for one attempt. */
struct AcquiredConnection {
  ConnectionId connection;
  /** False while the connection is still being opened; PoolEvent kReady or
   * kOpenFailed follows. */
  bool ready = false;
};

/** Effect of a connection event on the attempt that uses the connection. */
enum class PoolEventKind {
  /** The connection is open; the attempt may send. */
  kReady,
  /** A fresh connection could not be opened; nothing was sent. */
  kOpenFailed,
  /** The connection broke while the attempt used it. */
  kBroken,
};

constexpr auto EnumNames(PoolEventKind) {
  using Row = EnumName<PoolEventKind>;
  return std::array{Row{PoolEventKind::kReady, "ready"},
                    Row{PoolEventKind::kOpenFailed, "open-failed"},
                    Row{PoolEventKind::kBroken, "broken"}};
}

struct PoolEvent {
  PoolEventKind kind = PoolEventKind::kReady;
  TicketId ticket;
  UpstreamId upstream;
};

/**
 * Connections to upstreams; each carries one request at a time.
 *
 * A connection whose request ended without a complete answer is closed and
 * never reused, so that a late answer can't reach another caller. Thread
 * safety: none; owned by one reducer.
 */
class ConnectionPool {
 public:
  /**
   * Takes an idle connection or opens one for the attempt `ticket`.
   *
   * `fresh` excludes idle ones, which the upstream may be closing. Returns
   * std::nullopt if the catalogue lacks the upstream or if this
   * instance's share of the upstream's connections (connections_per_upstream /
   * max_instances, at least the number of slots) is used up.
   */
  std::optional<AcquiredConnection> Acquire(Context& context,
                                            const UpstreamId& upstream,
                                            TicketId ticket,
                                            bool fresh);

  /** Returns the effect on the attempt; std::nullopt if no attempt uses the
   * connection. */
  std::optional<PoolEvent> OnOpened(Context& context, ConnectionId connection);
  std::optional<PoolEvent> OnLost(Context& context, ConnectionId connection);

  /** Ends the attempt's use after a complete answer and returns its ticket;
   * std::nullopt if no attempt uses the connection. */
  std::optional<TicketId> OnAnswered(Context& context,
                                     ConnectionId connection,
                                     bool keep_alive);

  /** Closes the connection of an attempt that timed out or was cancelled. */
  void Abandon(Context& context, ConnectionId connection);

  /**
   * Closes the idle connections to an upstream that were opened no later than
   * `connection`, which has stalled.
   *
   * `connection` may have been abandoned before, since recently abandoned
   * connections are stored. Does nothing if it is unknown.
   */
  void CloseStalledConnections(Context& context, ConnectionId connection);

  /** Returns the upstream of a connection; null if it is unknown. */
  const UpstreamId* UpstreamOf(ConnectionId connection) const;

  /** Closes connections that were idle for too long, or whose upstream has left
   * the catalogue. */
  void OnTick(Context& context);

  /** Returns the number of open connections, for metrics. */
  std::size_t Size() const { return m_connections.size(); }

 private:
  enum class State { kOpening, kIdle, kBusy };

  struct Connection {
    UpstreamId upstream;
    /** Address to which it was opened. */
    std::string address;
    State state = State::kOpening;
    /** Attempt that uses the connection; not valid while it is idle. */
    TicketId ticket;
    MonotonicTime idle_since;
  };

  struct AbandonedConnection {
    ConnectionId connection;
    UpstreamId upstream;
  };

  struct UpstreamConnections {
    std::size_t open = 0;
    /** The most recently used one is last. */
    std::vector<ConnectionId> idle;
  };

  ConnectionId Open(Context& context,
                    const UpstreamRecord& upstream,
                    TicketId ticket);
  /** Removes a connection without closing it. */
  void Remove(ConnectionId connection);
  void Close(Context& context, ConnectionId connection);
  const UpstreamId* UpstreamOfAbandoned(ConnectionId connection) const;

  /** Ordered by id, hence by time of opening. */
  std::map<ConnectionId, Connection> m_connections;
  absl::flat_hash_map<UpstreamId, UpstreamConnections> m_upstreams;
  std::deque<AbandonedConnection> m_abandoned;
  std::uint64_t m_last_id = 0;
  MonotonicTime m_next_sweep;
};

}  // namespace kumquatcove

#endif  // ROUTING_CONNECTION_POOL_H_
