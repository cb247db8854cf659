#include "measure/statistics.h"

#include <algorithm>
#include <cassert>
#include <limits>

namespace kumquatcove::measure {

Spread SpreadOf(std::vector<double> values) {
  assert(!values.empty());
  std::sort(values.begin(), values.end());
  const std::size_t middle = values.size() / 2;
  const double median = values.size() % 2 == 1
                            ? values[middle]
                            : (values[middle - 1] + values[middle]) / 2;
  return {median, values.front(), values.back()};
}

double Ratio(double value, double base) {
  if (base == 0) {
    return value == 0 ? 1 : std::numeric_limits<double>::infinity();
  }
  return value / base;
}

}  // namespace kumquatcove::measure
