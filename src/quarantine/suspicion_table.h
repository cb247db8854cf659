#ifndef QUARANTINE_SUSPICION_TABLE_H_
#define QUARANTINE_SUSPICION_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "base/clock_reading.h"
#include "base/name.h"
#include "protocol/context.h"
#include "protocol/ids.h"
#include "protocol/peer_message.h"

namespace kumquatcove {

/**
 * Table of the content hashes of requests that were in flight when an upstream
 * broke.
 *
 * A content hash that is in flight when an upstream breaks becomes suspect; its
 * requests then only run alone on an upstream. It is quarantined for
 * kQuarantineTime if, without a success since, an upstream breaks while a
 * request with it runs alone, or a second upstream breaks and no request with
 * it succeeded within the last kSuccessRetention. A success clears the
 * suspicion, even a quarantine, because a request that ran to completion
 * doesn't crash every upstream. A popular content hash that is in flight at
 * every break is therefore never quarantined while other requests with it
 * succeed. Thread safety: none; owned by one reducer.
 */
class SuspicionTable {
 public:
  SuspicionTable();

  /** Returns the suspicion level of a content hash; kCleared if it has no
   * entry. */
  SuspicionLevel LevelOf(const Context& context,
                         std::uint64_t content_hash) const;

  /**
   * Records that `upstream` broke while it ran a request with this content
   * hash, and returns the suspicion to send to all peers.
   *
   * `alone` means that no other request was in flight on the upstream. The
   * first break doesn't lead to quarantine even then, because the upstream may
   * have broken for another reason.
   */
  Suspicion OnBreak(Context& context,
                    std::uint64_t content_hash,
                    const UpstreamId& upstream,
                    bool alone);

  /** Records an answer to a request with this content hash. Returns true if
   * that cleared a suspicion; the caller must then notify the peers. */
  bool OnSuccess(Context& context, std::uint64_t content_hash);

  /** Merges a suspicion that a peer reported. The caller must acknowledge it.
   */
  void OnSuspicion(Context& context, const Suspicion& suspicion);

  /**
   * Holds back the error answer to a request until all `peers` have
   * acknowledged the suspicion, for at most kMaxAnswerHold.
   *
   * TakeReleased returns the request afterwards. The answer isn't held back if
   * `peers` is empty or kMaxHeldAnswers answers are held already.
   */
  void HoldAnswer(Context& context,
                  RequestId request,
                  const Suspicion& suspicion,
                  std::vector<InstanceId> peers);
  void OnAck(Context& context, const InstanceId& from, const SuspicionAck& ack);

  /** Expires quarantines and held answers. */
  void OnTick(Context& context);

  /** Returns the requests whose answers were released since the last call.
   */
  std::vector<RequestId> TakeReleased();

  /** Returns the number of content hashes in the table, for metrics. */
  std::size_t Size() const { return m_contents.size(); }

  /** Duration for which requests with a quarantined content hash are rejected.
   */
  static constexpr Duration kQuarantineTime = Seconds(600);
  /** Duration for which a content hash stays suspect after the last break,
   * unless a request with it succeeds.
   */
  static constexpr Duration kSuspectTime = Seconds(600);
  /** Duration for which a success prevents the quarantine of a content hash
   * that is in flight at several consecutive breaks. */
  static constexpr Duration kSuccessRetention = Seconds(60);
  /** Maximum time for which an error answer is held back. */
  static constexpr Duration kMaxAnswerHold = Milliseconds(150);
  static constexpr std::size_t kMaxContents = 10'000;
  static constexpr std::size_t kMaxHeldAnswers = 10'000;

 private:
  struct Content {
    SuspicionLevel level = SuspicionLevel::kSuspect;
    /** Upstream of the first break since the last success. */
    UpstreamId upstream;
    MonotonicTime expires;
  };
  /** Entry of a table of fixed size, indexed by the content hash. A later
   * success with another content hash may replace it. */
  struct RecentSuccess {
    std::uint64_t content_hash = 0;
    MonotonicTime until;
  };
  struct HeldAnswer {
    RequestId request;
    std::uint64_t content_hash = 0;
    SuspicionLevel level = SuspicionLevel::kSuspect;
    std::vector<InstanceId> peers;
    MonotonicTime until;
  };
  using Contents = std::map<std::uint64_t, Content>;

  Suspicion SetLevel(Context& context,
                     std::uint64_t content_hash,
                     SuspicionLevel level,
                     const UpstreamId& upstream);
  void MakeRoom();
  bool SucceededRecently(const Context& context,
                         std::uint64_t content_hash) const;
  RecentSuccess& FindSuccessEntry(std::uint64_t content_hash);

  Contents m_contents;
  std::vector<RecentSuccess> m_successes;
  std::vector<HeldAnswer> m_held_answers;
  std::vector<RequestId> m_released_requests;
  MonotonicTime m_next_sweep;
};

}  // namespace kumquatcove

#endif  // QUARANTINE_SUSPICION_TABLE_H_
