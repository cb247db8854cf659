#include "measure/load_run.h"

#include <algorithm>
#include <atomic>
#include <cassert>
#include <mutex>
#include <thread>
#include <utility>

#include <absl/strings/str_join.h>

#include "measure/process_start.h"

namespace kumquatcove::measure {
namespace {

/** Callers with look-ups of their own, for each address in the plan. */
constexpr std::size_t kCallersPerAddress = 2;
/** How much longer than the deadline the load tools may take. */
constexpr double kEndGraceS = 30;
constexpr auto kPollInterval = std::chrono::milliseconds(20);

std::vector<std::string> Arguments(const LoadPlan& plan,
                                   const LoadSource& source) {
  std::vector<std::string> arguments{
      "--mix=" + source.mix,
      "--duration_s=" + std::to_string(plan.warm_up_s + plan.measured_s),
      "--warm_up_s=" + std::to_string(plan.warm_up_s),
      "--deadline_ms=" + std::to_string(plan.deadline_ms),
      "--caller_delay_us=" + std::to_string(plan.caller_delay_us),
      "--seed=" + std::to_string(source.seed)};
  if (!source.clients.empty()) {
    arguments.push_back("--clients=" + absl::StrJoin(source.clients, ","));
    arguments.push_back("--callers=" + std::to_string(source.clients.size() *
                                                      kCallersPerAddress));
  }
  if (!source.direct.empty()) {
    arguments.push_back("--direct=" + source.direct);
  }
  return arguments;
}

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

/** Returns the rates of use between two readings, in cores. */
std::vector<double> Rates(const std::vector<double>& begin,
                          const std::vector<double>& end,
                          double elapsed_s) {
  std::vector<double> rates;
  for (std::size_t i = 0; i < std::min(begin.size(), end.size()); ++i) {
    rates.push_back((end[i] - begin[i]) / elapsed_s);
  }
  return rates;
}

double Greatest(const std::vector<double>& values) {
  return values.empty() ? 0 : *std::max_element(values.begin(), values.end());
}

}  // namespace

LoadRun::LoadRun(LocalDeployment& deployment, LoadPlan plan)
    : m_deployment(deployment), m_plan(std::move(plan)) {
  static std::atomic<int> run_count = 0;
  const int run = ++run_count;
  const std::lock_guard lock(ProcessStartMutex());
  for (const LoadSource& source : m_plan.sources) {
    m_files.push_back(deployment.WorkFolder() + "/load-" + std::to_string(run) +
                      "-" + std::to_string(m_files.size()) + ".json");
    m_loads.push_back(
        deployment.StartLoad(Arguments(m_plan, source), m_files.back()));
  }
  m_start = std::chrono::steady_clock::now();
}

void LoadRun::WaitForMeasuredPart() {
  WaitUntil(m_plan.warm_up_s);
  m_begin = ReadTimes();
}

void LoadRun::WaitForLastArrival() {
  WaitUntil(m_plan.warm_up_s + m_plan.measured_s);
  const Times end = ReadTimes();
  const double elapsed_s =
      std::chrono::duration<double>(end.taken - m_begin.taken).count();
  const std::vector<double> entries =
      Rates(m_begin.entries, end.entries, elapsed_s);
  for (const double entry : entries) {
    m_use.entries += entry;
  }
  m_use.busiest_entry = Greatest(entries);
  m_use.busiest_upstream =
      Greatest(Rates(m_begin.upstreams, end.upstreams, elapsed_s));
  m_use.busiest_load = Greatest(Rates(m_begin.loads, end.loads, elapsed_s));
  m_use.platform = (end.platform - m_begin.platform) / elapsed_s;
}

void LoadRun::Finish() {
  const double limit_s = m_plan.warm_up_s + m_plan.measured_s +
                         static_cast<double>(m_plan.deadline_ms) / 1000 +
                         kEndGraceS;
  const auto limit = m_start + std::chrono::duration<double>(limit_s);
  for (std::size_t i = 0; i < m_loads.size(); ++i) {
    while (m_loads[i].IsRunning()) {
      if (std::chrono::steady_clock::now() > limit) {
        throw DeploymentError("a load tool doesn't end; see " + m_files[i]);
      }
      std::this_thread::sleep_for(kPollInterval);
    }
    if (m_loads[i].ExitCode() == 1) {
      throw DeploymentError("a load tool failed; see " + m_files[i]);
    }
    m_reports.push_back(ReadReport(m_files[i]));
  }
}

LoadFigures LoadRun::Figures(std::size_t source, const LoadGroup& group) const {
  assert(source < m_reports.size());
  return ReadLoadFigures(m_reports[source], group);
}

LoadFigures LoadRun::Figures(const LoadGroup& group) const {
  LoadFigures figures;
  for (const boost::json::value& report : m_reports) {
    figures.Add(ReadLoadFigures(report, group));
  }
  return figures;
}

LoadRun::Times LoadRun::ReadTimes() {
  Times times;
  times.taken = std::chrono::steady_clock::now();
  for (const InstanceId& instance : m_deployment.Instances()) {
    times.entries.push_back(
        Seconds(m_deployment.Process(instance).ProcessorTime()));
  }
  for (const std::string& region : m_deployment.Regions()) {
    times.upstreams.push_back(
        Seconds(m_deployment.UpstreamProcess(region).ProcessorTime()));
  }
  for (const ChildProcess& load : m_loads) {
    times.loads.push_back(Seconds(load.ProcessorTime()));
  }
  times.platform = Seconds(m_deployment.PlatformProcess().ProcessorTime());
  return times;
}

void LoadRun::WaitUntil(double seconds_after_start) const {
  std::this_thread::sleep_until(
      m_start + std::chrono::duration<double>(seconds_after_start));
}

}  // namespace kumquatcove::measure
