#include "measure/text_report.h"

#include <iomanip>
#include <sstream>

#include "measure/number_text.h"
#include "measure/target_check.h"

namespace kumquatcove::measure {
namespace {

constexpr int kNameWidth = 32;

}  // namespace

std::string TextReport(const FigureTable& figures) {
  std::ostringstream out;
  for (const FigureKey& key : figures.Keys()) {
    out << ToString(key.deployment) << " " << ToString(key.scenario) << " "
        << ToString(key.contender) << "\n";
    for (const Metric metric : figures.MetricsOf(key)) {
      out << "  " << std::left << std::setw(kNameWidth)
          << std::string(ToString(metric))
          << SpreadText(figures.Find(key, metric).value()) << "\n";
    }
  }
  out << "targets\n";
  for (const TargetResult& result : CheckTargets(figures)) {
    out << "  " << (result.IsMet() ? "met" : "NOT MET") << ": "
        << ToString(result.deployment) << ": " << result.target << ": "
        << NumberText(result.measured) << ", " << ToString(result.rule) << " "
        << NumberText(result.limit) << "\n";
  }
  return out.str();
}

}  // namespace kumquatcove::measure
