#include "measure/target_check.h"

#include <optional>

namespace kumquatcove::measure {
namespace {

// Limits of section 1.3 of the design page.
constexpr double kMaxSlowedOverHealthy = 1.3;
constexpr double kMaxSlowedOverBaseline = 0.5;
constexpr double kMaxWithLongOverWithout = 1.5;
constexpr double kMaxLastArrivalMs = 2'000;

/** Collects the results of one deployment. */
class TargetChecker {
 public:
  TargetChecker(const FigureTable& figures, DeploymentName deployment)
      : m_figures(figures), m_deployment(deployment) {}

  std::vector<TargetResult> Check() {
    CheckSlowed();
    CheckLongWork();
    CheckDrain();
    CheckHeadroom();
    return m_results;
  }

 private:
  std::optional<double> Median(Scenario scenario,
                               Metric metric,
                               Contender contender = Contender::kSystem) const {
    const auto spread =
        m_figures.Find({m_deployment, scenario, contender}, metric);
    return spread ? std::optional(spread->median) : std::nullopt;
  }

  void Add(std::string target, TargetRule rule, double limit, double measured) {
    m_results.push_back(
        {m_deployment, std::move(target), rule, limit, measured});
  }

  void CheckSlowed() {
    const auto slowed = Median(Scenario::kSlowed, Metric::kP99Ms);
    const auto healthy = Median(Scenario::kHealthy, Metric::kP99Ms);
    if (slowed && healthy) {
      Add("p99 with two slowed upstreams / healthy p99", TargetRule::kAtMost,
          kMaxSlowedOverHealthy, Ratio(*slowed, *healthy));
    }
    const auto best = m_figures.BestBaseline({m_deployment, Scenario::kSlowed},
                                             Metric::kP99Ms);
    if (slowed && best) {
      Add("p99 with two slowed upstreams / that of the best baseline (" +
              std::string(ToString(*best)) + ")",
          TargetRule::kBelow, kMaxSlowedOverBaseline,
          Ratio(*slowed,
                Median(Scenario::kSlowed, Metric::kP99Ms, *best).value()));
    }
  }

  void CheckLongWork() {
    const auto with = Median(Scenario::kLongWork, Metric::kP99Ms);
    const auto without = Median(Scenario::kLongWork, Metric::kWithoutLongP99Ms);
    if (with && without) {
      Add("p99 of short work with 5% long work / without", TargetRule::kAtMost,
          kMaxWithLongOverWithout, Ratio(*with, *without));
    }
  }

  void CheckDrain() {
    const auto last = Median(Scenario::kDrain, Metric::kLastArrivalMs);
    if (last) {
      Add("last new request after the start of a drain, ms", TargetRule::kBelow,
          kMaxLastArrivalMs, *last);
    }
    const auto cut_off = Median(Scenario::kDrain, Metric::kCutOffRequests);
    if (cut_off) {
      Add("requests cut off during a drain", TargetRule::kAtMost, 0, *cut_off);
    }
  }

  void CheckHeadroom() {
    const auto above =
        Median(Scenario::kHeadroom, Metric::kSpillOverStartsAboveLimit);
    if (above) {
      Add("spill-over that got a slot beyond the headroom limit",
          TargetRule::kAtMost, 0, *above);
    }
  }

  const FigureTable& m_figures;
  DeploymentName m_deployment;
  std::vector<TargetResult> m_results;
};

}  // namespace

std::vector<TargetResult> CheckTargets(const FigureTable& figures) {
  std::vector<TargetResult> results;
  for (const DeploymentName deployment : AllValues<DeploymentName>()) {
    const auto checked = TargetChecker(figures, deployment).Check();
    results.insert(results.end(), checked.begin(), checked.end());
  }
  return results;
}

}  // namespace kumquatcove::measure
