#ifndef MEASURE_NUMBER_TEXT_H_
#define MEASURE_NUMBER_TEXT_H_

#include <string>

#include "measure/statistics.h"

namespace kumquatcove::measure {

/** Returns a number with three significant digits, or without decimals from 100
 * on; `none` if it isn't finite. */
std::string NumberText(double number);

/** Returns `median (min to max)`; only the median if all are equal. */
std::string SpreadText(const Spread& spread);

}  // namespace kumquatcove::measure

#endif  // MEASURE_NUMBER_TEXT_H_
