#include "claims/claim_verdict.h"

#include <utility>

namespace kumquatcove {

ClaimVerdict ClaimVerdict::Answered(CallerAnswer answer) {
  return {{}, ClaimVerdictKind::kAnswered, {}, 0, std::move(answer)};
}

ClaimVerdict ClaimVerdict::UnknownOutcome(RefusalReason reason) {
  return Answered({Outcome::kUnknown, reason, {}});
}

ClaimVerdict ClaimVerdict::Unavailable() {
  return {{}, ClaimVerdictKind::kUnavailable, {}, 0, {}};
}

ClaimVerdict ClaimVerdict::KeyReused() {
  return {{}, ClaimVerdictKind::kKeyReused, {}, 0, {}};
}

}  // namespace kumquatcove
