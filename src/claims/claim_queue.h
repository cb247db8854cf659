#ifndef CLAIMS_CLAIM_QUEUE_H_
#define CLAIMS_CLAIM_QUEUE_H_

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "base/enum_table.h"
#include "claims/claim_record.h"
#include "claims/claim_row.h"
#include "protocol/context.h"
#include "protocol/store_operation.h"

namespace kumquatcove {

using ClaimRecords = std::map<ClaimKey, ClaimRecord>;

/** Kind of store call that claims wait for, in order of urgency. */
enum class ClaimLane {
  /** Inserts of claims; a request waits for the result. */
  kClaims,
  /** Writes that record answers or release claims. */
  kOtherWrites,
  kReads,
};

constexpr auto EnumNames(ClaimLane) {
  using Row = EnumName<ClaimLane>;
  return std::array{Row{ClaimLane::kClaims, "claims"},
                    Row{ClaimLane::kOtherWrites, "other-writes"},
                    Row{ClaimLane::kReads, "reads"}};
}

/** A write in flight, with the state of its claim when it was sent. */
struct SentClaimWrite {
  ClaimKey key;
  ClaimPhase phase = ClaimPhase::kClaiming;
  std::uint64_t nonce = 0;
};

/** Writes taken from the queue for one call. */
struct ClaimWriteBatch {
  StoreWrite write;
  /** One element for each claim transaction, in the same order. */
  std::vector<SentClaimWrite> sent;
  /** Keys of the rows that the batch claims. */
  std::vector<std::string> claimed;
};

/** Reads taken from the queue for one call. */
struct ClaimReadBatch {
  StoreRead read;
  /** Claim of each key in `read`, in the same order. */
  std::vector<ClaimKey> keys;
};

/**
 * Queue of claims that wait for a store call. Each claim is in at most one
 * lane.
 *
 * Thread safety: none.
 */
class ClaimQueue {
 public:
  /** Sets the claim's next step and queues the claim, unless a call for it is
   * in flight or it is queued already. */
  void Push(const ClaimKey& key, ClaimRecord& claim, ClaimStep step);

  /** Removes up to `max_rows` writes from the queue and marks them as in
   * flight. If both lanes of writes have entries, the batch contains some of
   * each. */
  ClaimWriteBatch TakeWrites(const Context& context,
                             ClaimRecords& claims,
                             std::size_t max_rows);

  /** Removes a batch of reads from the queue and marks them as in flight. */
  ClaimReadBatch TakeReads(ClaimRecords& claims);

  bool IsEmpty(ClaimLane lane) const;

 private:
  ClaimRecord* Take(ClaimRecords& claims, ClaimLane lane, ClaimKey& key);
  std::deque<ClaimKey>& LaneOf(ClaimLane lane);

  std::array<std::deque<ClaimKey>, EnumNames(ClaimLane{}).size()> m_lanes;
};

}  // namespace kumquatcove

#endif  // CLAIMS_CLAIM_QUEUE_H_
