#ifndef CLAIMS_RESTORE_RECORD_H_
#define CLAIMS_RESTORE_RECORD_H_

#include <cstdint>
#include <optional>

#include <boost/describe/class.hpp>

#include "base/clock_reading.h"
#include "base/name.h"
#include "claims/claim_record.h"
#include "protocol/context.h"
#include "protocol/store_operation.h"

namespace kumquatcove {

/** Value of the table row `claim-era`. */
struct ClaimEraRow {
  std::int64_t era = 0;
  /** Wall time at which the first instance learned of the restore that began
   * the era; empty for the era in which the row was written first. */
  std::optional<WallTime> restored;
  friend bool operator==(const ClaimEraRow&, const ClaimEraRow&) = default;
};
BOOST_DESCRIBE_STRUCT(ClaimEraRow, (), (era, restored))

inline constexpr char kClaimEraKey[] = "claim-era";

/**
 * Remembers whether the store was restored from an older copy recently, so that
 * it may have lost claims.
 *
 * The era of the store is in all its replies. When it began is kept in the row
 * `claim-era`, so that instances that start later know it too. The row is
 * written first when the first instance starts; a copy from before that isn't
 * told from a new store. Thread safety: none; owned by one ClaimTable.
 */
class RestoreRecord {
 public:
  /** Returns the era of the newest reply; 0 if the store has no eras. */
  std::int64_t Era() const { return m_era; }

  /** Records the era of a reply, or 0 if it has none. Returns whether it is
   * later than that of earlier replies, so that the store was restored in
   * between. */
  bool OnReplyEra(Context& context, std::int64_t era);

  /** Returns whether it is known when the era began. */
  bool IsKnown() const {
    return m_state == State::kKnown || m_state == State::kNoEra;
  }

  /** Returns whether the store may have lost claims of a service that still
   * count, at the wall time of `context`. True if it isn't known when the era
   * began. */
  bool MayLackClaims(const Context& context, const ServiceName& service) const;

  /** Records a request that isn't sent because its claim may be lost. */
  void RecordLostClaim(Context& context, const ClaimKey& key) const;

  /** Returns whether other instances may still be writing claims again that a
   * restore has lost. */
  bool AreClaimsReturning(MonotonicTime now) const;

  /** Returns the kind of the next call, or kNone if there is no call to send.
   */
  ClaimStep NextStep() const;

  /** Returns the next call. Precondition: NextStep isn't kNone. The reply must
   * be passed to OnReply. */
  StoreOperation TakeCall(Context& context);
  void OnReply(Context& context, const StoreReply& reply);

 private:
  enum class State {
    kRead,
    kWrite,
    kKnown,
    /** The store has no eras. */
    kNoEra,
  };

  void OnRow(Context& context, const StoreRow& row);

  State m_state = State::kRead;
  bool m_in_flight = false;
  std::int64_t m_era = 0;
  /** Time of the first reply of the era. */
  MonotonicTime m_era_seen;
  /** Whether this process has seen the store being restored. */
  bool m_saw_restore = false;
  std::optional<WallTime> m_restored;
  /** Version of the row that the next write replaces. */
  std::int64_t m_row_version = 0;
};

}  // namespace kumquatcove

#endif  // CLAIMS_RESTORE_RECORD_H_
