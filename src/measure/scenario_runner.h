#ifndef MEASURE_SCENARIO_RUNNER_H_
#define MEASURE_SCENARIO_RUNNER_H_

#include <cstdint>
#include <string>

#include "deployment/local_deployment.h"
#include "measure/deployment_profile.h"
#include "measure/figure_table.h"
#include "measure/load_run.h"
#include "measure/measure_settings.h"

namespace kumquatcove::measure {

/** Length and seed of the runs of one repetition. */
struct RunSettings {
  double warm_up_s = 2;
  double measured_s = 5;
  /** The same for all contenders, so that their requests arrive at the same
   * times. */
  std::uint64_t seed = 1;
};

/**
 * Runs scenarios of one contender on one deployment and records the figures.
 *
 * Thread safety: none.
 */
class ScenarioRunner {
 public:
  /** The references must stay valid as long as this object is. */
  ScenarioRunner(LocalDeployment& deployment,
                 const DeploymentProfile& profile,
                 Contender contender,
                 RunSettings settings,
                 FigureTable& figures);

  /** Runs any scenario but kCost. Throws DeploymentError. kHeadroom leaves the
   * upstreams of one region down, so it must be the last one. */
  void Run(Scenario scenario);

 private:
  void RunHealthy();
  void RunSlowed();
  void RunLongWork();
  void RunDrain();
  void RunHeadroom();

  /** Returns a plan with callers of all regions in one load tool. */
  LoadPlan PlanFor(double busy, double long_share) const;
  /** Returns a plan with one load tool for each region. */
  LoadPlan PlanByRegion(double busy) const;
  std::string Mix(double rate, double long_share, double once_rate) const;
  LoadGroup Short() const;
  void Add(Scenario scenario, Metric metric, double value);
  void AddLatencies(Scenario scenario, const LoadRun& run);
  void AddOnce(Scenario scenario, const LoadRun& run);
  void AddUse(Scenario scenario, const LoadRun& run);
  void ResetOccupancy();
  double BusyShare();
  void AddSpillOver(const RegionName& failed);

  LocalDeployment& m_deployment;
  const DeploymentProfile& m_profile;
  Contender m_contender;
  RunSettings m_settings;
  FigureTable& m_figures;
};

}  // namespace kumquatcove::measure

#endif  // MEASURE_SCENARIO_RUNNER_H_
