#ifndef MEASURE_STATISTICS_H_
#define MEASURE_STATISTICS_H_

#include <vector>

namespace kumquatcove::measure {

/** Median and spread of the values of repeated runs. */
struct Spread {
  double median = 0;
  double min = 0;
  double max = 0;
  friend bool operator==(const Spread&, const Spread&) = default;
};

/** Precondition: `values` is not empty. The median of an even number of values
 * is the mean of the two in the middle. */
Spread SpreadOf(std::vector<double> values);

/** Returns `value / base`; infinity if only `base` is 0, and 1 if both are. */
double Ratio(double value, double base);

}  // namespace kumquatcove::measure

#endif  // MEASURE_STATISTICS_H_
