#ifndef MEASURE_PAGE_REPORT_H_
#define MEASURE_PAGE_REPORT_H_

#include <cstdint>
#include <string>

#include "measure/figure_table.h"
#include "measure/measure_settings.h"

namespace kumquatcove::measure {

/** Circumstances of a measurement. */
struct PageCircumstances {
  std::int32_t repeat = 1;
  double duration_s = 0;
  double warm_up_s = 0;
  std::uint64_t seed = 1;
  unsigned int cores = 1;
  /** Processes ready to run, averaged over the minute before the start. */
  double load_average = 0;
  /** File name of the plot, relative to the page; empty if there is none. */
  std::string plot;
};

/** Returns the Markdown page of a measurement. */
std::string PageReport(const FigureTable& figures,
                       const PageCircumstances& circumstances);

}  // namespace kumquatcove::measure

#endif  // MEASURE_PAGE_REPORT_H_
