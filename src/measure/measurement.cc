#include "measure/measurement.h"

#include <algorithm>
#include <future>
#include <mutex>
#include <utility>
#include <vector>

#include "deployment/local_deployment.h"
#include "limits/share_table.h"
#include "measure/cost_probe.h"
#include "measure/deployment_profile.h"
#include "measure/process_start.h"
#include "measure/scenario_runner.h"

namespace kumquatcove::measure {
namespace {

constexpr int kPortsOfDeployment = 1'000;
/** Distance between the seeds of two repetitions; seeds of scenarios and
 * regions lie between. */
constexpr std::uint64_t kSeedsOfRepetition = 1'000;
constexpr std::uint64_t kSeedsOfScenario = 10;

/** Scenarios in the order in which they run. kDrain and kHeadroom come last,
 * since they disturb the deployment most. */
constexpr Scenario kOrder[] = {Scenario::kHealthy, Scenario::kLongWork,
                               Scenario::kSlowed, Scenario::kDrain,
                               Scenario::kHeadroom};

/** Lets leases begin at once. The row that entry instances create in an empty
 * table leases no slots for 70 s, since older shares might still be in use;
 * here none are, and no deployment in use is that young. */
void SettleShares(LocalDeployment& deployment) {
  deployment.PutRow(kShareTableKey, EncodeShareTable(ShareTable{}).value());
}

/** Measures one deployment. */
class Lane {
 public:
  Lane(const MeasureSettings& settings,
       DeploymentName name,
       int first_port,
       const Measurement::Progress& progress)
      : m_settings(settings),
        m_profile(name, settings.catalogue_folder),
        m_first_port(first_port),
        m_progress(progress) {}

  FigureTable Run() {
    if (IsWanted(Scenario::kCost)) {
      for (int repetition = 0; repetition < m_settings.repeat; ++repetition) {
        m_progress(Step("cost", repetition));
        RunCostProbe(m_profile, LocalSettings("cost", repetition),
                     m_settings.duration_s / 2, Seed(repetition), m_figures);
      }
    }
    for (int repetition = 0; repetition < m_settings.repeat; ++repetition) {
      for (const Contender contender : m_settings.contenders) {
        RunContender(contender, repetition);
      }
    }
    return m_figures;
  }

 private:
  void RunContender(Contender contender, int repetition) {
    std::vector<Scenario> scenarios;
    for (const Scenario scenario : kOrder) {
      if (IsWanted(scenario) && TakesPart(contender, scenario)) {
        scenarios.push_back(scenario);
      }
    }
    if (scenarios.empty()) {
      return;
    }
    const std::string name(ToString(contender));
    m_progress(Step(name, repetition));
    LocalDeploymentSettings local = LocalSettings(name, repetition);
    local.routing = RoutingOf(contender);
    std::unique_lock lock(ProcessStartMutex());
    LocalDeployment deployment(std::move(local));
    lock.unlock();
    SettleShares(deployment);
    for (const Scenario scenario : scenarios) {
      const RunSettings run{
          m_settings.warm_up_s, m_settings.duration_s,
          Seed(repetition) +
              kSeedsOfScenario * (1 + static_cast<std::uint64_t>(scenario))};
      ScenarioRunner(deployment, m_profile, contender, run, m_figures)
          .Run(scenario);
    }
  }

  LocalDeploymentSettings LocalSettings(const std::string& part,
                                        int repetition) const {
    LocalDeploymentSettings settings = m_profile.LocalSettings();
    settings.program_folder = m_settings.program_folder;
    settings.work_folder =
        m_settings.work_folder + "/" + Step(part, repetition);
    settings.first_port = m_first_port;
    settings.seed = Seed(repetition);
    return settings;
  }

  std::string Step(const std::string& part, int repetition) const {
    return std::string(ToString(m_profile.Name())) + "-" + part + "-" +
           std::to_string(repetition + 1);
  }

  std::uint64_t Seed(int repetition) const {
    return (m_settings.seed + static_cast<std::uint64_t>(repetition)) *
           kSeedsOfRepetition;
  }

  bool IsWanted(Scenario scenario) const {
    return std::find(m_settings.scenarios.begin(), m_settings.scenarios.end(),
                     scenario) != m_settings.scenarios.end();
  }

  const MeasureSettings& m_settings;
  DeploymentProfile m_profile;
  int m_first_port;
  const Measurement::Progress& m_progress;
  FigureTable m_figures;
};

}  // namespace

Measurement::Measurement(MeasureSettings settings, Progress progress)
    : m_settings(std::move(settings)) {
  const auto mutex = std::make_shared<std::mutex>();
  m_progress = [mutex,
                progress = std::move(progress)](const std::string& step) {
    const std::lock_guard lock(*mutex);
    progress(step);
  };
}

FigureTable Measurement::Run() {
  std::vector<std::future<FigureTable>> lanes;
  for (const DeploymentName name : m_settings.deployments) {
    const int first_port = m_settings.first_port +
                           static_cast<int>(lanes.size()) * kPortsOfDeployment;
    lanes.push_back(std::async(std::launch::async, [this, name, first_port] {
      return RunDeployment(name, first_port);
    }));
  }
  FigureTable figures;
  for (std::future<FigureTable>& lane : lanes) {
    figures.Add(lane.get());
  }
  return figures;
}

FigureTable Measurement::RunDeployment(DeploymentName name, int first_port) {
  return Lane(m_settings, name, first_port, m_progress).Run();
}

}  // namespace kumquatcove::measure
