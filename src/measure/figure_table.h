#ifndef MEASURE_FIGURE_TABLE_H_
#define MEASURE_FIGURE_TABLE_H_

#include <map>
#include <optional>
#include <vector>

#include <boost/json/value.hpp>

#include "measure/measure_settings.h"
#include "measure/metric.h"
#include "measure/statistics.h"

namespace kumquatcove::measure {

/** What was measured on whom. */
struct FigureKey {
  DeploymentName deployment = DeploymentName::kTintorera;
  Scenario scenario = Scenario::kHealthy;
  Contender contender = Contender::kSystem;
  friend auto operator<=>(const FigureKey&, const FigureKey&) = default;
};

/** All measured values, one of each metric for each repetition. Thread safety:
 * none. */
class FigureTable {
 public:
  void Add(const FigureKey& key, Metric metric, double value);
  void Add(const FigureTable& other);

  /** Returns median and spread, if the metric was measured. */
  std::optional<Spread> Find(const FigureKey& key, Metric metric) const;

  /** Returns the metrics measured for a key, in the order of the enumeration.
   */
  std::vector<Metric> MetricsOf(const FigureKey& key) const;
  std::vector<FigureKey> Keys() const;

  /** Returns the baseline whose median of `metric` is lowest, if any was
   * measured. `key.contender` is ignored. */
  std::optional<Contender> BestBaseline(FigureKey key, Metric metric) const;

  /** Returns a list of objects with `deployment`, `scenario`, `contender` and
   * `metrics` (median, min, max and values of each). */
  boost::json::value ToJson() const;

 private:
  std::map<FigureKey, std::map<Metric, std::vector<double>>> m_values;
};

}  // namespace kumquatcove::measure

#endif  // MEASURE_FIGURE_TABLE_H_
