#ifndef CAPACITY_LINE_FIT_H_
#define CAPACITY_LINE_FIT_H_

#include <vector>

namespace kumquatcove {

/** One measurement: `y` at size `x`. */
struct FitSample {
  double x = 0;
  double y = 0;
};

/** The line y = intercept + slope * x. */
struct LineFit {
  double slope = 0;
  double intercept = 0;
  /** Root mean square of the samples' distances from the line, in units of y.
   */
  double residual = 0;

  double At(double x) const { return intercept + slope * x; }
};

/** Returns the line of least squares. Precondition: at least two different
 * sizes. */
LineFit FitLine(const std::vector<FitSample>& samples);

}  // namespace kumquatcove

#endif  // CAPACITY_LINE_FIT_H_
