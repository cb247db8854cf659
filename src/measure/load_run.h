#ifndef MEASURE_LOAD_RUN_H_
#define MEASURE_LOAD_RUN_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include <boost/json/value.hpp>

#include "deployment/local_deployment.h"
#include "measure/load_figures.h"

namespace kumquatcove::measure {

/** One load tool. */
struct LoadSource {
  /** Services and rates, as `--mix` of the load tool. */
  std::string mix;
  std::vector<std::string> clients;
  std::uint64_t seed = 1;
  /** Sent to this address without look-ups, unless empty. */
  std::string direct;
};

/** Load of one scenario. */
struct LoadPlan {
  std::vector<LoadSource> sources;
  double warm_up_s = 2;
  double measured_s = 5;
  std::int64_t deadline_ms = 5'000;
  std::int64_t caller_delay_us = 0;
};

/** Processor time used in the measured part, in cores. */
struct ProcessorUse {
  double entries = 0;
  double busiest_entry = 0;
  double busiest_upstream = 0;
  double platform = 0;
  double busiest_load = 0;
};

/**
 * Load tools that run against a deployment.
 *
 * Thread safety: none, but runs on several deployments may go on in several
 * threads.
 */
class LoadRun {
 public:
  /** Starts the load tools. Throws DeploymentError. */
  LoadRun(LocalDeployment& deployment, LoadPlan plan);

  /** Blocks until the measured part begins. */
  void WaitForMeasuredPart();
  /** Blocks until all requests have been sent, then takes the processor times.
   * Precondition: WaitForMeasuredPart was called. */
  void WaitForLastArrival();
  /** Blocks until all requests are answered. Throws DeploymentError if a load
   * tool fails. */
  void Finish();

  /** Returns the results of a load tool, by its position in the plan.
   * Precondition: Finish was called. */
  LoadFigures Figures(std::size_t source, const LoadGroup& group) const;
  /** Returns the results of all load tools. */
  LoadFigures Figures(const LoadGroup& group) const;
  const ProcessorUse& Use() const { return m_use; }
  double MeasuredSeconds() const { return m_plan.measured_s; }

 private:
  /** Processor times since the starts of the processes, in seconds. */
  struct Times {
    std::chrono::steady_clock::time_point taken;
    std::vector<double> entries;
    std::vector<double> upstreams;
    std::vector<double> loads;
    double platform = 0;
  };
  Times ReadTimes();
  void WaitUntil(double seconds_after_start) const;

  LocalDeployment& m_deployment;
  LoadPlan m_plan;
  std::chrono::steady_clock::time_point m_start;
  std::vector<ChildProcess> m_loads;
  std::vector<std::string> m_files;
  std::vector<boost::json::value> m_reports;
  Times m_begin;
  ProcessorUse m_use;
};

}  // namespace kumquatcove::measure

#endif  // MEASURE_LOAD_RUN_H_
