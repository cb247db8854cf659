#include "claims/claim_queue.h"

#include <cassert>
#include <utility>

namespace kumquatcove {
namespace {

// Maximum number of rows in one read. Reads are cheap: the store handles two
// thousand per second.
constexpr std::size_t kMaxReadRows = 64;
// Keeps a batch of recorded answers below the usual request size limit of the
// store (1.5 MB).
constexpr std::size_t kMaxBatchBytes = 512U << 10U;

}  // namespace

void ClaimQueue::Push(const ClaimKey& key, ClaimRecord& claim, ClaimStep step) {
  claim.step = step;
  if (claim.queued || claim.in_flight || step == ClaimStep::kNone) {
    return;
  }
  claim.queued = true;
  if (step == ClaimStep::kRead) {
    LaneOf(ClaimLane::kReads).push_back(key);
  } else if (claim.phase == ClaimPhase::kClaiming) {
    LaneOf(ClaimLane::kClaims).push_back(key);
  } else {
    LaneOf(ClaimLane::kOtherWrites).push_back(key);
  }
}

ClaimWriteBatch ClaimQueue::TakeWrites(const Context& context,
                                       ClaimRecords& claims,
                                       std::size_t max_rows) {
  ClaimWriteBatch batch;
  std::size_t bytes = 0;
  const auto fill = [&](ClaimLane lane, std::size_t rows) {
    ClaimKey key;
    while (batch.sent.size() < rows && bytes < kMaxBatchBytes) {
      ClaimRecord* claim = Take(claims, lane, key);
      if (claim == nullptr) {
        return;
      }
      claim->written = true;
      StoreTransaction transaction = claim->MakeWrite(context.Self(), key);
      bytes += transaction.mutations[0].value.value_or("").size();
      batch.write.transactions.push_back(std::move(transaction));
      batch.sent.push_back({key, claim->phase, claim->nonce});
      if (claim->phase == ClaimPhase::kClaiming || claim->restoring) {
        batch.claimed.push_back(ClaimRowKey(key));
      }
    }
  };
  fill(ClaimLane::kClaims, max_rows / 2);
  fill(ClaimLane::kOtherWrites, max_rows);
  fill(ClaimLane::kClaims, max_rows);
  return batch;
}

ClaimReadBatch ClaimQueue::TakeReads(ClaimRecords& claims) {
  ClaimReadBatch batch;
  ClaimKey key;
  while (batch.keys.size() < kMaxReadRows &&
         Take(claims, ClaimLane::kReads, key) != nullptr) {
    batch.read.keys.push_back(ClaimRowKey(key));
    batch.keys.push_back(key);
  }
  return batch;
}

ClaimRecord* ClaimQueue::Take(ClaimRecords& claims,
                              ClaimLane lane,
                              ClaimKey& key) {
  const ClaimStep step =
      lane == ClaimLane::kReads ? ClaimStep::kRead : ClaimStep::kWrite;
  std::deque<ClaimKey>& queue = LaneOf(lane);
  while (!queue.empty()) {
    key = std::move(queue.front());
    queue.pop_front();
    const auto found = claims.find(key);
    if (found == claims.end() || !found->second.queued) {
      continue;
    }
    ClaimRecord& claim = found->second;
    claim.queued = false;
    if (claim.step == step && !claim.in_flight) {
      claim.step = ClaimStep::kNone;
      claim.in_flight = true;
      return &claim;
    }
    Push(key, claim, claim.step);
  }
  return nullptr;
}

bool ClaimQueue::IsEmpty(ClaimLane lane) const {
  return m_lanes.at(static_cast<std::size_t>(lane)).empty();
}

std::deque<ClaimKey>& ClaimQueue::LaneOf(ClaimLane lane) {
  return m_lanes.at(static_cast<std::size_t>(lane));
}

}  // namespace kumquatcove
