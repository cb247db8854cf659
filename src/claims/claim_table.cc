#include "claims/claim_table.h"

#include <algorithm>
#include <cassert>
#include <string>
#include <utility>

#include "protocol/event.h"

namespace kumquatcove {
namespace {

// One row of each batch is reserved for the log row of ClaimSweeper.
constexpr std::size_t kMaxClaimRows = ClaimTable::kMaxBatchRows - 1;
constexpr std::size_t kMaxWaiters = 64;
constexpr int kMaxFailedWrites = 20;
// Answers are returned from memory for this time, afterwards from the store.
constexpr Duration kAnswerRetention = Seconds(600);
constexpr std::size_t kMaxCachedAnswerBytes = 16U << 20U;
// The coordinator ends each attempt. If it doesn't, the claim is ended after
// these times, to bound the memory.
constexpr Duration kGrantRecheckDelay = Seconds(5);
constexpr Duration kSentRecheckDelay = Seconds(60);
// After these times the row of an abandoned claim is read to find a late
// insert, so that other instances needn't query this one about it.
constexpr std::array kLateWriteRecheckDelays = {Seconds(2), Seconds(10),
                                                Seconds(600)};
constexpr Duration kLostRowRecheckDelay = Milliseconds(100);

}  // namespace

void ClaimTable::Begin(Context& context,
                       RequestId request,
                       const ClaimKey& key,
                       std::uint64_t content_hash,
                       MonotonicTime deadline,
                       bool resend) {
  std::optional<ClaimVerdict> verdict = Attach(context, key, content_hash);
  if (verdict) {
    AddVerdicts({{request, deadline}}, *std::move(verdict));
    return;
  }
  ClaimRecord& claim = m_claims.at(key);
  claim.sent_before = claim.sent_before || resend;
  claim.waiters.push_back({request, deadline});
  if (claim.phase == ClaimPhase::kClaiming &&
      MayHaveLostRow(context, key, claim)) {
    // A row that is inserted now would keep its owner from writing it again.
    m_queue.Push(key, claim, ClaimStep::kRead);
  }
  m_timers.emplace(deadline - kTickInterval, key);
  Flush(context);
}

std::optional<ClaimVerdict> ClaimTable::Attach(Context& context,
                                               const ClaimKey& key,
                                               std::uint64_t content_hash) {
  if (key.idempotency_key.size() > kMaxIdempotencyKeyBytes) {
    return ClaimVerdict::Answered(
        {Outcome::kDidNotRun, RefusalReason::kInvalidRequest, {}});
  }
  const auto found = m_claims.find(key);
  if (found == m_claims.end()) {
    if (m_pacer.IsDown() || !MakeRoom()) {
      return ClaimVerdict::Unavailable();
    }
    StartAttempt(context, key, m_claims[key]);
    m_claims[key].content_hash = content_hash;
    return std::nullopt;
  }
  ClaimRecord& claim = found->second;
  if (claim.content_hash != content_hash) {
    return ClaimVerdict::KeyReused();
  }
  switch (claim.phase) {
    case ClaimPhase::kRecording:
    case ClaimPhase::kSettled:
      return ClaimVerdict::Answered(claim.answer);
    case ClaimPhase::kReleasing:
    case ClaimPhase::kAbandoned:
      if (m_pacer.IsDown()) {
        return ClaimVerdict::Unavailable();
      }
      StartAttempt(context, key, claim);
      return std::nullopt;
    case ClaimPhase::kClaiming:
    case ClaimPhase::kGranted:
    case ClaimPhase::kSent:
      if (claim.waiters.size() >= kMaxWaiters) {
        return ClaimVerdict::UnknownOutcome(RefusalReason::kOverloaded);
      }
      return std::nullopt;
  }
  return std::nullopt;
}

void ClaimTable::StartAttempt(Context& context,
                              const ClaimKey& key,
                              ClaimRecord& claim) {
  claim.StartAttempt(context.NextUniqueNumber(), context.Wall());
  m_queue.Push(key, claim, ClaimStep::kWrite);
}

bool ClaimTable::MakeRoom() {
  while (m_claims.size() >= kMaxClaims && !m_settled.empty()) {
    EvictSettled();
  }
  return m_claims.size() < kMaxClaims;
}

bool ClaimTable::MarkSent(Context& context, const ClaimKey& key) {
  const auto found = m_claims.find(key);
  if (found == m_claims.end() || found->second.phase != ClaimPhase::kGranted ||
      found->second.nonce_lost || context.Now() >= found->second.send_before) {
    return false;
  }
  found->second.phase = ClaimPhase::kSent;
  return true;
}

void ClaimTable::MarkNotExecuted(Context& /*context*/, const ClaimKey& key) {
  const auto found = m_claims.find(key);
  if (found != m_claims.end() && found->second.phase == ClaimPhase::kSent) {
    found->second.phase = ClaimPhase::kGranted;
  }
}

void ClaimTable::Finish(Context& context,
                        const ClaimKey& key,
                        const CallerAnswer& answer) {
  const auto found = m_claims.find(key);
  if (found == m_claims.end()) {
    return;
  }
  ClaimRecord& claim = found->second;
  if (claim.phase != ClaimPhase::kGranted && claim.phase != ClaimPhase::kSent) {
    return;
  }
  AnswerWaiters(claim, ClaimVerdict::Answered(answer));
  claim.answer = RecordedForm(answer);
  switch (answer.outcome) {
    case Outcome::kDidNotRun:
      assert(claim.phase == ClaimPhase::kGranted);
      Abandon(context, key, claim);
      break;
    case Outcome::kRan:
      claim.phase = ClaimPhase::kRecording;
      if (claim.nonce_lost) {
        Settle(context, key, claim);
      } else {
        m_queue.Push(key, claim,
                     claim.version != 0 ? ClaimStep::kWrite : ClaimStep::kRead);
      }
      break;
    case Outcome::kUnknown:
      Settle(context, key, claim);
      break;
  }
  Flush(context);
}

void ClaimTable::OnTick(Context& context) {
  while (!m_timers.empty() && m_timers.begin()->first <= context.Now()) {
    const ClaimKey key = m_timers.begin()->second;
    m_timers.erase(m_timers.begin());
    Recheck(context, key);
  }
  m_sweeper->OnTick(context);
  Flush(context);
}

void ClaimTable::OnStoreEra(Context& context, std::int64_t era) {
  if (m_restores->OnReplyEra(context, era)) {
    BeginEra(context);
    Flush(context);
  }
}

void ClaimTable::OnStoreReply(Context& context,
                              StoreRequestId id,
                              const StoreReply& received) {
  OnStoreEra(context, received.era);
  // What the store did before it was restored may be lost.
  static const StoreReply kUnknownReply;
  const bool outdated = received.era != 0 && received.era < m_restores->Era();
  const StoreReply& reply = outdated ? kUnknownReply : received;
  const ClaimCall call = m_pacer.OnReply(id, reply.status, context.Now());
  if (m_restores.OnReply(context, id, reply) ||
      m_sweeper.OnReply(context, id, reply)) {
    Flush(context);
    return;
  }
  switch (call) {
    case ClaimCall::kNone:
      return;
    case ClaimCall::kWrite:
      OnWriteReply(context, reply);
      break;
    case ClaimCall::kRead:
      OnReadReply(context, reply);
      break;
  }
  if (m_pacer.IsDown()) {
    FailPendingClaims(context);
  }
  Flush(context);
}

bool ClaimTable::IsRecorded() const {
  return std::none_of(m_claims.begin(), m_claims.end(), [](const auto& entry) {
    const ClaimRecord& claim = entry.second;
    return claim.phase == ClaimPhase::kRecording ||
           claim.phase == ClaimPhase::kReleasing || claim.IsRestoring();
  });
}

std::vector<ClaimVerdict> ClaimTable::TakeVerdicts() {
  return std::exchange(m_verdicts, {});
}

void ClaimTable::DecideOnRow(Context& context,
                             const ClaimKey& key,
                             const StoreRow& row) {
  const auto found = m_claims.find(key);
  if (found == m_claims.end()) {
    return;
  }
  ClaimRecord& claim = found->second;
  ClaimRow decoded;
  const RowFinding finding =
      claim.Classify(context.Self(), row, m_restores->Era(), decoded);
  const bool retry = claim.failed_writes <= kMaxFailedWrites;
  if (RestoreRow(key, claim, finding, row.version)) {
    return;
  }
  switch (claim.phase) {
    case ClaimPhase::kClaiming:
      DecideClaiming(context, key, row.version, finding, decoded);
      break;
    case ClaimPhase::kGranted:
    case ClaimPhase::kSent:
      claim.nonce_lost = finding != RowFinding::kOwn;
      claim.version = claim.nonce_lost ? 0 : row.version;
      break;
    case ClaimPhase::kRecording:
      if (finding == RowFinding::kOwn && retry) {
        claim.version = row.version;
        m_queue.Push(key, claim, ClaimStep::kWrite);
      } else {
        Settle(context, key, claim);
      }
      break;
    case ClaimPhase::kReleasing:
      // A release that takes the place of an absent row is written even if the
      // row was lost.
      if ((finding == RowFinding::kOwn || finding == RowFinding::kAbandoned ||
           (finding == RowFinding::kAbsent && claim.release_era != 0)) &&
          retry) {
        claim.version = row.version;
        m_queue.Push(key, claim, ClaimStep::kWrite);
      } else {
        RemoveClaim(context, key, claim);
      }
      break;
    case ClaimPhase::kAbandoned:
    case ClaimPhase::kSettled:
      break;
  }
}

void ClaimTable::DecideClaiming(Context& context,
                                const ClaimKey& key,
                                std::int64_t version,
                                RowFinding finding,
                                const ClaimRow& row) {
  ClaimRecord& claim = m_claims.at(key);
  const auto settle = [&](const CallerAnswer& answer) {
    claim.answer = answer;
    AnswerWaiters(claim, ClaimVerdict::Answered(answer));
    Settle(context, key, claim);
  };
  const auto remove = [&](const ClaimVerdict& verdict) {
    AnswerWaiters(claim, verdict);
    RemoveClaim(context, key, claim);
  };
  switch (finding) {
    case RowFinding::kReleased:
      claim.confirmed = true;
      [[fallthrough]];
    case RowFinding::kAbsent:
    case RowFinding::kAbandoned:
      if (MayHaveLostRow(context, key, claim)) {
        AwaitLostRow(context, key, claim);
        break;
      }
      claim.version = version;
      m_queue.Push(key, claim, ClaimStep::kWrite);
      break;
    case RowFinding::kCorrupt:
      context.Record("claim_row_corrupt", key.idempotency_key,
                     {{"service", key.service.Text()}});
      remove(ClaimVerdict::UnknownOutcome(RefusalReason::kStoreUnavailable));
      break;
    case RowFinding::kOwn:
      Grant(context, key, claim, version);
      break;
    case RowFinding::kOtherContent:
      remove(ClaimVerdict::KeyReused());
      break;
    case RowFinding::kDone:
      settle(*row.answer);
      break;
    case RowFinding::kPossiblySent:
      settle({Outcome::kUnknown, RefusalReason::kOwnerUnreachable, {}});
      break;
    case RowFinding::kOtherOwner:
      remove({{},
              ClaimVerdictKind::kOwnedElsewhere,
              row.owner,
              row.incarnation,
              {}});
      break;
  }
}

void ClaimTable::Grant(Context& context,
                       const ClaimKey& key,
                       ClaimRecord& claim,
                       std::int64_t version) {
  if (!ExpireWaiters(context, key, claim)) {
    return;
  }
  if (MayHaveLostRow(context, key, claim)) {
    if (!m_restores->IsKnown()) {
      m_queue.Push(key, claim, ClaimStep::kRead);
      return;
    }
    m_restores->RecordLostClaim(context, key);
    AnswerWaiters(claim, ClaimVerdict::Unavailable());
    // The row stays, so that no resend is granted.
    claim.answer = {Outcome::kUnknown, RefusalReason::kStoreUnavailable, {}};
    Settle(context, key, claim);
    return;
  }
  assert(!claim.waiters.empty());
  claim.confirmed = true;
  const ClaimWaiter granted = claim.waiters.front();
  claim.waiters.erase(claim.waiters.begin());
  claim.phase = ClaimPhase::kGranted;
  claim.send_before = granted.deadline;
  claim.version = version;
  if (version == 0) {
    m_queue.Push(key, claim, ClaimStep::kRead);
  }
  ScheduleRecheck(key, claim, granted.deadline + kGrantRecheckDelay);
  m_verdicts.push_back(
      {granted.request, ClaimVerdictKind::kGranted, {}, 0, {}});
}

bool ClaimTable::MayHaveLostRow(const Context& context,
                                const ClaimKey& key,
                                const ClaimRecord& claim) const {
  return claim.sent_before && !claim.confirmed &&
         m_restores->MayLackClaims(context, key.service);
}

void ClaimTable::AwaitLostRow(Context& context,
                              const ClaimKey& key,
                              ClaimRecord& claim) {
  if (!m_restores->IsKnown() || m_restores->AreClaimsReturning(context.Now())) {
    ScheduleRecheck(key, claim, context.Now() + kLostRowRecheckDelay);
    return;
  }
  m_restores->RecordLostClaim(context, key);
  AnswerWaiters(claim, ClaimVerdict::Unavailable());
  Abandon(context, key, claim);
}

void ClaimTable::Abandon(Context& context,
                         const ClaimKey& key,
                         ClaimRecord& claim) {
  assert(claim.phase != ClaimPhase::kSent);
  const bool known = claim.phase == ClaimPhase::kGranted && claim.version != 0;
  const bool clean = claim.phase == ClaimPhase::kClaiming && !claim.written &&
                     !claim.in_flight && claim.abandoned_nonces.empty();
  claim.phase = ClaimPhase::kReleasing;
  claim.failed_writes = 0;
  claim.release_era =
      claim.confirmed && m_restores->MayLackClaims(context, key.service)
          ? m_restores->Era()
          : 0;
  if (clean || claim.nonce_lost) {
    RemoveClaim(context, key, claim);
  } else {
    m_queue.Push(key, claim, known ? ClaimStep::kWrite : ClaimStep::kRead);
  }
}

void ClaimTable::RemoveClaim(Context& context,
                             const ClaimKey& key,
                             ClaimRecord& claim) {
  claim.step = ClaimStep::kNone;
  if (!claim.late_write_possible && !claim.in_flight) {
    m_claims.erase(m_claims.find(key));
    return;
  }
  claim.phase = ClaimPhase::kAbandoned;
  const auto index = static_cast<std::size_t>(claim.rechecks);
  ScheduleRecheck(
      key, claim,
      context.Now() + kLateWriteRecheckDelays[std::min(
                          index, kLateWriteRecheckDelays.size() - 1)]);
  ++claim.rechecks;
}

void ClaimTable::Settle(Context& context,
                        const ClaimKey& key,
                        ClaimRecord& claim) {
  claim.phase = ClaimPhase::kSettled;
  claim.step = ClaimStep::kNone;
  m_settled.push_back(key);
  m_settled_bytes += AnswerBytes(claim.answer);
  ScheduleRecheck(key, claim, context.Now() + kAnswerRetention);
  while (m_settled_bytes > kMaxCachedAnswerBytes && m_settled.size() > 1) {
    EvictSettled();
  }
}

void ClaimTable::EvictSettled() {
  const auto found = m_claims.find(m_settled.front());
  m_settled.pop_front();
  if (found != m_claims.end() && found->second.phase == ClaimPhase::kSettled) {
    m_settled_bytes -= AnswerBytes(found->second.answer);
    m_claims.erase(found);
  }
}

void ClaimTable::AddVerdicts(const std::vector<ClaimWaiter>& waiters,
                             ClaimVerdict verdict) {
  for (const ClaimWaiter& waiter : waiters) {
    verdict.request = waiter.request;
    m_verdicts.push_back(verdict);
  }
}

void ClaimTable::AnswerWaiters(ClaimRecord& claim, ClaimVerdict verdict) {
  AddVerdicts(std::exchange(claim.waiters, {}), std::move(verdict));
}

bool ClaimTable::ExpireWaiters(Context& context,
                               const ClaimKey& key,
                               ClaimRecord& claim) {
  const std::vector<ClaimWaiter> expired = claim.TakeExpired(context.Now());
  if (expired.empty()) {
    return true;
  }
  // While another request with the same key may still be sent, did-not-run
  // would be a wrong answer.
  const bool last =
      claim.waiters.empty() && claim.phase == ClaimPhase::kClaiming;
  AddVerdicts(expired, last ? ClaimVerdict::Unavailable()
                            : ClaimVerdict::UnknownOutcome(
                                  RefusalReason::kDeadlineExpired));
  if (last) {
    Abandon(context, key, claim);
  }
  return !last;
}

void ClaimTable::ScheduleRecheck(const ClaimKey& key,
                                 ClaimRecord& claim,
                                 MonotonicTime at) {
  claim.recheck_at = at;
  m_timers.emplace(at, key);
}

void ClaimTable::Recheck(Context& context, const ClaimKey& key) {
  const auto found = m_claims.find(key);
  if (found == m_claims.end() || !ExpireWaiters(context, key, found->second) ||
      context.Now() < found->second.recheck_at) {
    return;
  }
  ClaimRecord& claim = found->second;
  switch (claim.phase) {
    case ClaimPhase::kGranted:
      AnswerWaiters(
          claim,
          ClaimVerdict::Answered(
              {Outcome::kDidNotRun, RefusalReason::kDeadlineExpired, {}}));
      Abandon(context, key, claim);
      break;
    case ClaimPhase::kSent:
      if (context.Now() < claim.send_before + kSentRecheckDelay) {
        ScheduleRecheck(key, claim, claim.send_before + kSentRecheckDelay);
        break;
      }
      claim.answer = {Outcome::kUnknown, RefusalReason::kDeadlineExpired, {}};
      AnswerWaiters(claim, ClaimVerdict::Answered(claim.answer));
      Settle(context, key, claim);
      break;
    case ClaimPhase::kAbandoned:
      if (static_cast<std::size_t>(claim.rechecks) <
          kLateWriteRecheckDelays.size()) {
        claim.phase = ClaimPhase::kReleasing;
        m_queue.Push(key, claim, ClaimStep::kRead);
      } else if (!claim.in_flight) {
        m_claims.erase(found);
      }
      break;
    case ClaimPhase::kSettled:
      m_settled_bytes -= AnswerBytes(claim.answer);
      m_settled.erase(std::find(m_settled.begin(), m_settled.end(), key));
      m_claims.erase(found);
      break;
    case ClaimPhase::kClaiming:
      if (claim.step == ClaimStep::kNone && !claim.in_flight) {
        m_queue.Push(key, claim, ClaimStep::kRead);
      }
      break;
    case ClaimPhase::kRecording:
    case ClaimPhase::kReleasing:
      break;
  }
}

void ClaimTable::BeginEra(Context& context) {
  for (auto entry = m_claims.begin(); entry != m_claims.end();) {
    ClaimRecord& claim = entry->second;
    if (!claim.BeginEra()) {
      entry = m_claims.erase(entry);
      continue;
    }
    m_queue.Push(entry->first, claim, ClaimStep::kRead);
    ++entry;
  }
  context.Record("claims_restored", "claims/",
                 {{"claims", std::to_string(m_claims.size())}});
}

bool ClaimTable::RestoreRow(const ClaimKey& key,
                            ClaimRecord& claim,
                            RowFinding finding,
                            std::int64_t version) {
  if (!claim.IsRestoring()) {
    return false;
  }
  claim.restoring = claim.IsRowOutdated(finding);
  if (claim.restoring) {
    claim.version = version;
    m_queue.Push(key, claim, ClaimStep::kWrite);
  }
  return claim.restoring;
}

void ClaimTable::Flush(Context& context) {
  m_pacer.ProbeWhenDue(context);
  m_restores.Flush(context, m_pacer);
  FlushWrites(context);
  FlushReads(context);
  m_sweeper.Flush(context, m_pacer);
}

void ClaimTable::FlushWrites(Context& context) {
  const bool idle = m_queue.IsEmpty(ClaimLane::kClaims) &&
                    m_queue.IsEmpty(ClaimLane::kOtherWrites);
  if (idle || !m_pacer.CanWrite(context.Now())) {
    return;
  }
  assert(m_sent_writes.empty());
  ClaimWriteBatch batch = m_queue.TakeWrites(context, m_claims, kMaxClaimRows);
  if (batch.sent.empty()) {
    return;
  }
  if (!batch.claimed.empty()) {
    batch.write.transactions.push_back(
        m_sweeper->MakeLogTransaction(context, std::move(batch.claimed)));
  }
  m_sent_writes = std::move(batch.sent);
  m_pacer.Write(context, std::move(batch.write));
}

void ClaimTable::FlushReads(Context& context) {
  if (!m_pacer.CanRead()) {
    return;
  }
  assert(m_sent_reads.empty());
  ClaimReadBatch batch = m_queue.TakeReads(m_claims);
  if (!batch.keys.empty()) {
    m_sent_reads = std::move(batch.keys);
    m_pacer.Read(context, std::move(batch.read));
  }
}

void ClaimTable::FailPendingClaims(Context& context) {
  std::vector<ClaimKey> failed;
  for (const auto& [key, claim] : m_claims) {
    if (claim.phase == ClaimPhase::kClaiming && !claim.in_flight) {
      failed.push_back(key);
    }
  }
  for (const ClaimKey& key : failed) {
    ClaimRecord& claim = m_claims.at(key);
    AnswerWaiters(claim, ClaimVerdict::Unavailable());
    Abandon(context, key, claim);
  }
}

void ClaimTable::OnWriteReply(Context& context, const StoreReply& reply) {
  const std::vector<SentClaimWrite> writes = std::exchange(m_sent_writes, {});
  // A reply that doesn't match the call doesn't tell whether it took effect.
  const bool answered =
      reply.status == StoreStatus::kOk && reply.results.size() >= writes.size();
  const StoreStatus status = reply.status == StoreStatus::kRefused
                                 ? StoreStatus::kRefused
                                 : StoreStatus::kUnknown;
  for (std::size_t i = 0; i < writes.size(); ++i) {
    const auto found = m_claims.find(writes[i].key);
    if (found == m_claims.end()) {
      continue;
    }
    ClaimRecord& claim = found->second;
    claim.in_flight = false;
    const StoreTransactionResult* result =
        answered ? &reply.results[i] : nullptr;
    if (result != nullptr && result->committed) {
      OnCommitted(context, writes[i]);
    } else if (result != nullptr && !result->rows.empty()) {
      ++claim.failed_writes;
      DecideOnRow(context, writes[i].key, result->rows[0]);
    } else {
      OnWriteFailed(context, writes[i],
                    result != nullptr ? StoreStatus::kUnknown : status);
    }
    QueueNextStep(writes[i].key);
  }
}

void ClaimTable::QueueNextStep(const ClaimKey& key) {
  if (const auto found = m_claims.find(key); found != m_claims.end()) {
    m_queue.Push(key, found->second, found->second.step);
  }
}

void ClaimTable::OnCommitted(Context& context, const SentClaimWrite& sent) {
  ClaimRecord& claim = m_claims.at(sent.key);
  const bool deleted = sent.phase == ClaimPhase::kReleasing;
  if (claim.nonce != sent.nonce) {
    // A resend started a new attempt meanwhile. If this write wasn't the
    // delete, the insert of the new attempt conflicts and returns the row.
    claim.version = 0;
  } else if (deleted) {
    RemoveClaim(context, sent.key, claim);
  } else if (claim.phase == ClaimPhase::kClaiming) {
    Grant(context, sent.key, claim, 0);
  } else if (claim.phase == ClaimPhase::kRecording &&
             sent.phase == ClaimPhase::kRecording) {
    Settle(context, sent.key, claim);
  } else {
    // A lost row was written again; its new version isn't known.
    claim.version = 0;
    claim.restoring = claim.phase != sent.phase;
  }
}

void ClaimTable::OnWriteFailed(Context& context,
                               const SentClaimWrite& sent,
                               StoreStatus status) {
  ClaimRecord& claim = m_claims.at(sent.key);
  const bool claiming = sent.phase == ClaimPhase::kClaiming;
  ++claim.failed_writes;
  if (status == StoreStatus::kUnknown) {
    claim.late_write_possible = claim.late_write_possible || claiming;
    if (claim.nonce == sent.nonce) {
      m_queue.Push(sent.key, claim, ClaimStep::kRead);
    }
    return;
  }
  if (claim.nonce != sent.nonce || claim.phase != ClaimPhase::kClaiming) {
    if (claim.step == ClaimStep::kNone) {
      m_queue.Push(sent.key, claim, ClaimStep::kRead);
    }
    return;
  }
  claim.written = claim.late_write_possible;
  AnswerWaiters(claim, ClaimVerdict::Unavailable());
  Abandon(context, sent.key, claim);
}

void ClaimTable::OnReadReply(Context& context, const StoreReply& reply) {
  const std::vector<ClaimKey> keys = std::exchange(m_sent_reads, {});
  const bool answered =
      reply.status == StoreStatus::kOk && reply.rows.size() == keys.size();
  for (std::size_t i = 0; i < keys.size(); ++i) {
    const auto found = m_claims.find(keys[i]);
    if (found == m_claims.end()) {
      continue;
    }
    ClaimRecord& claim = found->second;
    claim.in_flight = false;
    if (answered && reply.rows[i].key == ClaimRowKey(keys[i])) {
      DecideOnRow(context, keys[i], reply.rows[i]);
    } else if (claim.step == ClaimStep::kNone) {
      m_queue.Push(keys[i], claim, ClaimStep::kRead);
    }
    QueueNextStep(keys[i]);
  }
}

}  // namespace kumquatcove
