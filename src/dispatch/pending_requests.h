#ifndef DISPATCH_PENDING_REQUESTS_H_
#define DISPATCH_PENDING_REQUESTS_H_

#include <cstddef>
#include <map>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "base/name.h"
#include "dispatch/dispatch_request.h"
#include "protocol/ids.h"

namespace kumquatcove {

/**
 * Requests that have no answer yet, by id and by the connection of their
 * current send.
 *
 * Pointers and references stay valid until the request is removed. Thread
 * safety: none.
 */
class PendingRequests {
 public:
  /** Number of requests above which the owner refuses further ones, to bound
   * the memory. */
  static constexpr std::size_t kMaxRequests = 4'000;

  /** Adds a request. */
  DispatchRequest& Add(RequestId id) { return m_requests[id]; }
  void Remove(RequestId id) { m_requests.erase(id); }

  /** Associates a connection with a request, until Disconnect. */
  void Connect(ConnectionId connection, RequestId id) {
    m_connections[connection] = id;
  }
  void Disconnect(ConnectionId connection) { m_connections.erase(connection); }

  /** Returns nullptr if there is no such request. */
  DispatchRequest* Find(RequestId id);
  DispatchRequest* FindByConnection(ConnectionId connection);

  std::vector<RequestId> List() const;
  /** Returns the idempotent requests whose callers wait for an answer of an
   * upstream. */
  std::vector<RequestId> ListIdempotentAt(const UpstreamId& upstream) const;

  std::size_t Count() const { return m_requests.size(); }
  /** Returns the number of requests that were sent and have no answer yet. */
  std::size_t CountSent() const;

 private:
  std::map<RequestId, DispatchRequest> m_requests;
  absl::flat_hash_map<ConnectionId, RequestId> m_connections;
};

}  // namespace kumquatcove

#endif  // DISPATCH_PENDING_REQUESTS_H_
