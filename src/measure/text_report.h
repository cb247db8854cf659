#ifndef MEASURE_TEXT_REPORT_H_
#define MEASURE_TEXT_REPORT_H_

#include <string>

#include "measure/figure_table.h"

namespace kumquatcove::measure {

/** Returns all figures, a line for each, and the targets. */
std::string TextReport(const FigureTable& figures);

}  // namespace kumquatcove::measure

#endif  // MEASURE_TEXT_REPORT_H_
