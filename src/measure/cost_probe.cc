#include "measure/cost_probe.h"

#include <chrono>
#include <mutex>
#include <optional>
#include <utility>

#include <boost/json/object.hpp>

#include "deployment/local_deployment.h"
#include "measure/load_run.h"
#include "measure/lookup_probe.h"
#include "measure/process_start.h"

namespace kumquatcove::measure {
namespace {

constexpr double kWarmUpS = 1;
/** Rate at which latencies are compared: low, so that no queue forms. */
constexpr double kLatencyRate = 200;
/** Rate at which the processor time of a request is measured: high, so that
 * periodic work of the entry instance weighs little. */
constexpr double kCostRate = 1'000;

/** Runs the steps of one probe. */
class CostProbe {
 public:
  CostProbe(LocalDeployment& deployment,
            const DeploymentProfile& profile,
            double measured_s,
            std::uint64_t seed,
            FigureTable& figures)
      : m_deployment(deployment),
        m_profile(profile),
        m_measured_s(measured_s),
        m_seed(seed),
        m_figures(figures) {}

  void Run() {
    const LoadRun direct = RunLoad(kLatencyRate, DirectAddress());
    const LoadRun entry = RunLoad(kLatencyRate, "");
    const double direct_p50 = AddQuantile(Metric::kDirectP50Ms, direct, 0.5);
    const double direct_p99 = AddQuantile(Metric::kDirectP99Ms, direct, 0.99);
    const double entry_p50 = AddQuantile(Metric::kEntryP50Ms, entry, 0.5);
    const double entry_p99 = AddQuantile(Metric::kEntryP99Ms, entry, 0.99);
    Add(Metric::kAddedP50Ms, entry_p50 - direct_p50);
    Add(Metric::kAddedP99Ms, entry_p99 - direct_p99);
    MeasureRequests();
    MeasureLookups();
    Add(Metric::kEntryResidentMb,
        static_cast<double>(Entry().ResidentBytes()) / 1e6);
  }

 private:
  LoadRun RunLoad(double rate, const std::string& direct) {
    LoadPlan plan;
    plan.warm_up_s = kWarmUpS;
    plan.measured_s = m_measured_s;
    plan.sources.push_back({Service() + ":rate=" + std::to_string(rate),
                            m_profile.Callers(m_profile.Regions().front().name),
                            m_seed, direct});
    LoadRun run(m_deployment, std::move(plan));
    run.WaitForMeasuredPart();
    run.WaitForLastArrival();
    run.Finish();
    return run;
  }

  void MeasureRequests() {
    const LoadRun run = RunLoad(kCostRate, "");
    const LoadFigures figures = run.Figures(LoadGroup{});
    const double seconds = run.Use().entries * run.MeasuredSeconds();
    Add(Metric::kEntryUsPerRequest,
        Ratio(seconds * 1e6, static_cast<double>(figures.requests)));
    Add(Metric::kRequestsPerCore,
        Ratio(static_cast<double>(figures.ran), seconds));
    Add(Metric::kNotRunShare, figures.NotRunShare());
  }

  void MeasureLookups() {
    LookupProbeSettings settings;
    settings.address =
        m_deployment.CallerAddress(m_deployment.Instances().front());
    settings.service = Service();
    settings.client =
        m_profile.Callers(m_profile.Regions().front().name).front();
    settings.duration_s = m_measured_s;
    const Duration before = Entry().ProcessorTime();
    const LookupProbeResult result = RunLookupProbe(settings);
    const double seconds =
        std::chrono::duration<double>(Entry().ProcessorTime() - before).count();
    Add(Metric::kLookupsPerCore,
        Ratio(static_cast<double>(result.answered), seconds));
    Add(Metric::kLookupsPerSecond,
        static_cast<double>(result.answered) / settings.duration_s);
  }

  /** Returns the address of an upstream as the deployment runs it. */
  std::string DirectAddress() const {
    const boost::json::value catalogue =
        ReadReport(m_deployment.CatalogueFile());
    for (const auto& service : catalogue.at("services").as_array()) {
      if (service.at("service").as_string() ==
          m_profile.Idempotent().service.Text()) {
        return std::string(
            service.at("upstreams").at(0).at("address").as_string());
      }
    }
    throw DeploymentError("the catalogue lacks the idempotent service");
  }

  double AddQuantile(Metric metric, const LoadRun& run, double quantile) {
    const double value =
        run.Figures(LoadGroup{})
            .latency.QuantileMs(quantile,
                                static_cast<double>(LoadPlan{}.deadline_ms));
    Add(metric, value);
    return value;
  }

  void Add(Metric metric, double value) {
    m_figures.Add({m_profile.Name(), Scenario::kCost, Contender::kSystem},
                  metric, value);
  }

  std::string Service() const {
    return m_profile.Idempotent().names.path.front();
  }
  const ChildProcess& Entry() const {
    return m_deployment.Process(m_deployment.Instances().front());
  }

  LocalDeployment& m_deployment;
  const DeploymentProfile& m_profile;
  double m_measured_s;
  std::uint64_t m_seed;
  FigureTable& m_figures;
};

}  // namespace

void RunCostProbe(const DeploymentProfile& profile,
                  LocalDeploymentSettings settings,
                  double measured_s,
                  std::uint64_t seed,
                  FigureTable& figures) {
  settings.entries = 1;
  settings.delays = {};
  settings.upstream_model = boost::json::object{
      {"default", boost::json::object{{"mean_service_ms", 0.0},
                                      {"straggler_share", 0.0},
                                      {"connection_cost_ms", 0.0}}}};
  std::unique_lock lock(ProcessStartMutex());
  LocalDeployment deployment(std::move(settings));
  lock.unlock();
  CostProbe(deployment, profile, measured_s, seed, figures).Run();
}

}  // namespace kumquatcove::measure
