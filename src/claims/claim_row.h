#ifndef CLAIMS_CLAIM_ROW_H_
#define CLAIMS_CLAIM_ROW_H_

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>

#include <boost/describe/class.hpp>

#include "base/clock_reading.h"
#include "base/enum_table.h"
#include "base/name.h"
#include "protocol/http_message.h"

namespace kumquatcove {

/** Identifies a non-idempotent request across all its resends. */
struct ClaimKey {
  ServiceName service;
  std::string idempotency_key;
  friend auto operator<=>(const ClaimKey&, const ClaimKey&) = default;
};
BOOST_DESCRIBE_STRUCT(ClaimKey, (), (service, idempotency_key))

enum class ClaimRowState {
  /** The owner may send or is sending the request, or ended without a known
   * outcome. */
  kClaimed,
  /** The request ran; the answer is recorded. */
  kDone,
  /** The request didn't run. Such a row takes the place of an absent one while
   * an absent row may be one that a restore of the store has lost. */
  kReleased,
};

constexpr auto EnumNames(ClaimRowState) {
  using Row = EnumName<ClaimRowState>;
  return std::array{Row{ClaimRowState::kClaimed, "claimed"},
                    Row{ClaimRowState::kDone, "done"},
                    Row{ClaimRowState::kReleased, "released"}};
}

/** Value of the table row of one claim. */
struct ClaimRow {
  ClaimRowState state = ClaimRowState::kClaimed;
  InstanceId owner;
  std::int64_t incarnation = 0;
  /** Unique for each attempt of the owner to claim the request. */
  std::uint64_t nonce = 0;
  std::uint64_t content_hash = 0;
  /** Owner's wall time of the claim; used for retention only. */
  WallTime created;
  /** Set for kDone. */
  std::optional<CallerAnswer> answer;
  /** Era of the store in which the request was released; set for kReleased. */
  std::optional<std::int64_t> era;
  friend bool operator==(const ClaimRow&, const ClaimRow&) = default;
};
BOOST_DESCRIBE_STRUCT(
    ClaimRow,
    (),
    (state, owner, incarnation, nonce, content_hash, created, answer, era))

/** Maximum size of the headers and body of an answer that is recorded in full.
 */
inline constexpr std::size_t kMaxRecordedAnswerBytes = 64U << 10U;

/** Header of a recorded answer whose headers and body were too large to be
 * recorded. */
inline constexpr char kBodyOmittedHeader[] = "Kumquatcove-Body-Omitted";

/** Maximum length in bytes of an idempotency key that ClaimTable accepts. */
inline constexpr std::size_t kMaxIdempotencyKeyBytes = 256;

/** Returns the key of the table row of a claim. Bytes that aren't safe in a key
 * are percent-encoded. */
std::string ClaimRowKey(const ClaimKey& key);

/** Returns the size of an answer's headers and body, which is compared to
 * kMaxRecordedAnswerBytes. */
std::size_t AnswerBytes(const CallerAnswer& answer);

/**
 * Returns the answer as it is recorded.
 *
 * An answer larger than kMaxRecordedAnswerBytes is reduced to its outcome and
 * status, with kBodyOmittedHeader as its only header and without a body.
 */
CallerAnswer RecordedForm(const CallerAnswer& answer);

/** Returns the JSON form of a row. Non-ASCII bytes of the answer are preserved,
 * regardless of their encoding. */
std::string EncodeClaimRow(const ClaimRow& row);

/** Returns the row, or std::nullopt if `text` isn't a valid row. */
std::optional<ClaimRow> DecodeClaimRow(const std::string& text);

}  // namespace kumquatcove

#endif  // CLAIMS_CLAIM_ROW_H_
