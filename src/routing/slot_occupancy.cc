#include "routing/slot_occupancy.h"

#include <cassert>
#include <utility>

namespace kumquatcove {

void SlotOccupancy::Add(TicketId ticket, OccupiedSlot slot) {
  assert(!m_slots.contains(ticket));
  Count(slot, 1);
  m_slots.emplace(ticket, std::move(slot));
}

void SlotOccupancy::Remove(TicketId ticket) {
  const auto found = m_slots.find(ticket);
  if (found != m_slots.end()) {
    Count(found->second, -1);
    m_slots.erase(found);
  }
}

const OccupiedSlot* SlotOccupancy::Find(TicketId ticket) const {
  const auto found = m_slots.find(ticket);
  return found == m_slots.end() ? nullptr : &found->second;
}

std::int32_t SlotOccupancy::BusyOf(const UpstreamId& upstream) const {
  const auto found = m_use.find(upstream);
  return found == m_use.end() ? 0 : found->second.busy;
}

bool SlotOccupancy::IsIsolated(const UpstreamId& upstream) const {
  const auto found = m_use.find(upstream);
  return found != m_use.end() && found->second.isolated > 0;
}

void SlotOccupancy::Count(const OccupiedSlot& slot, std::int32_t change) {
  Use& use = m_use[slot.upstream];
  use.busy += change;
  use.isolated += slot.isolate ? change : 0;
  m_busy_long += slot.length == WorkLength::kLong ? change : 0;
  if (use.busy == 0) {
    m_use.erase(slot.upstream);
  }
}

}  // namespace kumquatcove
