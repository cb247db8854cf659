#include "measure/number_text.h"

#include <cmath>
#include <iomanip>
#include <sstream>

namespace kumquatcove::measure {

std::string NumberText(double number) {
  if (!std::isfinite(number)) {
    return "none";
  }
  std::ostringstream out;
  const double size = std::fabs(number);
  if (size >= 100) {
    out << std::fixed << std::setprecision(0) << number;
  } else {
    out << std::setprecision(3) << number;
  }
  return out.str();
}

std::string SpreadText(const Spread& spread) {
  if (spread.min == spread.max) {
    return NumberText(spread.median);
  }
  return NumberText(spread.median) + " (" + NumberText(spread.min) + " to " +
         NumberText(spread.max) + ")";
}

}  // namespace kumquatcove::measure
