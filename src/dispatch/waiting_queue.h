#ifndef DISPATCH_WAITING_QUEUE_H_
#define DISPATCH_WAITING_QUEUE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "base/clock_reading.h"
#include "dispatch/sliding_count.h"
#include "protocol/ids.h"

namespace kumquatcove {

/**
 * Requests of one service that wait at this instance for a slot.
 *
 * Answers the load of more requests than slots: the most urgent go first, and
 * among these the oldest. How long a new request would wait is forecast from the
 * rate at which requests have left the queue, so that one that can't be served
 * in time is rejected when it comes and not when its time is over. Thread
 * safety: none.
 */
class WaitingQueue {
 public:
  /** Time over which the rate is taken. */
  static constexpr Duration kRateWindow = Seconds(1);

  WaitingQueue() : m_started(kRateWindow) {}

  /** Adds a request; 0 is the most urgent priority. */
  void Add(RequestId request, std::int32_t priority, MonotonicTime arrived);
  void Remove(RequestId request);
  bool IsEmpty() const { return m_places.empty(); }
  std::size_t Size() const { return m_places.size(); }

  /** Returns the requests in the order in which they are to be served. */
  std::vector<RequestId> InOrder() const;

  /** Notes that a request got a slot. */
  void NoteStarted(MonotonicTime now) { m_started.Add(now); }

  /** Returns the expected wait of a request that joins now; zero if the queue is
   * empty. */
  Duration ForecastWait(std::int32_t priority, MonotonicTime now) const;

 private:
  struct Place {
    std::int32_t priority = 0;
    MonotonicTime arrived;
    std::uint64_t number = 0;
    auto operator<=>(const Place&) const = default;
  };

  std::map<Place, RequestId> m_places;
  std::map<RequestId, Place> m_requests;
  SlidingCount m_started;
};

}  // namespace kumquatcove

#endif  // DISPATCH_WAITING_QUEUE_H_
