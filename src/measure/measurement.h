#ifndef MEASURE_MEASUREMENT_H_
#define MEASURE_MEASUREMENT_H_

#include <functional>
#include <string>

#include "measure/figure_table.h"
#include "measure/measure_settings.h"

namespace kumquatcove::measure {

/**
 * Runs all repetitions, contenders and scenarios.
 *
 * The users' deployments are measured at the same time, each in a thread of its
 * own; the contenders of one deployment run one after the other. Thread safety:
 * none.
 */
class Measurement {
 public:
  /** Told of each step; called from several threads, one at a time. */
  using Progress = std::function<void(const std::string&)>;

  Measurement(MeasureSettings settings, Progress progress);

  /** Blocks until all is measured. Throws DeploymentError or
   * MeasureSettingsError. */
  FigureTable Run();

 private:
  FigureTable RunDeployment(DeploymentName name, int first_port);

  MeasureSettings m_settings;
  Progress m_progress;
};

}  // namespace kumquatcove::measure

#endif  // MEASURE_MEASUREMENT_H_
