#ifndef CAPACITY_CAPACITY_PAGE_H_
#define CAPACITY_CAPACITY_PAGE_H_

#include <string>

#include "capacity/figure_table.h"

namespace kumquatcove {

/** Returns the text of `docs/CAPACITY.md`. Precondition: ComputeRoles was
 * called. Throws std::out_of_range if a figure is missing. */
std::string MakeCapacityPage(const FigureTable& figures);

}  // namespace kumquatcove

#endif  // CAPACITY_CAPACITY_PAGE_H_
