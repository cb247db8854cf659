#include "dispatch/pending_requests.h"

#include <algorithm>

namespace kumquatcove {

DispatchRequest* PendingRequests::Find(RequestId id) {
  const auto found = m_requests.find(id);
  return found == m_requests.end() ? nullptr : &found->second;
}

DispatchRequest* PendingRequests::FindByConnection(ConnectionId connection) {
  const auto found = m_connections.find(connection);
  return found == m_connections.end() ? nullptr : Find(found->second);
}

std::vector<RequestId> PendingRequests::List() const {
  std::vector<RequestId> ids;
  ids.reserve(m_requests.size());
  for (const auto& [id, request] : m_requests) {
    ids.push_back(id);
  }
  return ids;
}

std::size_t PendingRequests::CountSent() const {
  return static_cast<std::size_t>(std::count_if(
      m_requests.begin(), m_requests.end(), [](const auto& entry) {
        return entry.second.active && entry.second.active->sent;
      }));
}

std::vector<RequestId> PendingRequests::ListIdempotentAt(
    const UpstreamId& upstream) const {
  std::vector<RequestId> ids;
  for (const auto& [id, request] : m_requests) {
    if (request.active && request.active->sent &&
        request.active->upstream == upstream && !request.abandoned &&
        request.IsIdempotent()) {
      ids.push_back(id);
    }
  }
  return ids;
}

}  // namespace kumquatcove
