#include "routing/slot_queue.h"

#include <algorithm>
#include <utility>

namespace kumquatcove {

std::optional<WaitingRequest> SlotQueue::Insert(WaitingRequest waiting,
                                                std::size_t limit) {
  const auto place = std::upper_bound(
      m_entries.begin(), m_entries.end(), waiting.request.length,
      [](WorkLength length, const WaitingRequest& entry) {
        return length < entry.request.length;
      });
  m_entries.insert(place, std::move(waiting));
  if (m_entries.size() <= limit) {
    return std::nullopt;
  }
  auto lowest = m_entries.begin();
  for (auto entry = m_entries.begin(); entry != m_entries.end(); ++entry) {
    if (entry->request.priority <= lowest->request.priority) {
      lowest = entry;
    }
  }
  WaitingRequest shed = std::move(*lowest);
  m_entries.erase(lowest);
  return shed;
}

WaitingRequest* SlotQueue::Find(TicketId ticket) {
  const auto found = std::find_if(m_entries.begin(), m_entries.end(),
                                  [&](const WaitingRequest& entry) {
                                    return entry.request.ticket == ticket;
                                  });
  return found == m_entries.end() ? nullptr : &*found;
}

WaitingRequest* SlotQueue::FirstIsolated() {
  const auto found = std::find_if(
      m_entries.begin(), m_entries.end(),
      [](const WaitingRequest& entry) { return entry.request.isolate; });
  return found == m_entries.end() ? nullptr : &*found;
}

void SlotQueue::Erase(TicketId ticket) {
  TakeIf([&](const WaitingRequest& entry) {
    return entry.request.ticket == ticket;
  });
}

}  // namespace kumquatcove
