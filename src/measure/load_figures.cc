#include "measure/load_figures.h"

#include "base/enum_table.h"
#include "measure/statistics.h"
#include "tools/load_report.h"

namespace kumquatcove::measure {
namespace {

std::uint64_t Outcomes(const boost::json::value& tally, LoadOutcome outcome) {
  const auto* count =
      tally.at("outcomes").as_object().if_contains(ToString(outcome));
  return count == nullptr ? 0 : count->to_number<std::uint64_t>();
}

LoadFigures ReadTally(const boost::json::value& tally) {
  LoadFigures figures;
  figures.requests = tally.at("requests").to_number<std::uint64_t>();
  figures.mismatches = tally.at("mismatches").to_number<std::uint64_t>();
  figures.ran = Outcomes(tally, LoadOutcome::kRan);
  figures.did_not_run = Outcomes(tally, LoadOutcome::kDidNotRun);
  figures.unknown = Outcomes(tally, LoadOutcome::kUnknown);
  figures.failed = Outcomes(tally, LoadOutcome::kFailed) +
                   Outcomes(tally, LoadOutcome::kNotSent);
  for (const auto& reason : tally.at("reasons").as_object()) {
    figures.reasons[std::string(reason.key())] =
        reason.value().to_number<std::uint64_t>();
  }
  for (const auto& bin : tally.at("latency_bins").as_array()) {
    figures.latency.Add(bin.at(0).to_number<double>(),
                        bin.at(1).to_number<std::uint64_t>());
  }
  figures.latency.AddNotRun(figures.NotRun());
  return figures;
}

}  // namespace

void LoadFigures::Add(const LoadFigures& other) {
  requests += other.requests;
  ran += other.ran;
  did_not_run += other.did_not_run;
  unknown += other.unknown;
  failed += other.failed;
  mismatches += other.mismatches;
  for (const auto& [reason, count] : other.reasons) {
    reasons[reason] += count;
  }
  latency.Add(other.latency);
}

double LoadFigures::NotRunShare() const {
  return requests == 0 ? 0
                       : Ratio(static_cast<double>(NotRun()),
                               static_cast<double>(requests));
}

LoadFigures ReadLoadFigures(const boost::json::value& report,
                            const LoadGroup& group) {
  if (group.service.empty()) {
    return ReadTally(report.at("total"));
  }
  for (const auto& tally : report.at("groups").as_array()) {
    if (tally.at("service").as_string() == group.service &&
        tally.at("long").as_bool() == group.is_long) {
      return ReadTally(tally);
    }
  }
  return {};
}

}  // namespace kumquatcove::measure
