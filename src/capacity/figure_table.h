#ifndef CAPACITY_FIGURE_TABLE_H_
#define CAPACITY_FIGURE_TABLE_H_

#include <map>
#include <string>
#include <vector>

#include "capacity/line_fit.h"

namespace kumquatcove {

/** A fitted line with the measurements that it was fitted to. */
struct FittedFigure {
  /** What `x` counts, such as `members`. */
  std::string x_unit;
  std::string y_unit;
  std::vector<FitSample> samples;
  LineFit fit;
};

/**
 * Measured and computed figures by name.
 *
 * Thread safety: none.
 */
class FigureTable {
 public:
  /** Sets a single figure. */
  void Set(const std::string& name, double value) { m_values[name] = value; }

  /** Fits a line to `samples` and keeps both. Precondition: at least two
   * different sizes. */
  void SetFit(const std::string& name,
              std::string x_unit,
              std::string y_unit,
              std::vector<FitSample> samples);

  /** Returns a figure. Throws std::out_of_range with the name if there is none.
   */
  double Get(const std::string& name) const;
  const FittedFigure& GetFit(const std::string& name) const;

  /** Returns the measurement of a fit at a measured size. Throws
   * std::out_of_range. */
  double Sample(const std::string& name, double x) const;

  const std::map<std::string, double>& Values() const { return m_values; }
  const std::map<std::string, FittedFigure>& Fits() const { return m_fits; }

  /** Returns all figures as JSON text. */
  std::string ToJsonText() const;

 private:
  std::map<std::string, double> m_values;
  std::map<std::string, FittedFigure> m_fits;
};

}  // namespace kumquatcove

#endif  // CAPACITY_FIGURE_TABLE_H_
