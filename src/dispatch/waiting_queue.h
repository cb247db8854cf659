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
 * Designed for more requests than slots: the most urgent ones go first, and
 * among these the oldest that can still be answered within their latency
 * objective. The others follow, since a late answer has little value. Thread
 * safety: none.
 */
class WaitingQueue {
 public:
  /** Adds a request; 0 is the most urgent priority. After `useful_until` it
   * can't be answered within its latency objective. */
  void Add(RequestId request,
           std::int32_t priority,
           MonotonicTime arrived,
           MonotonicTime useful_until);
  void Remove(RequestId request);
  bool IsEmpty() const { return m_positions.empty(); }
  std::size_t Size() const { return m_positions.size(); }

  /** Returns the requests in the order in which they are to be served. */
  std::vector<RequestId> InOrder(MonotonicTime now) const;

 private:
  struct SortKey {
    std::int32_t priority = 0;
    MonotonicTime arrived;
    std::uint64_t number = 0;
    auto operator<=>(const SortKey&) const = default;
  };

  struct Entry {
    RequestId request;
    MonotonicTime useful_until;
  };

  std::map<SortKey, Entry> m_positions;
  std::map<RequestId, SortKey> m_requests;
};

}  // namespace kumquatcove

#endif  // DISPATCH_WAITING_QUEUE_H_
