#ifndef ROUTING_SLOT_OCCUPANCY_H_
#define ROUTING_SLOT_OCCUPANCY_H_

#include <cstdint>
#include <map>

#include <absl/container/flat_hash_map.h>

#include "base/clock_reading.h"
#include "base/name.h"
#include "protocol/ids.h"
#include "protocol/peer_message.h"

namespace kumquatcove {

/** A slot in use. */
struct OccupiedSlot {
  InstanceId holder;
  /** Incarnation of the holder when it got the slot. */
  std::int64_t incarnation = 0;
  UpstreamId upstream;
  MonotonicTime since;
  WorkLength length = WorkLength::kShort;
  /** The upstream runs nothing else while this slot is in use. */
  bool isolate = false;
  /** Reported in an inventory of the holder, not granted by this home. */
  bool reported = false;
};

/**
 * Exact occupancy of the slots of one service, by ticket.
 *
 * Thread safety: none; owned by one SlotHome.
 */
class SlotOccupancy {
 public:
  /** Adds a slot. Precondition: the ticket has none. */
  void Add(TicketId ticket, OccupiedSlot slot);

  /** Frees the ticket's slot; does nothing if it has none. */
  void Remove(TicketId ticket);

  /** Returns the ticket's slot, or null. Valid until the next change. */
  const OccupiedSlot* Find(TicketId ticket) const;

  /** Frees the slots for which `predicate(ticket, slot)` holds. */
  template <class Predicate>
  void RemoveIf(Predicate predicate) {
    for (auto entry = m_slots.begin(); entry != m_slots.end();) {
      const auto current = entry++;
      if (predicate(current->first, current->second)) {
        Count(current->second, -1);
        m_slots.erase(current);
      }
    }
  }

  /** Calls `visitor(slot)` for each slot in use. */
  template <class Visitor>
  void ForEach(Visitor visitor) const {
    for (const auto& [ticket, slot] : m_slots) {
      visitor(slot);
    }
  }

  std::int32_t Busy() const {
    return static_cast<std::int32_t>(m_slots.size());
  }
  /** Returns the number of slots used by long requests. */
  std::int32_t BusyLong() const { return m_busy_long; }
  std::int32_t BusyOf(const UpstreamId& upstream) const;
  /** Returns whether an isolated request runs on the upstream. */
  bool IsIsolated(const UpstreamId& upstream) const;

 private:
  struct Use {
    std::int32_t busy = 0;
    std::int32_t isolated = 0;
  };

  void Count(const OccupiedSlot& slot, std::int32_t change);

  std::map<TicketId, OccupiedSlot> m_slots;
  absl::flat_hash_map<UpstreamId, Use> m_use;
  std::int32_t m_busy_long = 0;
};

}  // namespace kumquatcove

#endif  // ROUTING_SLOT_OCCUPANCY_H_
