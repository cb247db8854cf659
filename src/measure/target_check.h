#ifndef MEASURE_TARGET_CHECK_H_
#define MEASURE_TARGET_CHECK_H_

#include <string>
#include <vector>

#include "measure/figure_table.h"

namespace kumquatcove::measure {

/** How a target is compared. */
enum class TargetRule { kAtMost, kBelow };

constexpr auto EnumNames(TargetRule) {
  return std::array{EnumName<TargetRule>{TargetRule::kAtMost, "at most"},
                    EnumName<TargetRule>{TargetRule::kBelow, "below"}};
}

/** A target of section 1.3 of the design page and what was measured. */
struct TargetResult {
  DeploymentName deployment = DeploymentName::kTintorera;
  std::string target;
  TargetRule rule = TargetRule::kAtMost;
  double limit = 0;
  double measured = 0;
  bool IsMet() const {
    return rule == TargetRule::kBelow ? measured < limit : measured <= limit;
  }
};

/** Checks the medians of the system against all targets whose scenarios were
 * measured. */
std::vector<TargetResult> CheckTargets(const FigureTable& figures);

}  // namespace kumquatcove::measure

#endif  // MEASURE_TARGET_CHECK_H_
