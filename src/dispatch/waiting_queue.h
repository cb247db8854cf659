#ifndef DISPATCH_WAITING_QUEUE_H_
#define DISPATCH_WAITING_QUEUE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "base/clock_reading.h"
#include "protocol/ids.h"

namespace kumquatcove {

/**
 * Requests of one service that wait at this instance for a slot.
 *
 * Answers the load of more requests than slots: the most urgent go first, and
 * among these the oldest that can still be answered within their latency
 * objective; the others get what is left, since an answer is worth little by
 * then. Thread safety: none.
 */
class WaitingQueue {
 public:
  /** Adds a request; 0 is the most urgent priority. Once `useful_until` has
   * passed it can't be answered within its objective any more. */
  void Add(RequestId request,
           std::int32_t priority,
           MonotonicTime arrived,
           MonotonicTime useful_until);
  void Remove(RequestId request);
  bool IsEmpty() const { return m_places.empty(); }
  std::size_t Size() const { return m_places.size(); }

  /** Returns the requests in the order in which they are to be served. */
  std::vector<RequestId> InOrder(MonotonicTime now) const;

 private:
  struct Place {
    std::int32_t priority = 0;
    MonotonicTime arrived;
    std::uint64_t number = 0;
    auto operator<=>(const Place&) const = default;
  };

  struct Entry {
    RequestId request;
    MonotonicTime useful_until;
  };

  std::map<Place, Entry> m_places;
  std::map<RequestId, Place> m_requests;
};

}  // namespace kumquatcove

#endif  // DISPATCH_WAITING_QUEUE_H_
