#include "measure/figure_table.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value_from.hpp>

namespace kumquatcove::measure {

void FigureTable::Add(const FigureKey& key, Metric metric, double value) {
  m_values[key][metric].push_back(value);
}

void FigureTable::Add(const FigureTable& other) {
  for (const auto& [key, metrics] : other.m_values) {
    for (const auto& [metric, values] : metrics) {
      std::vector<double>& all = m_values[key][metric];
      all.insert(all.end(), values.begin(), values.end());
    }
  }
}

std::optional<Spread> FigureTable::Find(const FigureKey& key,
                                        Metric metric) const {
  const auto metrics = m_values.find(key);
  if (metrics == m_values.end()) {
    return std::nullopt;
  }
  const auto values = metrics->second.find(metric);
  return values == metrics->second.end()
             ? std::nullopt
             : std::optional(SpreadOf(values->second));
}

std::vector<Metric> FigureTable::MetricsOf(const FigureKey& key) const {
  std::vector<Metric> metrics;
  const auto found = m_values.find(key);
  if (found != m_values.end()) {
    for (const auto& [metric, values] : found->second) {
      metrics.push_back(metric);
    }
  }
  return metrics;
}

std::vector<FigureKey> FigureTable::Keys() const {
  std::vector<FigureKey> keys;
  for (const auto& [key, metrics] : m_values) {
    keys.push_back(key);
  }
  return keys;
}

std::optional<Contender> FigureTable::BestBaseline(FigureKey key,
                                                   Metric metric) const {
  std::optional<Contender> best;
  double lowest = 0;
  for (const Contender contender : AllValues<Contender>()) {
    key.contender = contender;
    const auto spread = Find(key, metric);
    if (contender != Contender::kSystem && spread &&
        (!best || spread->median < lowest)) {
      best = contender;
      lowest = spread->median;
    }
  }
  return best;
}

boost::json::value FigureTable::ToJson() const {
  boost::json::array figures;
  for (const auto& [key, metrics] : m_values) {
    boost::json::object members;
    for (const auto& [metric, values] : metrics) {
      const Spread spread = SpreadOf(values);
      members[ToString(metric)] =
          boost::json::object{{"median", spread.median},
                              {"min", spread.min},
                              {"max", spread.max},
                              {"values", boost::json::value_from(values)}};
    }
    figures.push_back(
        boost::json::object{{"deployment", ToString(key.deployment)},
                            {"scenario", ToString(key.scenario)},
                            {"contender", ToString(key.contender)},
                            {"metrics", std::move(members)}});
  }
  return figures;
}

}  // namespace kumquatcove::measure
