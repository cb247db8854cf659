#include "measure/scenario_runner.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <boost/json/object.hpp>

#include "base/json_codec.h"
#include "emulator/emulated_upstream.h"
#include "emulator/occupancy_meter.h"

namespace kumquatcove::measure {
namespace {

// Shares of the idempotent service's slots that the load keeps busy.
constexpr double kHealthyBusy = 0.7;
constexpr double kSlowedBusy = 0.6;
constexpr double kShortBusy = 0.5;
constexpr double kDrainBusy = 0.6;
constexpr double kHeadroomBusy = 0.6;
constexpr double kLongShare = 0.05;
constexpr double kSlowFactor = 10;
/** Requests a second to each non-idempotent service. Each takes two writes, and
 * the store carries a few hundred a second. */
constexpr double kOnceRate = 15;
constexpr std::int64_t kDeadlineMs = 5'000;

LoadFigures OnceFigures(const LoadRun& run, const DeploymentProfile& profile) {
  LoadFigures figures;
  for (const ServiceEntry& service : profile.NonIdempotent()) {
    figures.Add(run.Figures({service.names.path.front(), false}));
  }
  return figures;
}

emulator::UpstreamCounters CountersOf(LocalDeployment& deployment,
                                      const UpstreamId& upstream) {
  return FromJson<emulator::UpstreamCounters>(
      deployment.UpstreamCounters().at(upstream.Text()));
}

}  // namespace

ScenarioRunner::ScenarioRunner(LocalDeployment& deployment,
                               const DeploymentProfile& profile,
                               Contender contender,
                               RunSettings settings,
                               FigureTable& figures)
    : m_deployment(deployment),
      m_profile(profile),
      m_contender(contender),
      m_settings(settings),
      m_figures(figures) {}

void ScenarioRunner::Run(Scenario scenario) {
  switch (scenario) {
    case Scenario::kHealthy:
      RunHealthy();
      break;
    case Scenario::kSlowed:
      RunSlowed();
      break;
    case Scenario::kLongWork:
      RunLongWork();
      break;
    case Scenario::kDrain:
      RunDrain();
      break;
    case Scenario::kHeadroom:
      RunHeadroom();
      break;
    case Scenario::kCost:
      break;
  }
}

void ScenarioRunner::RunHealthy() {
  LoadRun run(m_deployment, PlanFor(kHealthyBusy, 0));
  run.WaitForMeasuredPart();
  ResetOccupancy();
  run.WaitForLastArrival();
  Add(Scenario::kHealthy, Metric::kBusyShare, BusyShare());
  run.Finish();
  AddLatencies(Scenario::kHealthy, run);
  AddOnce(Scenario::kHealthy, run);
  AddUse(Scenario::kHealthy, run);
}

void ScenarioRunner::RunSlowed() {
  // One in each of two regions: two in the smallest region alone would leave it
  // without the capacity for its own callers.
  std::vector<UpstreamId> slowed;
  for (std::size_t region = 0; region < 2; ++region) {
    slowed.push_back(
        m_profile.Upstreams(m_profile.Regions()[region].name).front().id);
  }
  for (const UpstreamId& upstream : slowed) {
    m_deployment.SetUpstreamFaults(upstream.Text(),
                                   {{"slow_factor", kSlowFactor}});
  }
  LoadRun run(m_deployment, PlanFor(kSlowedBusy, 0));
  run.WaitForMeasuredPart();
  ResetOccupancy();
  run.WaitForLastArrival();
  Add(Scenario::kSlowed, Metric::kBusyShare, BusyShare());
  run.Finish();
  for (const UpstreamId& upstream : slowed) {
    m_deployment.SetUpstreamFaults(upstream.Text(), {{"slow_factor", 1}});
  }
  AddLatencies(Scenario::kSlowed, run);
  AddOnce(Scenario::kSlowed, run);
  AddUse(Scenario::kSlowed, run);
}

void ScenarioRunner::RunLongWork() {
  LoadRun without(m_deployment, PlanFor(kShortBusy, 0));
  without.WaitForMeasuredPart();
  without.WaitForLastArrival();
  without.Finish();
  const LoadFigures base = without.Figures(Short());
  Add(Scenario::kLongWork, Metric::kWithoutLongP99Ms,
      base.latency.QuantileMs(0.99, kDeadlineMs));
  Add(Scenario::kLongWork, Metric::kWithoutLongNotRunShare, base.NotRunShare());

  LoadRun with(m_deployment, PlanFor(kShortBusy, kLongShare));
  with.WaitForMeasuredPart();
  ResetOccupancy();
  with.WaitForLastArrival();
  Add(Scenario::kLongWork, Metric::kBusyShare, BusyShare());
  with.Finish();
  AddLatencies(Scenario::kLongWork, with);
  const LoadFigures long_work = with.Figures({Short().service, true});
  Add(Scenario::kLongWork, Metric::kLongP99Ms,
      long_work.latency.QuantileMs(0.99, kDeadlineMs));
  Add(Scenario::kLongWork, Metric::kLongNotRunShare, long_work.NotRunShare());
}

void ScenarioRunner::RunDrain() {
  const UpstreamId drained =
      m_profile.Upstreams(m_profile.Regions()[0].name).back().id;
  LoadRun run(m_deployment, PlanFor(kDrainBusy, 0));
  run.WaitForMeasuredPart();
  const auto before = CountersOf(m_deployment, drained);
  m_deployment.SetUpstreamFaults(drained.Text(), {{"drain", true}});
  run.WaitForLastArrival();
  run.Finish();
  const auto after = CountersOf(m_deployment, drained);
  m_deployment.SetUpstreamFaults(drained.Text(), {{"drain", false}});

  Add(Scenario::kDrain, Metric::kLastArrivalMs,
      after.late_arrivals.empty()
          ? 0
          : static_cast<double>(after.late_arrivals.back().after_drain_ms));
  Add(Scenario::kDrain, Metric::kArrivalsAfterDrain,
      static_cast<double>(after.arrived_after_drain -
                          before.arrived_after_drain));
  Add(Scenario::kDrain, Metric::kCancelledRunning,
      static_cast<double>(after.cancelled_running - before.cancelled_running));
  const LoadFigures figures = run.Figures(Short());
  Add(Scenario::kDrain, Metric::kCutOffRequests,
      static_cast<double>(figures.unknown + figures.failed));
  Add(Scenario::kDrain, Metric::kNotRunRequests,
      static_cast<double>(figures.NotRun()));
  Add(Scenario::kDrain, Metric::kArrivalsBeforeDrain,
      static_cast<double>(before.arrived));
  AddLatencies(Scenario::kDrain, run);
}

void ScenarioRunner::RunHeadroom() {
  const RegionName failed = m_profile.Regions()[0].name;
  // Also before the load, so that work in flight at the second reset has been
  // told apart by region.
  ResetOccupancy();
  LoadRun run(m_deployment, PlanByRegion(kHeadroomBusy));
  run.WaitForMeasuredPart();
  ResetOccupancy();
  for (const UpstreamDeclaration& upstream : m_profile.Upstreams(failed)) {
    m_deployment.SetUpstreamFaults(upstream.id.Text(), {{"down", true}});
  }
  run.WaitForLastArrival();
  AddSpillOver(failed);
  run.Finish();

  const LoadFigures refused = run.Figures(0, Short());
  LoadFigures others;
  for (std::size_t region = 1; region < m_profile.Regions().size(); ++region) {
    others.Add(run.Figures(region, Short()));
  }
  Add(Scenario::kHeadroom, Metric::kRefusedShare, refused.NotRunShare());
  Add(Scenario::kHeadroom, Metric::kRefusedShareOfAll,
      run.Figures(Short()).NotRunShare());
  Add(Scenario::kHeadroom, Metric::kOtherRegionsP99Ms,
      others.latency.QuantileMs(0.99, kDeadlineMs));
  Add(Scenario::kHeadroom, Metric::kOtherRegionsNotRunShare,
      others.NotRunShare());
}

LoadPlan ScenarioRunner::PlanFor(double busy, double long_share) const {
  const double short_rate = m_profile.RateFor(busy, {});
  LoadPlan plan;
  plan.warm_up_s = m_settings.warm_up_s;
  plan.measured_s = m_settings.measured_s;
  plan.deadline_ms = kDeadlineMs;
  plan.caller_delay_us = m_profile.CallerDelayUs();
  // The rate of short work stays the same with long work.
  plan.sources.push_back(
      {Mix(short_rate / (1 - long_share), long_share, kOnceRate),
       m_profile.Callers({}), m_settings.seed, ""});
  return plan;
}

LoadPlan ScenarioRunner::PlanByRegion(double busy) const {
  LoadPlan plan = PlanFor(busy, 0);
  plan.sources.clear();
  const auto regions = static_cast<double>(m_profile.Regions().size());
  for (const RegionDeclaration& region : m_profile.Regions()) {
    plan.sources.push_back(
        {Mix(m_profile.RateFor(busy, region.name), 0, kOnceRate / regions),
         m_profile.Callers(region.name),
         m_settings.seed + plan.sources.size() + 1, ""});
  }
  return plan;
}

std::string ScenarioRunner::Mix(double rate,
                                double long_share,
                                double once_rate) const {
  std::string mix = Short().service + ":rate=" + std::to_string(rate) +
                    ":long=" + std::to_string(long_share);
  for (const ServiceEntry& service : m_profile.NonIdempotent()) {
    mix += "," + service.names.path.front() +
           ":rate=" + std::to_string(once_rate) + ":key";
  }
  return mix;
}

LoadGroup ScenarioRunner::Short() const {
  return {m_profile.Idempotent().names.path.front(), false};
}

void ScenarioRunner::Add(Scenario scenario, Metric metric, double value) {
  m_figures.Add({m_profile.Name(), scenario, m_contender}, metric, value);
}

void ScenarioRunner::AddLatencies(Scenario scenario, const LoadRun& run) {
  const LoadFigures figures = run.Figures(Short());
  Add(scenario, Metric::kP50Ms, figures.latency.QuantileMs(0.5, kDeadlineMs));
  Add(scenario, Metric::kP99Ms, figures.latency.QuantileMs(0.99, kDeadlineMs));
  Add(scenario, Metric::kP999Ms,
      figures.latency.QuantileMs(0.999, kDeadlineMs));
  Add(scenario, Metric::kNotRunShare, figures.NotRunShare());
}

void ScenarioRunner::AddOnce(Scenario scenario, const LoadRun& run) {
  const LoadFigures figures = OnceFigures(run, m_profile);
  Add(scenario, Metric::kOnceP99Ms,
      figures.latency.QuantileMs(0.99, kDeadlineMs));
  Add(scenario, Metric::kOnceNotRunShare, figures.NotRunShare());
}

void ScenarioRunner::AddUse(Scenario scenario, const LoadRun& run) {
  const ProcessorUse& use = run.Use();
  Add(scenario, Metric::kEntryCores, use.entries);
  Add(scenario, Metric::kBusiestEntryCores, use.busiest_entry);
  Add(scenario, Metric::kBusiestUpstreamCores, use.busiest_upstream);
  Add(scenario, Metric::kPlatformCores, use.platform);
  Add(scenario, Metric::kLoadCores, use.busiest_load);
  const auto requests = static_cast<double>(run.Figures(LoadGroup{}).requests);
  Add(scenario, Metric::kEntryUsPerRequest,
      Ratio(use.entries * run.MeasuredSeconds() * 1e6, requests));
}

void ScenarioRunner::ResetOccupancy() {
  for (std::size_t region = 0; region < m_profile.Regions().size(); ++region) {
    m_deployment.ResetOccupancy(
        m_profile.Regions()[region].name.Text(),
        ToJson(emulator::OccupancySettings{
                   std::to_string(m_settings.seed + region + 1),
                   m_profile.HeadroomLimitShare()})
            .as_object());
  }
}

double ScenarioRunner::BusyShare() {
  double busy_us = 0;
  double slot_us = 0;
  for (const RegionDeclaration& region : m_profile.Regions()) {
    const auto reading = FromJson<emulator::OccupancyReading>(
        m_deployment.Occupancy(region.name.Text())
            .at(m_profile.Idempotent().service.Text()));
    busy_us += static_cast<double>(reading.busy_us);
    slot_us += static_cast<double>(reading.slots * reading.elapsed_us);
  }
  return Ratio(busy_us, slot_us);
}

void ScenarioRunner::AddSpillOver(const RegionName& failed) {
  double busy = 0;
  double spill_over = 0;
  double starts = 0;
  double above = 0;
  for (const RegionDeclaration& region : m_profile.Regions()) {
    if (region.name == failed) {
      continue;
    }
    const auto reading = FromJson<emulator::OccupancyReading>(
        m_deployment.Occupancy(region.name.Text())
            .at(m_profile.Idempotent().service.Text()));
    const auto slots = static_cast<double>(reading.slots);
    busy = std::max(
        busy, static_cast<double>(reading.max_busy_at_spill_over) / slots);
    spill_over = std::max(spill_over,
                          static_cast<double>(reading.max_spill_over) / slots);
    starts += static_cast<double>(reading.spill_over_starts);
    above += static_cast<double>(reading.spill_over_starts_above_limit);
  }
  Add(Scenario::kHeadroom, Metric::kBusyShareAtSpillOver, busy);
  Add(Scenario::kHeadroom, Metric::kSpillOverShare, spill_over);
  Add(Scenario::kHeadroom, Metric::kSpillOverStarts, starts);
  Add(Scenario::kHeadroom, Metric::kSpillOverStartsAboveLimit, above);
  Add(Scenario::kHeadroom, Metric::kHeadroomLimitShare,
      m_profile.HeadroomLimitShare());
}

}  // namespace kumquatcove::measure
