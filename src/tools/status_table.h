#ifndef TOOLS_STATUS_TABLE_H_
#define TOOLS_STATUS_TABLE_H_

#include <string>
#include <vector>

#include "protocol/status_report.h"

namespace kumquatcove {

/** Returns a table with one line for each report: its instance, and what an
 * operator looks at first. */
std::string StatusTable(const std::vector<StatusReport>& reports);

}  // namespace kumquatcove

#endif  // TOOLS_STATUS_TABLE_H_
