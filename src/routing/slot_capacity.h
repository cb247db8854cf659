#ifndef ROUTING_SLOT_CAPACITY_H_
#define ROUTING_SLOT_CAPACITY_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/clock_reading.h"
#include "base/name.h"
#include "base/random.h"
#include "protocol/context.h"
#include "protocol/peer_message.h"
#include "routing/slot_occupancy.h"
#include "routing/slot_queue.h"
#include "routing/upstream_health.h"

namespace kumquatcove {

/**
 * Free slots of one service in this region at one moment, and the choice among
 * them.
 *
 * Built for one event from health and occupancy; Take keeps it up to date while
 * slots are granted. Thread safety: none.
 */
class SlotCapacity {
 public:
  /** Treats `withheld` slots of each upstream as not free, because instances
   * whose inventory hasn't arrived may use them. */
  SlotCapacity(const Context& context,
               const UpstreamHealth& health,
               const SlotOccupancy& occupancy,
               const ServiceName& service,
               std::int32_t withheld);

  /** Returns the number of slots that may be used now, free or not. */
  std::int32_t Usable() const { return m_usable; }
  bool HasFree() const { return m_free > 0; }

  /** Returns whether an upstream accepts new work and isn't excluded. */
  bool CanServe(const SlotRequest& request) const;

  /** Reserves an upstream for a waiting isolated request until it runs. Keeps
   * an earlier reservation if possible. */
  void ReserveFor(WaitingRequest& isolated);

  /**
   * Returns the upstream for a request, or null if it must wait.
   *
   * It is the one with the lowest share of busy slots, weighted by service
   * time; ties are broken at random. `queued` is the number of requests that
   * wait. Valid as long as this object.
   */
  const UpstreamId* Choose(Random& random,
                           const SlotRequest& request,
                           std::size_t queued) const;

  /** Records that a slot of the upstream, or all its slots, were granted. */
  void Take(const UpstreamId& upstream, bool isolate);

 private:
  struct Candidate {
    UpstreamId upstream;
    std::int32_t usable = 0;
    std::int32_t free = 0;
    std::int32_t busy = 0;
    /** Number of slots used by overdue short requests. */
    std::int32_t overdue = 0;
    bool slowed = false;
    bool trial_due = false;
    Duration service_time{0};
  };

  void CountOverdue(const Context& context, const SlotOccupancy& occupancy);
  Candidate* Find(const UpstreamId& upstream);
  bool IsAllowed(const Candidate& candidate, const SlotRequest& request) const;
  bool IsFasterThanWaiting(const Candidate& candidate,
                           std::size_t queued) const;
  double Score(const Candidate& candidate) const;

  std::vector<Candidate> m_candidates;
  std::int32_t m_usable = 0;
  std::int32_t m_free = 0;
  /** Usable slots of upstreams that aren't slowed. */
  std::int32_t m_fast_slots = 0;
  /** Mean service time of upstreams that aren't slowed; zero if unknown. */
  Duration m_fast_time{0};
  bool m_is_withheld = false;
  UpstreamId m_reserved;
  TicketId m_reserved_for;
};

}  // namespace kumquatcove

#endif  // ROUTING_SLOT_CAPACITY_H_
