#ifndef PROTOCOL_OUTCOME_H_
#define PROTOCOL_OUTCOME_H_

#include <array>

#include "base/enum_table.h"

namespace kumquatcove {

/** Whether a request was executed; sent to the caller in `Kumquatcove-Outcome`.
 */
enum class Outcome {
  /** An upstream ran the request and this is its answer. */
  kRan,
  /** No upstream has run the request or will run it; this is guaranteed. */
  kDidNotRun,
  /** The request may have run. */
  kUnknown,
};

constexpr auto EnumNames(Outcome) {
  return std::array{EnumName<Outcome>{Outcome::kRan, "ran"},
                    EnumName<Outcome>{Outcome::kDidNotRun, "did-not-run"},
                    EnumName<Outcome>{Outcome::kUnknown, "unknown"}};
}

/** Why a request was not answered by an upstream. */
enum class RefusalReason {
  kNone,
  kNotReady,
  kIsolated,
  kLeaving,
  kUnknownService,
  kMissingKey,
  kInvalidRequest,
  kKeyReused,
  kQuarantined,
  kStoreUnavailable,
  kNoUpstream,
  kQueueFull,
  kDeadlineTooShort,
  kDeadlineExpired,
  kHeadroom,
  kLinkBudget,
  kShiftCap,
  kRetryBudget,
  kUpstreamFailed,
  kOwnerUnreachable,
  kPeerUnreachable,
  kOverloaded,
};

constexpr auto EnumNames(RefusalReason) {
  using Row = EnumName<RefusalReason>;
  return std::array{Row{RefusalReason::kNone, "none"},
                    Row{RefusalReason::kNotReady, "not-ready"},
                    Row{RefusalReason::kIsolated, "isolated"},
                    Row{RefusalReason::kLeaving, "leaving"},
                    Row{RefusalReason::kUnknownService, "unknown-service"},
                    Row{RefusalReason::kMissingKey, "missing-idempotency-key"},
                    Row{RefusalReason::kInvalidRequest, "invalid-request"},
                    Row{RefusalReason::kKeyReused, "idempotency-key-reused"},
                    Row{RefusalReason::kQuarantined, "quarantined"},
                    Row{RefusalReason::kStoreUnavailable, "store-unavailable"},
                    Row{RefusalReason::kNoUpstream, "no-upstream"},
                    Row{RefusalReason::kQueueFull, "queue-full"},
                    Row{RefusalReason::kDeadlineTooShort, "deadline-too-short"},
                    Row{RefusalReason::kDeadlineExpired, "deadline-expired"},
                    Row{RefusalReason::kHeadroom, "headroom"},
                    Row{RefusalReason::kLinkBudget, "link-budget"},
                    Row{RefusalReason::kShiftCap, "shift-cap"},
                    Row{RefusalReason::kRetryBudget, "retry-budget"},
                    Row{RefusalReason::kUpstreamFailed, "upstream-failed"},
                    Row{RefusalReason::kOwnerUnreachable, "owner-unreachable"},
                    Row{RefusalReason::kPeerUnreachable, "peer-unreachable"},
                    Row{RefusalReason::kOverloaded, "overloaded"}};
}

}  // namespace kumquatcove

#endif  // PROTOCOL_OUTCOME_H_
