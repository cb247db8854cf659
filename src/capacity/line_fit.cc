#include "capacity/line_fit.h"

#include <cassert>
#include <cmath>

namespace kumquatcove {

LineFit FitLine(const std::vector<FitSample>& samples) {
  const auto count = static_cast<double>(samples.size());
  double mean_x = 0;
  double mean_y = 0;
  for (const FitSample& sample : samples) {
    mean_x += sample.x / count;
    mean_y += sample.y / count;
  }
  double covariance = 0;
  double variance = 0;
  for (const FitSample& sample : samples) {
    covariance += (sample.x - mean_x) * (sample.y - mean_y);
    variance += (sample.x - mean_x) * (sample.x - mean_x);
  }
  assert(variance > 0);
  LineFit fit;
  fit.slope = covariance / variance;
  fit.intercept = mean_y - fit.slope * mean_x;
  double squares = 0;
  for (const FitSample& sample : samples) {
    squares += std::pow(sample.y - fit.At(sample.x), 2);
  }
  fit.residual = std::sqrt(squares / count);
  return fit;
}

}  // namespace kumquatcove
