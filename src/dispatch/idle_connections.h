#ifndef DISPATCH_IDLE_CONNECTIONS_H_
#define DISPATCH_IDLE_CONNECTIONS_H_

#include <cstddef>
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
 * whether that request ran is then unknown. Each connection is therefore reused
 * only well before its upstream's idle timeout, and for a non-idempotent
 * request only within kMaxIdleNonIdempotent of its last use. Thread safety:
 * none.
 */
class IdleConnections {
 public:
  /** Longest idle time before a non-idempotent request. */
  static constexpr Duration kMaxIdleNonIdempotent = Milliseconds(1500);
  /** Longest idle time before any request, if the upstream states no timeout.
   */
  static constexpr Duration kMaxIdle = Seconds(4);
  /** Usable share of a stated timeout. */
  static constexpr double kUsableShare = 0.5;

  void Add(const UpstreamId& upstream,
           ConnectionId connection,
           std::optional<Duration> idle_limit,
           MonotonicTime now);

  /** Removes and returns the most recently used connection; returns
   * `std::nullopt` if it has been idle for too long. */
  std::optional<ConnectionId> Take(const UpstreamId& upstream,
                                   bool idempotent,
                                   MonotonicTime now);

  /** Returns the number of idle connections to an upstream. */
  std::size_t Count(const UpstreamId& upstream) const;

  /** Removes a lost connection. Returns false if it isn't idle. */
  bool Remove(ConnectionId connection);

  /** Removes and returns all connections to an upstream, which the caller
   * closes. */
  std::vector<ConnectionId> TakeAll(const UpstreamId& upstream);

  /** Removes and returns the connections that were idle for too long, which the
   * caller closes. */
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
