#ifndef LIMITS_BUDGET_LEDGER_H_
#define LIMITS_BUDGET_LEDGER_H_

#include <cstdint>
#include <map>
#include <optional>

#include "base/clock_reading.h"
#include "limits/lease_watch.h"
#include "limits/limit_key.h"
#include "limits/share_table.h"
#include "protocol/context.h"
#include "protocol/store_operation.h"

namespace kumquatcove {

/**
 * This instance's shares of the limits that bind the sum over all entry
 * instances.
 *
 * Half of a limit is split into static floors of 1 / max_instances, usable
 * without coordination; the other half is leased in the table row
 * `budget/shares` by compare-and-set. The sum of all shares in use never
 * exceeds the limit: a holder stops using a lease kLeaseUse after it sent the
 * last successful renewal, and others reclaim it only after they have watched
 * the renewal counter unchanged for kLeaseReclaim. Leased amounts are fractions
 * of the leased half, so a change of the declared limit takes effect with the
 * catalogue and needs no change of the row.
 *
 * Rates are token buckets that start empty. In any window an instance takes at
 * most its share times the window plus a burst: its share times kBurstTime, but
 * at least one unit and at least the largest single amount.
 *
 * Slots stay in use after a lease has lapsed, until their requests end, at the
 * latest at the service's maximum deadline; so others reclaim leased slots only
 * kLeaseReclaim plus that deadline after the last renewal. A row that had to be
 * created anew leases nothing for the same times, whether the table is new, the
 * row was lost or the store was restored from an older copy.
 *
 * The lease in use is the smallest of the one last confirmed and those of
 * writes without a reply, which may still take effect. Thread safety: none;
 * owned by one reducer.
 */
class BudgetLedger {
 public:
  /** Takes `amount` (requests or bytes) of a rate limit and returns true, or
   * returns false if the share is used up. */
  bool TryTakeRate(Context& context, const LimitKey& limit, double amount);

  /** Takes one unit of an occupancy limit (kSpilloverSlots) and returns true,
   * or returns false if the share is used up. */
  bool TryTakeSlot(Context& context, const LimitKey& limit);

  /** Gives one unit of an occupancy limit back. Precondition: TryTakeSlot
   * returned true for it. */
  void ReturnSlot(const LimitKey& limit);

  /** Returns this instance's share of a limit now, in units per second or
   * slots. */
  double ShareOf(const Context& context, const LimitKey& limit) const;

  /** Renews and reclaims leases when due; reads demand from the attempts made
   * since. */
  void OnTick(Context& context);

  /** Takes the reply of a store call made for StoreClientModule::kLimits. */
  void OnStoreReply(Context& context,
                    StoreRequestId id,
                    const StoreReply& reply);

  /** Time after the start of the last successful renewal for which leased
   * shares are used. */
  static constexpr Duration kLeaseUse = Seconds(4);
  static constexpr Duration kRenewInterval = Seconds(1);
  /** Time for which a rate's unused share is saved up. */
  static constexpr Duration kBurstTime = Milliseconds(250);
  /** Limits tracked at one time; uses of others are refused. */
  static constexpr std::size_t kMaxLimits = 256;

 private:
  struct LocalLimit {
    /** Leased fractions of the leased half, in kWholePool units: as last
     * confirmed, in the write in flight, and the smallest of the writes without
     * a reply. */
    std::int64_t held = 0;
    std::int64_t sent = 0;
    std::int64_t doubtful = kWholePool;
    /** Balance of a rate, in units. */
    double tokens = 0;
    MonotonicTime accrued;
    std::int32_t in_use = 0;
    /** Attempts since demand was last measured. */
    double attempted = 0;
    std::int32_t most_in_use = 0;
    bool refused = false;
    /** Units per second or slots that this instance would use. */
    double demand = 0;
  };

  LocalLimit* FindOrAdd(Context& context, const LimitKey& limit);
  std::int64_t UsableLease(const LocalLimit& local) const;
  static double Share(const Context& context,
                      const LimitKey& limit,
                      std::int64_t leased);
  void Accrue(const Context& context,
              const LimitKey& limit,
              LocalLimit& local) const;
  void AccrueAll(const Context& context);
  void MeasureDemand(const Context& context);
  bool NeedsLease() const;

  /** Handles the row as read in `era` of the store. */
  void OnRow(Context& context, const StoreRow& row, std::int64_t era);
  void AdoptRow(const Context& context, const ShareTable& table);
  ShareHolder OwnShares(const Context& context, const ShareTable& table) const;
  std::int64_t AmountFor(const Context& context,
                         const ShareTable& table,
                         const LimitKey& limit,
                         const LocalLimit& local,
                         std::int64_t wanted) const;
  void Write(Context& context, ShareTable table, std::int64_t version);
  void OnWriteReply(Context& context, const StoreReply& reply);
  void ClearDoubts();
  void ScheduleRenewal(Context& context, Duration delay);

  std::map<LimitKey, LocalLimit> m_limits;
  LeaseWatch m_watch;
  std::optional<MonotonicTime> m_started;
  /** The row exists without marks of unknown leases. Until then it is read
   * without demand too, so that the marks have lapsed when demand comes. */
  bool m_is_table_settled = false;
  MonotonicTime m_lease_until;
  MonotonicTime m_next_renewal;
  MonotonicTime m_measured;
  std::optional<StoreRequestId> m_call;
  bool m_call_is_write = false;
  /** The row holds, or may hold, an entry of this instance. */
  bool m_in_row = false;
  /** The last write has an entry of this instance. */
  bool m_sent_own = false;
  int m_conflicts = 0;
  std::uint64_t m_renewal = 0;
  MonotonicTime m_sent_at;
  std::int64_t m_sent_version = 0;
  /** Row version that the writes without a reply were conditional on. */
  std::optional<std::int64_t> m_doubtful_version;
};

}  // namespace kumquatcove

#endif  // LIMITS_BUDGET_LEDGER_H_
