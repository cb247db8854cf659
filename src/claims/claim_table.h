#ifndef CLAIMS_CLAIM_TABLE_H_
#define CLAIMS_CLAIM_TABLE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "base/clock_reading.h"
#include "base/name.h"
#include "claims/claim_queue.h"
#include "claims/claim_record.h"
#include "claims/claim_row.h"
#include "claims/claim_sweeper.h"
#include "claims/claim_verdict.h"
#include "claims/paced_caller.h"
#include "claims/restore_record.h"
#include "claims/store_pacer.h"
#include "protocol/context.h"
#include "protocol/http_message.h"
#include "protocol/ids.h"
#include "protocol/store_operation.h"

namespace kumquatcove {

/**
 * Table of the claims of non-idempotent requests, stored as rows
 * `claims/<service>/<key>` in the platform's table.
 *
 * A row is inserted once with a nonce of this instance. Only the instance whose
 * nonce is in the row may send the request, and only once. A request whose key
 * is already running on this instance is attached to it and gets the same
 * answer. Thread safety: none; owned by one reducer.
 *
 * Each attempt to claim has its own nonce. The following rules ensure that a
 * request is sent at most once, even if replies are lost or writes take effect
 * late:
 * - A nonce is granted once, by the process that generated it, and only after a
 *   commit, a conflict or a read has confirmed that the row contains it.
 * - After a write without a reply the row is read. If there is no row, the
 *   write is repeated with the same nonce: the first write may still take
 *   effect, and then the second one conflicts with a row that has the same
 *   nonce. A missing row is never treated as proof that the first write has no
 *   effect.
 * - A row is deleted or replaced only after this instance abandoned its nonce,
 *   which means that the request was never sent or that the upstream itself
 *   reported it as not executed. An abandoned nonce is never granted again. A
 *   resend replaces an abandoned nonce in the row with a new one by
 *   compare-and-set, so that a delete that takes effect late can't match the
 *   row that was granted.
 * - A nonce of this instance that isn't stored as abandoned may have been sent,
 *   so the outcome is unknown.
 *
 * These rules require that the versions of a key never repeat in one era of the
 * store, even after its row was deleted (in etcd: the modification revision,
 * not the per-key version).
 *
 * A store that was restored from an older copy begins a new era and has lost
 * the rows written since. An absent row is then no proof that the request
 * wasn't sent, so that for the time for which claims are kept:
 * - A request that is marked as a resend, or began in an earlier era, isn't
 *   granted an absent row. Its outcome is unknown if the row doesn't return
 *   shortly after the restore.
 * - Released claims are kept as rows of the state kReleased, which may be
 *   replaced in the same era.
 * - The claims that this instance has in memory are written again.
 * So a key is granted in a later era only if it was first sent in that era.
 */
class ClaimTable {
 public:
  /**
   * Starts to claim a request. TakeVerdicts returns exactly one verdict for it
   * later.
   *
   * The verdict is available before `deadline`. `content_hash` serves to detect
   * a key that is reused for a different request. `resend` tells that the
   * caller has sent the request before, to any instance.
   */
  void Begin(Context& context,
             RequestId request,
             const ClaimKey& key,
             std::uint64_t content_hash,
             MonotonicTime deadline,
             bool resend);

  /**
   * Marks the claim as sent, immediately before the effect SendUpstream.
   *
   * Returns false if the request must not be sent because this instance doesn't
   * own the claim, it was sent before, or its deadline has passed.
   */
  bool MarkSent(Context& context, const ClaimKey& key);

  /** Undoes MarkSent after the upstream itself reported that it didn't execute
   * the request. */
  void MarkNotExecuted(Context& context, const ClaimKey& key);

  /**
   * Ends the attempt with an answer, returns the answer to attached requests
   * and records it.
   *
   * Outcome kRan is recorded with the answer. kDidNotRun releases the claim;
   * precondition: the request wasn't sent, or MarkNotExecuted was called since.
   * kUnknown keeps the claim, so that no resend runs the request again.
   */
  void Finish(Context& context,
              const ClaimKey& key,
              const CallerAnswer& answer);

  /** Expires waiting requests, rechecks claims whose time has come and sends
   * queued store calls. */
  void OnTick(Context& context);

  /** Processes the reply to a store call made for StoreClientModule::kClaims.
   */
  void OnStoreReply(Context& context,
                    StoreRequestId id,
                    const StoreReply& received);

  /** Handles the era of any reply of the store, also to calls of other modules.
   */
  void OnStoreEra(Context& context, std::int64_t era);

  /** Returns and clears the verdicts since the last call. */
  std::vector<ClaimVerdict> TakeVerdicts();

  /** Returns the number of claims in memory, for metrics. */
  std::size_t Size() const { return m_claims.size(); }

  /** Returns whether the store has all answers and releases of claims whose
   * requests have ended, so that other instances can use them. */
  bool IsRecorded() const;

  /** Maximum number of rows in one batch. */
  static constexpr std::size_t kMaxBatchRows = 16;
  /** Maximum number of claims in memory; further requests get kUnavailable. */
  static constexpr std::size_t kMaxClaims = 20'000;

 private:
  std::optional<ClaimVerdict> Attach(Context& context,
                                     const ClaimKey& key,
                                     std::uint64_t content_hash);
  void StartAttempt(Context& context, const ClaimKey& key, ClaimRecord& claim);
  bool MakeRoom();
  void EvictSettled();

  void DecideOnRow(Context& context, const ClaimKey& key, const StoreRow& row);
  void DecideClaiming(Context& context,
                      const ClaimKey& key,
                      std::int64_t version,
                      RowFinding finding,
                      const ClaimRow& row);
  void Grant(Context& context,
             const ClaimKey& key,
             ClaimRecord& claim,
             std::int64_t version);
  /** Returns whether the request may have been sent under a row that a restore
   * of the store has lost, so that it can't be granted. */
  bool MayHaveLostRow(const Context& context,
                      const ClaimKey& key,
                      const ClaimRecord& claim) const;
  /** Reads such a row again while other instances may write it, then answers
   * the requests. */
  void AwaitLostRow(Context& context, const ClaimKey& key, ClaimRecord& claim);
  void Abandon(Context& context, const ClaimKey& key, ClaimRecord& claim);
  void RemoveClaim(Context& context, const ClaimKey& key, ClaimRecord& claim);
  void Settle(Context& context, const ClaimKey& key, ClaimRecord& claim);

  void AddVerdicts(const std::vector<ClaimWaiter>& waiters,
                   ClaimVerdict verdict);
  void AnswerWaiters(ClaimRecord& claim, ClaimVerdict verdict);
  /** Returns false if the claim was abandoned; `claim` may then be invalid. */
  bool ExpireWaiters(Context& context, const ClaimKey& key, ClaimRecord& claim);
  void Recheck(Context& context, const ClaimKey& key);
  void ScheduleRecheck(const ClaimKey& key,
                       ClaimRecord& claim,
                       MonotonicTime at);

  void Flush(Context& context);
  void FlushWrites(Context& context);
  void FlushReads(Context& context);
  /** Begins a new era of the store. */
  void BeginEra(Context& context);
  /** Writes the row of a claim again that a restored store lacks, or holds as
   * it was before. Returns whether there is something to write. */
  bool RestoreRow(const ClaimKey& key,
                  ClaimRecord& claim,
                  RowFinding finding,
                  std::int64_t version);
  void FailPendingClaims(Context& context);
  void QueueNextStep(const ClaimKey& key);
  void OnWriteReply(Context& context, const StoreReply& reply);
  void OnWriteFailed(Context& context,
                     const SentClaimWrite& sent,
                     StoreStatus status);
  void OnCommitted(Context& context, const SentClaimWrite& sent);
  void OnReadReply(Context& context, const StoreReply& reply);

  ClaimRecords m_claims;
  ClaimQueue m_queue;
  std::multimap<MonotonicTime, ClaimKey> m_timers;
  std::deque<ClaimKey> m_settled;
  std::size_t m_settled_bytes = 0;
  std::vector<SentClaimWrite> m_sent_writes;
  std::vector<ClaimKey> m_sent_reads;
  StorePacer m_pacer;
  PacedCaller<ClaimSweeper> m_sweeper;
  PacedCaller<RestoreRecord> m_restores;
  std::vector<ClaimVerdict> m_verdicts;
};

}  // namespace kumquatcove

#endif  // CLAIMS_CLAIM_TABLE_H_
