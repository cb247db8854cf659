#ifndef DISPATCH_IDLE_CONNECTIONS_H_
#define DISPATCH_IDLE_CONNECTIONS_H_

#include <optional>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "base/clock_reading.h"
#include "base/name.h"
#include "protocol/ids.h"

namespace kumquatcove {

/**
 * Open connections to upstreams that carry no request.
 *
 * An upstream may close an idle connection just as a request is sent on it, and
 * whether that request ran is then unknown. So each connection is used again
 * only well before its upstream's idle timeout, and for a non-idempotent
 * request only if it was in use just before. Thread safety: none.
 */
class IdleConnections {
 public:
  /** Longest idle time before a non-idempotent request. */
  static constexpr Duration kMaxIdleNonIdempotent = Milliseconds(1500);
  /** Longest idle time before any request, if the upstream states no timeout.
   */
  static constexpr Duration kMaxIdle = Seconds(4);
  /** Part of a stated timeout that is used. */
  static constexpr double kUsableShare = 0.5;

  void Add(const UpstreamId& upstream,
           ConnectionId connection,
           std::optional<Duration> idle_limit,
           MonotonicTime now);

  /** Takes the connection that was used last, if one is fit. */
  std::optional<ConnectionId> Take(const UpstreamId& upstream,
                                   bool idempotent,
                                   MonotonicTime now);

  /** Forgets a connection that was lost. Returns false if it isn't idle. */
  bool Remove(ConnectionId connection);

  /** Takes all connections to an upstream, to be closed. */
  std::vector<ConnectionId> TakeAll(const UpstreamId& upstream);

  /** Takes the connections that were idle for too long, to be closed. */
  std::vector<ConnectionId> TakeExpired(MonotonicTime now);

 private:
  struct Idle {
    ConnectionId connection;
    MonotonicTime since;
    MonotonicTime usable_until;
  };

  absl::flat_hash_map<UpstreamId, std::vector<Idle>> m_upstreams;
  absl::flat_hash_map<ConnectionId, UpstreamId> m_connections;
};

}  // namespace kumquatcove

#endif  // DISPATCH_IDLE_CONNECTIONS_H_
