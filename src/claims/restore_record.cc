#include "claims/restore_record.h"

#include <cassert>
#include <string>
#include <utility>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "base/json_codec.h"
#include "claims/claim_sweeper.h"

namespace kumquatcove {
namespace {

// Instances that have requests learn of a restore and write their claims again
// within this time.
constexpr Duration kClaimReturnTime = Seconds(1);

std::optional<ClaimEraRow> Decode(Context& context, const StoreRow& row) {
  try {
    return FromJson<ClaimEraRow>(boost::json::parse(row.value));
  } catch (const std::exception& error) {
    context.Record("claim_era_corrupt", kClaimEraKey,
                   {{"problem", error.what()}});
    return std::nullopt;
  }
}

}  // namespace

bool RestoreRecord::OnReplyEra(Context& context, std::int64_t era) {
  if (era <= m_era) {
    return false;
  }
  const bool restored = m_era != 0;
  if (restored) {
    context.Record(
        "store_era_changed", "claims/",
        {{"era", std::to_string(era)}, {"previous", std::to_string(m_era)}});
    m_saw_restore = true;
  }
  m_era = era;
  m_era_seen = context.Now();
  m_restored.reset();
  m_state = State::kRead;
  return restored;
}

bool RestoreRecord::MayLackClaims(const Context& context,
                                  const ServiceName& service) const {
  switch (m_state) {
    case State::kNoEra:
      return false;
    case State::kRead:
    case State::kWrite:
      return true;
    case State::kKnown:
      return m_restored && context.Wall().microseconds <
                               m_restored->microseconds +
                                   FindClaimRetention(context, service).count();
  }
  return true;
}

void RestoreRecord::RecordLostClaim(Context& context,
                                    const ClaimKey& key) const {
  context.Record(
      "claim_may_be_lost", key.idempotency_key,
      {{"service", key.service.Text()}, {"era", std::to_string(m_era)}});
}

bool RestoreRecord::AreClaimsReturning(MonotonicTime now) const {
  return now < m_era_seen + kClaimReturnTime;
}

ClaimStep RestoreRecord::NextStep() const {
  if (m_in_flight) {
    return ClaimStep::kNone;
  }
  switch (m_state) {
    case State::kRead:
      return ClaimStep::kRead;
    case State::kWrite:
      return ClaimStep::kWrite;
    case State::kNoEra:
    case State::kKnown:
      break;
  }
  return ClaimStep::kNone;
}

StoreOperation RestoreRecord::TakeCall(Context& context) {
  assert(NextStep() != ClaimStep::kNone);
  m_in_flight = true;
  if (m_state == State::kRead) {
    return StoreRead{{kClaimEraKey}};
  }
  ClaimEraRow row{m_era, std::nullopt};
  if (m_saw_restore || m_row_version != 0) {
    row.restored = context.Wall();
  }
  return StoreWrite{{{{{kClaimEraKey, m_row_version}},
                      {{kClaimEraKey, boost::json::serialize(ToJson(row))}}}}};
}

void RestoreRecord::OnReply(Context& context, const StoreReply& reply) {
  m_in_flight = false;
  if (reply.status == StoreStatus::kOk && m_era == 0) {
    m_state = State::kNoEra;
  } else if (reply.status == StoreStatus::kOk && reply.rows.size() == 1) {
    OnRow(context, reply.rows[0]);
  } else if (m_state == State::kWrite) {
    // The row shows whether the write took effect.
    m_state = State::kRead;
  }
}

void RestoreRecord::OnRow(Context& context, const StoreRow& row) {
  const std::optional<ClaimEraRow> decoded =
      row.version == 0 ? std::nullopt : Decode(context, row);
  if (!decoded || decoded->era < m_era) {
    m_row_version = row.version;
    m_state = State::kWrite;
  } else if (decoded->era == m_era) {
    m_restored = decoded->restored;
    m_state = State::kKnown;
  }
}

}  // namespace kumquatcove
