#include "capacity/figure_table.h"

#include <stdexcept>
#include <utility>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace kumquatcove {

void FigureTable::SetFit(const std::string& name,
                         std::string x_unit,
                         std::string y_unit,
                         std::vector<FitSample> samples) {
  const LineFit fit = FitLine(samples);
  m_fits[name] = {std::move(x_unit), std::move(y_unit), std::move(samples),
                  fit};
}

double FigureTable::Get(const std::string& name) const {
  const auto found = m_values.find(name);
  if (found == m_values.end()) {
    throw std::out_of_range("no figure " + name);
  }
  return found->second;
}

const FittedFigure& FigureTable::GetFit(const std::string& name) const {
  const auto found = m_fits.find(name);
  if (found == m_fits.end()) {
    throw std::out_of_range("no fit " + name);
  }
  return found->second;
}

double FigureTable::Sample(const std::string& name, double x) const {
  for (const FitSample& sample : GetFit(name).samples) {
    if (sample.x == x) {
      return sample.y;
    }
  }
  throw std::out_of_range("no sample of " + name + " at " + std::to_string(x));
}

std::string FigureTable::ToJsonText() const {
  boost::json::object values;
  for (const auto& [name, value] : m_values) {
    values[name] = value;
  }
  boost::json::object fits;
  for (const auto& [name, figure] : m_fits) {
    boost::json::array samples;
    for (const FitSample& sample : figure.samples) {
      samples.push_back(boost::json::array{sample.x, sample.y});
    }
    fits[name] = boost::json::object{{"x_unit", figure.x_unit},
                                     {"y_unit", figure.y_unit},
                                     {"samples", samples},
                                     {"slope", figure.fit.slope},
                                     {"intercept", figure.fit.intercept},
                                     {"residual", figure.fit.residual}};
  }
  return boost::json::serialize(
             boost::json::object{{"figures", values}, {"fits", fits}}) +
         "\n";
}

}  // namespace kumquatcove
