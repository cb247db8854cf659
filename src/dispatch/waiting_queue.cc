#include "dispatch/waiting_queue.h"

namespace kumquatcove {

void WaitingQueue::Add(RequestId request,
                       std::int32_t priority,
                       MonotonicTime arrived,
                       MonotonicTime useful_until) {
  const SortKey place{priority, arrived, request.number};
  m_positions[place] = {request, useful_until};
  m_requests[request] = place;
}

void WaitingQueue::Remove(RequestId request) {
  const auto found = m_requests.find(request);
  if (found != m_requests.end()) {
    m_positions.erase(found->second);
    m_requests.erase(found);
  }
}

std::vector<RequestId> WaitingQueue::InOrder(MonotonicTime now) const {
  std::vector<RequestId> requests;
  requests.reserve(m_positions.size());
  std::vector<RequestId> late;
  const auto append_late = [&] {
    requests.insert(requests.end(), late.begin(), late.end());
    late.clear();
  };
  std::optional<std::int32_t> priority;
  for (const auto& [place, entry] : m_positions) {
    if (priority != place.priority) {
      append_late();
      priority = place.priority;
    }
    (now < entry.useful_until ? requests : late).push_back(entry.request);
  }
  append_late();
  return requests;
}

}  // namespace kumquatcove
