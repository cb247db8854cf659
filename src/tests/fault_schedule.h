#ifndef TESTS_FAULT_SCHEDULE_H_
#define TESTS_FAULT_SCHEDULE_H_

#include <array>
#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

#include <rapidcheck.h>

#include "base/enum_table.h"
#include "tests/fake_deployment.h"

namespace kumquatcove {

/** Faults that a schedule can hold: those of section 1.5 of the design page. */
enum class FaultKind {
  kKillInstance,
  kFreezeInstance,
  /** A planned stop; the fault's length is the time until the next start. */
  kStopInstance,
  kStoreDown,
  kStoreSilent,
  kStoreSlow,
  kStoreLosesReplies,
  /** The store loses all writes since the beginning of the fault at its end. */
  kStoreRestored,
  kCutRegions,
  kLosePeerMessages,
  kCrashUpstream,
  kSlowUpstream,
  kSilenceConnections,
};

constexpr auto EnumNames(FaultKind) {
  using Row = EnumName<FaultKind>;
  return std::array{Row{FaultKind::kKillInstance, "kill-instance"},
                    Row{FaultKind::kFreezeInstance, "freeze-instance"},
                    Row{FaultKind::kStopInstance, "stop-instance"},
                    Row{FaultKind::kStoreDown, "store-down"},
                    Row{FaultKind::kStoreSilent, "store-silent"},
                    Row{FaultKind::kStoreSlow, "store-slow"},
                    Row{FaultKind::kStoreLosesReplies, "store-loses-replies"},
                    Row{FaultKind::kStoreRestored, "store-restored"},
                    Row{FaultKind::kCutRegions, "cut-regions"},
                    Row{FaultKind::kLosePeerMessages, "lose-peer-messages"},
                    Row{FaultKind::kCrashUpstream, "crash-upstream"},
                    Row{FaultKind::kSlowUpstream, "slow-upstream"},
                    Row{FaultKind::kSilenceConnections, "silence-connections"}};
}

/** One fault: it begins at `begin_ms` and is undone after `length_ms`. `target`
 * picks what it hits. */
struct Fault {
  FaultKind kind = FaultKind::kKillInstance;
  std::uint32_t begin_ms = 0;
  std::uint32_t length_ms = 0;
  std::uint32_t target = 0;
};

std::ostream& operator<<(std::ostream& out, const Fault& fault);

/** Draws faults within the first `span_ms`; each of at most `longest_ms`. */
rc::Gen<std::vector<Fault>> GenerateFaults(std::uint32_t span_ms,
                                           std::uint32_t longest_ms);

/** Puts the faults on the deployment's clock. `zones` are the zones with an
 * instance `entry-ZONE` each. */
void ScheduleFaults(FakeDeployment& deployment,
                    const std::vector<std::string>& zones,
                    const std::vector<Fault>& faults);

}  // namespace kumquatcove

#endif  // TESTS_FAULT_SCHEDULE_H_
