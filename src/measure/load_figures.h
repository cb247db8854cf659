#ifndef MEASURE_LOAD_FIGURES_H_
#define MEASURE_LOAD_FIGURES_H_

#include <cstdint>
#include <map>
#include <string>

#include <boost/json/value.hpp>

#include "measure/latency_distribution.h"

namespace kumquatcove::measure {

/** Which requests of a load report are meant. */
struct LoadGroup {
  /** Name of the service; empty for all services. */
  std::string service;
  bool is_long = false;
};

/** Results of some requests of one or more load tools. */
struct LoadFigures {
  std::uint64_t requests = 0;
  std::uint64_t ran = 0;
  std::uint64_t did_not_run = 0;
  std::uint64_t unknown = 0;
  /** No answer, or not sent by the load tool. */
  std::uint64_t failed = 0;
  std::uint64_t mismatches = 0;
  /** Requests by the reason that was given for not running them. */
  std::map<std::string, std::uint64_t> reasons;
  LatencyDistribution latency;

  void Add(const LoadFigures& other);
  /** Returns the share of requests that did not run, or may not have. */
  double NotRunShare() const;
  std::uint64_t NotRun() const { return requests - ran; }
};

/** Returns the results of a group in a report of the load tool; nothing counted
 * if the report has no such group. Throws std::exception if the report has
 * another form. */
LoadFigures ReadLoadFigures(const boost::json::value& report,
                            const LoadGroup& group);

}  // namespace kumquatcove::measure

#endif  // MEASURE_LOAD_FIGURES_H_
