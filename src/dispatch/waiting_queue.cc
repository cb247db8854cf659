#include "dispatch/waiting_queue.h"

namespace kumquatcove {

void WaitingQueue::Add(RequestId request,
                       std::int32_t priority,
                       MonotonicTime arrived) {
  const Place place{priority, arrived, request.number};
  m_places[place] = request;
  m_requests[request] = place;
}

void WaitingQueue::Remove(RequestId request) {
  const auto found = m_requests.find(request);
  if (found != m_requests.end()) {
    m_places.erase(found->second);
    m_requests.erase(found);
  }
}

std::vector<RequestId> WaitingQueue::InOrder() const {
  std::vector<RequestId> requests;
  requests.reserve(m_places.size());
  for (const auto& [place, request] : m_places) {
    requests.push_back(request);
  }
  return requests;
}

}  // namespace kumquatcove
