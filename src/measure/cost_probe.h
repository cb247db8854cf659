#ifndef MEASURE_COST_PROBE_H_
#define MEASURE_COST_PROBE_H_

#include <cstdint>
#include <string>

#include "measure/deployment_profile.h"
#include "measure/figure_table.h"

namespace kumquatcove::measure {

/**
 * Measures what one entry instance adds to a request, and the processor time of
 * a request and of a look-up.
 *
 * Uses a deployment of its own with one entry instance, no delays and upstreams
 * that answer at once, so that only the cost of the entry instance remains.
 * Throws DeploymentError.
 */
void RunCostProbe(const DeploymentProfile& profile,
                  LocalDeploymentSettings settings,
                  double measured_s,
                  std::uint64_t seed,
                  FigureTable& figures);

}  // namespace kumquatcove::measure

#endif  // MEASURE_COST_PROBE_H_
