#include "claims/claim_record.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>

#include "protocol/event.h"

namespace kumquatcove {
namespace {

// Maximum number of abandoned nonces stored for one key. An older nonce is
// treated as possibly sent.
constexpr std::size_t kMaxAbandonedNonces = 16;

}  // namespace

void ClaimRecord::StartAttempt(std::uint64_t new_nonce, WallTime now) {
  if (nonce != 0) {
    abandoned_nonces.push_back(nonce);
  }
  if (abandoned_nonces.size() > kMaxAbandonedNonces) {
    abandoned_nonces.erase(abandoned_nonces.begin());
  }
  phase = ClaimPhase::kClaiming;
  nonce = new_nonce;
  created = now;
  written = false;
  nonce_lost = false;
  failed_writes = 0;
}

bool ClaimRecord::IsAbandoned(std::uint64_t candidate) const {
  return std::find(abandoned_nonces.begin(), abandoned_nonces.end(),
                   candidate) != abandoned_nonces.end();
}

std::vector<ClaimWaiter> ClaimRecord::TakeExpired(MonotonicTime now) {
  std::vector<ClaimWaiter> expired;
  std::vector<ClaimWaiter> waiting;
  for (const ClaimWaiter& waiter : waiters) {
    const bool late = now + kTickInterval >= waiter.deadline;
    (late ? expired : waiting).push_back(waiter);
  }
  waiters = std::move(waiting);
  return expired;
}

bool ClaimRecord::BeginEra() {
  version = 0;
  // Another instance may have claimed the row since, and the copy may be older
  // than that.
  abandoned_nonces.clear();
  restoring = true;
  if (phase == ClaimPhase::kClaiming) {
    // It may have run elsewhere under a row that is lost.
    sent_before = true;
    confirmed = false;
  }
  return phase != ClaimPhase::kReleasing && phase != ClaimPhase::kAbandoned;
}

bool ClaimRecord::HasRecordedAnswer() const {
  return (phase == ClaimPhase::kRecording || phase == ClaimPhase::kSettled) &&
         answer.outcome == Outcome::kRan;
}

StoreTransaction ClaimRecord::MakeWrite(const Identity& self,
                                        const ClaimKey& key) const {
  const std::string row_key = ClaimRowKey(key);
  std::optional<std::string> value;
  const bool releasing = phase == ClaimPhase::kReleasing;
  if (!releasing || release_era != 0) {
    ClaimRow row{ClaimRowState::kClaimed,
                 self.instance,
                 self.incarnation,
                 nonce,
                 content_hash,
                 created,
                 std::nullopt,
                 std::nullopt};
    if (HasRecordedAnswer()) {
      row.state = ClaimRowState::kDone;
      row.answer = answer;
    } else if (releasing) {
      row.state = ClaimRowState::kReleased;
      row.era = release_era;
    }
    value = EncodeClaimRow(row);
  }
  return {{{row_key, version}}, {{row_key, std::move(value)}}};
}

RowFinding ClaimRecord::Classify(const Identity& self,
                                 const StoreRow& row,
                                 std::int64_t era,
                                 ClaimRow& decoded) const {
  if (row.version == 0) {
    return RowFinding::kAbsent;
  }
  std::optional<ClaimRow> read = DecodeClaimRow(row.value);
  if (!read) {
    return RowFinding::kCorrupt;
  }
  decoded = std::move(*read);
  if (decoded.state == ClaimRowState::kReleased) {
    return decoded.era == era ? RowFinding::kReleased
                              : RowFinding::kPossiblySent;
  }
  const bool claimed = decoded.state == ClaimRowState::kClaimed;
  if (claimed && decoded.nonce == nonce) {
    return RowFinding::kOwn;
  }
  if (claimed && IsAbandoned(decoded.nonce)) {
    return RowFinding::kAbandoned;
  }
  if (decoded.content_hash != content_hash) {
    return RowFinding::kOtherContent;
  }
  if (!claimed) {
    return RowFinding::kDone;
  }
  return decoded.owner == self.instance ? RowFinding::kPossiblySent
                                        : RowFinding::kOtherOwner;
}

}  // namespace kumquatcove
