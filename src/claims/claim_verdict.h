#ifndef CLAIMS_CLAIM_VERDICT_H_
#define CLAIMS_CLAIM_VERDICT_H_

#include <array>
#include <cstdint>

#include "base/enum_table.h"
#include "base/name.h"
#include "protocol/http_message.h"
#include "protocol/ids.h"

namespace kumquatcove {

/** Result of the attempt to claim a request. */
enum class ClaimVerdictKind {
  /** This request owns the claim and may be sent once, before its deadline. */
  kGranted,
  /** The request already has an answer; `answer` is final for this caller. */
  kAnswered,
  /** Another instance owns the claim; the request should be relayed to it. */
  kOwnedElsewhere,
  /** The same key was used with a different content hash. */
  kKeyReused,
  /** The store couldn't be queried in time, has been restored and may lack an
   * earlier claim, or there are too many claims. This instance will not send
   * the request. */
  kUnavailable,
};

constexpr auto EnumNames(ClaimVerdictKind) {
  using Row = EnumName<ClaimVerdictKind>;
  return std::array{Row{ClaimVerdictKind::kGranted, "granted"},
                    Row{ClaimVerdictKind::kAnswered, "answered"},
                    Row{ClaimVerdictKind::kOwnedElsewhere, "owned-elsewhere"},
                    Row{ClaimVerdictKind::kKeyReused, "key-reused"},
                    Row{ClaimVerdictKind::kUnavailable, "unavailable"}};
}

/** Decision on one request passed to Begin. */
struct ClaimVerdict {
  RequestId request;
  ClaimVerdictKind kind = ClaimVerdictKind::kUnavailable;
  /** Set for kOwnedElsewhere. */
  InstanceId owner;
  std::int64_t owner_incarnation = 0;
  /** Set for kAnswered. */
  CallerAnswer answer;

  /** Return a verdict whose `request` the caller sets later. */
  static ClaimVerdict Answered(CallerAnswer answer);
  static ClaimVerdict UnknownOutcome(RefusalReason reason);
  static ClaimVerdict Unavailable();
  static ClaimVerdict KeyReused();
};

}  // namespace kumquatcove

#endif  // CLAIMS_CLAIM_VERDICT_H_
