#ifndef ROUTING_SLOT_QUEUE_H_
#define ROUTING_SLOT_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "base/clock_reading.h"
#include "base/name.h"
#include "protocol/peer_message.h"

namespace kumquatcove {

/** A request that waits for a slot. */
struct WaitingRequest {
  SlotRequest request;
  InstanceId from;
  /** Incarnation of `from` when it sent the request. */
  std::int64_t incarnation = 0;
  MonotonicTime expires;
  /** Upstream reserved until this isolated request can run; empty if none is.
   */
  UpstreamId reserved;
};

/**
 * Bounded queue of the requests of one service: short before long, first come
 * first served within each length.
 *
 * Thread safety: none; owned by one SlotHome.
 */
class SlotQueue {
 public:
  /**
   * Queues `waiting` and returns the request that was shed, if any.
   *
   * While fewer than `limit` requests wait, none is shed. Otherwise the request
   * of the lowest priority is shed, the last in order among equals; this may be
   * the new one.
   */
  std::optional<WaitingRequest> Insert(WaitingRequest waiting,
                                       std::size_t limit);

  /** Returns the request, or null. Valid until the next change. */
  WaitingRequest* Find(TicketId ticket);

  /** Removes the request; does nothing if it isn't queued. */
  void Erase(TicketId ticket);

  /** Removes and returns the requests for which `predicate` holds, in order. */
  template <class Predicate>
  std::vector<WaitingRequest> TakeIf(Predicate predicate) {
    std::vector<WaitingRequest> taken;
    std::vector<WaitingRequest> kept;
    for (WaitingRequest& waiting : m_entries) {
      (predicate(waiting) ? taken : kept).push_back(std::move(waiting));
    }
    m_entries = std::move(kept);
    return taken;
  }

  /** Returns the first isolated request, or null. Valid until the next change.
   */
  WaitingRequest* FirstIsolated();

  std::size_t Size() const { return m_entries.size(); }
  bool IsEmpty() const { return m_entries.empty(); }

 private:
  std::vector<WaitingRequest> m_entries;
};

}  // namespace kumquatcove

#endif  // ROUTING_SLOT_QUEUE_H_
