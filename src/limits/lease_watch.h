#ifndef LIMITS_LEASE_WATCH_H_
#define LIMITS_LEASE_WATCH_H_

#include <compare>
#include <cstdint>
#include <map>

#include "base/clock_reading.h"
#include "base/name.h"
#include "limits/share_table.h"
#include "protocol/context.h"

namespace kumquatcove {

/**
 * Watches the row `budget/shares` and tells which leases have lapsed.
 *
 * Only this instance's monotonic clock and what it saw itself count, so neither
 * wrong wall clocks nor old rows can take a lease from a live holder. Thread
 * safety: none.
 */
class LeaseWatch {
 public:
  /** Time for which a renewal counter must have been seen unchanged before the
   * lease is reclaimed. */
  static constexpr Duration kLeaseReclaim = Seconds(10);

  /** Notes a readable row as seen now. */
  void OnTable(MonotonicTime now, const ShareTable& table);

  /** Removes lapsed leases and marks from `table`, as passed to OnTable now. */
  void RemoveLapsed(const Context& context, ShareTable& table) const;

 private:
  struct Holder {
    InstanceId instance;
    std::int64_t incarnation = 0;
    friend auto operator<=>(const Holder&, const Holder&) = default;
  };
  struct Seen {
    std::uint64_t renewal = 0;
    MonotonicTime since;
  };

  std::map<Holder, Seen> m_holders;
  Seen m_rates_unknown;
  Seen m_slots_unknown;
};

}  // namespace kumquatcove

#endif  // LIMITS_LEASE_WATCH_H_
