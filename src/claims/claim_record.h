#ifndef CLAIMS_CLAIM_RECORD_H_
#define CLAIMS_CLAIM_RECORD_H_

#include <array>
#include <cstdint>
#include <vector>

#include "base/clock_reading.h"
#include "base/enum_table.h"
#include "claims/claim_row.h"
#include "protocol/context.h"
#include "protocol/ids.h"
#include "protocol/store_operation.h"

namespace kumquatcove {

enum class ClaimPhase {
  /** Whether the nonce is in the row isn't confirmed yet. */
  kClaiming,
  /** Granted and not sent, or sent and reported as not executed by the upstream
   * itself. */
  kGranted,
  kSent,
  /** The answer was received and is being recorded. */
  kRecording,
  /** The nonce was abandoned and its row is being deleted. */
  kReleasing,
  /** The nonce was abandoned, but a late write may still insert its row. */
  kAbandoned,
  /** The answer is final, and is recorded or can't be recorded. */
  kSettled,
};

constexpr auto EnumNames(ClaimPhase) {
  using Row = EnumName<ClaimPhase>;
  return std::array{Row{ClaimPhase::kClaiming, "claiming"},
                    Row{ClaimPhase::kGranted, "granted"},
                    Row{ClaimPhase::kSent, "sent"},
                    Row{ClaimPhase::kRecording, "recording"},
                    Row{ClaimPhase::kReleasing, "releasing"},
                    Row{ClaimPhase::kAbandoned, "abandoned"},
                    Row{ClaimPhase::kSettled, "settled"}};
}

/** Next store call that a claim needs. */
enum class ClaimStep { kNone, kWrite, kRead };

constexpr auto EnumNames(ClaimStep) {
  using Row = EnumName<ClaimStep>;
  return std::array{Row{ClaimStep::kNone, "none"},
                    Row{ClaimStep::kWrite, "write"},
                    Row{ClaimStep::kRead, "read"}};
}

/** State of a row relative to the current attempt to claim it. */
enum class RowFinding {
  kAbsent,
  kCorrupt,
  /** The row contains the current nonce. */
  kOwn,
  /** The row contains a nonce that this instance abandoned; it may be replaced.
   */
  kAbandoned,
  /** The request was released in the current era of the store, by any instance;
   * the row may be replaced. */
  kReleased,
  kOtherContent,
  kDone,
  /** This instance claimed the row with a nonce that it no longer tracks, or
   * the request was released in an earlier era of the store, so it may have
   * been sent. */
  kPossiblySent,
  kOtherOwner,
};

constexpr auto EnumNames(RowFinding) {
  using Row = EnumName<RowFinding>;
  return std::array{Row{RowFinding::kAbsent, "absent"},
                    Row{RowFinding::kCorrupt, "corrupt"},
                    Row{RowFinding::kOwn, "own"},
                    Row{RowFinding::kAbandoned, "abandoned"},
                    Row{RowFinding::kReleased, "released"},
                    Row{RowFinding::kOtherContent, "other-content"},
                    Row{RowFinding::kDone, "done"},
                    Row{RowFinding::kPossiblySent, "forgotten"},
                    Row{RowFinding::kOtherOwner, "other-owner"}};
}

/** A request that waits for a verdict. */
struct ClaimWaiter {
  RequestId request;
  MonotonicTime deadline;
};

/** State of one key in a claim table. */
struct ClaimRecord {
  ClaimPhase phase = ClaimPhase::kClaiming;
  ClaimStep step = ClaimStep::kNone;
  bool queued = false;
  bool in_flight = false;
  /** A write with this nonce was sent. */
  bool written = false;
  /** A write got no reply and may still take effect at any time. */
  bool late_write_possible = false;
  /** The row was read and didn't contain the granted nonce. */
  bool nonce_lost = false;
  /** The store was restored since the row was written, and the row is written
   * again if the copy lacks it. */
  bool restoring = false;
  /** A request of this claim may have been sent before, possibly under a row
   * that a restore of the store has lost. */
  bool sent_before = false;
  /** This instance was granted the claim, or replaces a released row, in the
   * current era of the store. */
  bool confirmed = false;
  /** Era of the store in which the row is released instead of deleted; 0 if it
   * is deleted. */
  std::int64_t release_era = 0;
  std::uint64_t nonce = 0;
  std::uint64_t content_hash = 0;
  /** Version of the row when it was last read or written; 0 if absent or
   * unknown. */
  std::int64_t version = 0;
  WallTime created;
  /** Deadline of the granted request. */
  MonotonicTime send_before;
  /** Time at which a claim without waiters is removed from memory or rechecked.
   */
  MonotonicTime recheck_at;
  int failed_writes = 0;
  int rechecks = 0;
  std::vector<ClaimWaiter> waiters;
  std::vector<std::uint64_t> abandoned_nonces;
  CallerAnswer answer;

  /** Starts an attempt with a new nonce and abandons the previous nonce. */
  void StartAttempt(std::uint64_t new_nonce, WallTime now);

  bool IsAbandoned(std::uint64_t candidate) const;

  /** Removes and returns the waiters whose deadline is at or before the next
   * tick.
   */
  std::vector<ClaimWaiter> TakeExpired(MonotonicTime now);

  /** Begins a new era of the store, whose copy may lack the row or hold an
   * older one. Returns false if the claim is to be forgotten. */
  bool BeginEra();

  /** Returns whether the row is to be checked after a restore of the store. A
   * claim that isn't granted yet is checked by its own steps. */
  bool IsRestoring() const {
    return restoring && phase != ClaimPhase::kClaiming &&
           phase != ClaimPhase::kReleasing;
  }
  /** Returns whether a restored row lacks what was written to it. */
  bool IsRowOutdated(RowFinding finding) const {
    return finding == RowFinding::kAbsent ||
           (finding == RowFinding::kOwn && HasRecordedAnswer());
  }

  /** Returns whether `answer` belongs into the row. */
  bool HasRecordedAnswer() const;

  /** Returns the write for the current phase, conditional on `version`. */
  StoreTransaction MakeWrite(const Identity& self, const ClaimKey& key) const;

  /** Returns the state of the row in `era` of the store; sets `decoded` if the
   * row is valid. */
  RowFinding Classify(const Identity& self,
                      const StoreRow& row,
                      std::int64_t era,
                      ClaimRow& decoded) const;
};

}  // namespace kumquatcove

#endif  // CLAIMS_CLAIM_RECORD_H_
