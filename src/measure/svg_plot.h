#ifndef MEASURE_SVG_PLOT_H_
#define MEASURE_SVG_PLOT_H_

#include <string>

#include "measure/figure_table.h"

namespace kumquatcove::measure {

/** Returns an SVG document with the p99 of each scenario, deployment and
 * contender on a logarithmic axis: a mark at the median, a line from the least
 * to the greatest value. */
std::string PlotLatencies(const FigureTable& figures);

}  // namespace kumquatcove::measure

#endif  // MEASURE_SVG_PLOT_H_
