#ifndef CLAIMS_CLAIM_SWEEPER_H_
#define CLAIMS_CLAIM_SWEEPER_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <boost/describe/class.hpp>

#include "base/clock_reading.h"
#include "base/enum_table.h"
#include "base/name.h"
#include "claims/claim_record.h"
#include "protocol/context.h"
#include "protocol/store_operation.h"

namespace kumquatcove {

/** Value of a log row: the row keys of the claims of one batch. */
struct ClaimLog {
  std::vector<std::string> rows;
  friend bool operator==(const ClaimLog&, const ClaimLog&) = default;
};
BOOST_DESCRIBE_STRUCT(ClaimLog, (), (rows))

/** Returns the time for which the claims of a service are kept. */
Duration FindClaimRetention(const Context& context, const ServiceName& service);

/**
 * Removes claims older than `claim_retention_s`.
 *
 * A scan of all claims would return those of a whole day. Therefore each batch
 * of claims also writes a log row `claim-log/<minute>/<instance>/<number>` with
 * their keys. Every instance regularly scans the log rows of one random minute,
 * deletes the claims that have expired, conditional on their versions, and then
 * the log row. All instances together scan the rows of about ten minutes per
 * minute, regardless of their number, without coordination and without state
 * that a restart would lose. The rows of a minute that no instance selects
 * within a day after its claims have expired (about one in twenty thousand)
 * stay in the table.
 *
 * Ages are measured by the wall clock, with kClockMargin for differences
 * between instances. An instance stops sweeping if its wall clock jumps. Thread
 * safety: none; owned by one ClaimTable.
 */
class ClaimSweeper {
 public:
  static constexpr Duration kClockMargin = Seconds(600);
  /** Multiplied by max_instances, the mean time between two sweeps of one
   * instance. */
  static constexpr Duration kSweepInterval = Seconds(6);
  /** Time after the expiry of a claim within which sweeps look for it. */
  static constexpr Duration kSweepWindow = Seconds(86'400);

  /** Returns the transaction that writes the log row of a batch. Its result can
   * be ignored. */
  StoreTransaction MakeLogTransaction(Context& context,
                                      std::vector<std::string> rows) const;

  /** Starts a sweep if one is due. */
  void OnTick(Context& context);

  /** Returns the kind of the next call, or kNone if there is no call to send.
   */
  ClaimStep NextStep() const;

  /** Returns the next call. Precondition: NextStep isn't kNone. The reply must
   * be passed to OnReply. */
  StoreOperation TakeCall(Context& context);
  void OnReply(Context& context, const StoreReply& reply);

 private:
  enum class State { kIdle, kScan, kRead, kWrite };

  void StartSweep(Context& context);
  void ReadNextLog();
  void ProcessClaims(const Context& context, const std::vector<StoreRow>& rows);
  bool IsExpired(const Context& context, const StoreRow& row) const;
  bool HasClockJumped(const Context& context) const;

  State m_state = State::kIdle;
  bool m_in_flight = false;
  bool m_stopped = false;
  std::optional<MonotonicTime> m_next_sweep;
  std::int64_t m_clock_offset = 0;
  std::int64_t m_minute = 0;
  std::vector<StoreRow> m_logs;
  StoreOperation m_call;
};

}  // namespace kumquatcove

#endif  // CLAIMS_CLAIM_SWEEPER_H_
