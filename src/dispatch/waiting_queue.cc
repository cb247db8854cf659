#include "dispatch/waiting_queue.h"

#include <algorithm>
#include <cmath>

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

Duration WaitingQueue::ForecastWait(std::int32_t priority,
                                    MonotonicTime now) const {
  const auto ahead = std::count_if(
      m_places.begin(), m_places.end(),
      [&](const auto& entry) { return entry.first.priority <= priority; });
  if (ahead == 0) {
    return Duration::zero();
  }
  // Without a start for a whole window, assume one for each window.
  const double started = std::max(m_started.Sum(now), 1.0);
  return Duration(std::llround(static_cast<double>(ahead) / started *
                               static_cast<double>(kRateWindow.count())));
}

}  // namespace kumquatcove
