#ifndef DISPATCH_UPSTREAM_CONNECTIONS_H_
#define DISPATCH_UPSTREAM_CONNECTIONS_H_

#include <cstdint>
#include <optional>

#include "base/clock_reading.h"
#include "base/name.h"
#include "dispatch/idle_connections.h"
#include "protocol/context.h"
#include "protocol/event.h"
#include "protocol/ids.h"

namespace kumquatcove {

/**
 * Numbers the connections to upstreams, keeps the idle ones, and closes those
 * that can't be used again.
 *
 * Thread safety: none.
 */
class UpstreamConnections {
 public:
  /** Returns the id of a connection to be opened. */
  ConnectionId NextId() { return ConnectionId{++m_last_id}; }

  /** Keeps an open connection that has carried no request. */
  void Add(Context& context,
           const UpstreamId& upstream,
           ConnectionId connection) {
    m_idle.Add(upstream, connection, std::nullopt, context.Now());
  }
  /** Keeps the connection of an answer if fewer than `max_idle` are idle,
   * otherwise closes it. */
  void KeepOrClose(Context& context,
                   const UpstreamId& upstream,
                   const UpstreamAnswered& event,
                   double max_idle);

  /** Removes and returns an idle connection; returns `std::nullopt` if there is
   * none that may be used. */
  std::optional<ConnectionId> Take(const UpstreamId& upstream,
                                   bool idempotent,
                                   MonotonicTime now) {
    return m_idle.Take(upstream, idempotent, now);
  }

  /** Removes a lost connection. Returns false if it isn't idle. */
  bool Remove(ConnectionId connection) { return m_idle.Remove(connection); }

  /** Closes all idle connections to an upstream. */
  void CloseIdle(Context& context, const UpstreamId& upstream);
  /** Closes the connections that were idle for too long. */
  void CloseExpired(Context& context);

 private:
  IdleConnections m_idle;
  std::uint64_t m_last_id = 0;
};

}  // namespace kumquatcove

#endif  // DISPATCH_UPSTREAM_CONNECTIONS_H_
