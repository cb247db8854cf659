#include "node/timeline.h"

#include <utility>

namespace kumquatcove {

void Timeline::Add(TimelineEvent event) {
  m_events.push_back(std::move(event));
  if (m_events.size() > kCapacity) {
    m_events.pop_front();
  }
}

std::vector<TimelineEvent> Timeline::Find(const std::string& subject) const {
  std::vector<TimelineEvent> found;
  for (const TimelineEvent& event : m_events) {
    if (subject.empty() || Mentions(event, subject)) {
      found.push_back(event);
    }
  }
  return found;
}

}  // namespace kumquatcove
