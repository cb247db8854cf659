#include "tools/load_report.h"

#include <algorithm>
#include <cassert>
#include <chrono>
#include <cmath>
#include <iomanip>
#include <sstream>

#include <boost/histogram/algorithm/reduce.hpp>
#include <boost/json/object.hpp>

namespace kumquatcove {
namespace {

constexpr double kLowestMs = 0.01;
constexpr double kHighestMs = 120'000;
/** ln(kHighestMs / kLowestMs) / ln(1.01). */
constexpr int kBins = 1640;
/** Reasons come from remote parties, hence the limit. */
constexpr std::size_t kMaxReasons = 64;

struct QuantileRow {
  const char* name;
  double share;
};
constexpr QuantileRow kQuantiles[] = {{"p50", 0.5},
                                      {"p90", 0.9},
                                      {"p99", 0.99},
                                      {"p99.9", 0.999}};

double ToMs(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

double PerSecond(std::uint64_t count, Duration measured) {
  const double seconds = std::chrono::duration<double>(measured).count();
  return seconds <= 0 ? 0 : static_cast<double>(count) / seconds;
}

}  // namespace

LatencyHistogram::LatencyHistogram()
    : m_histogram(std::make_tuple(Axis(kBins, kLowestMs, kHighestMs))) {}

void LatencyHistogram::Add(Duration latency) {
  const double milliseconds = ToMs(latency);
  m_histogram(milliseconds);
  ++m_count;
  m_max_ms = std::max(m_max_ms, milliseconds);
}

void LatencyHistogram::Add(const LatencyHistogram& other) {
  m_histogram += other.m_histogram;
  m_count += other.m_count;
  m_max_ms = std::max(m_max_ms, other.m_max_ms);
}

double LatencyHistogram::QuantileMs(double quantile) const {
  assert(quantile > 0 && quantile <= 1);
  if (m_count == 0) {
    return 0;
  }
  const auto rank = static_cast<std::uint64_t>(
      std::ceil(quantile * static_cast<double>(m_count)));
  std::uint64_t seen = 0;
  // Index -1 holds what lies below the axis.
  for (int bin = -1; bin < kBins; ++bin) {
    seen += m_histogram.at(bin);
    if (seen >= rank) {
      return std::min(m_max_ms, m_histogram.axis().value(bin + 1));
    }
  }
  return m_max_ms;
}

std::vector<LatencyBin> LatencyHistogram::Bins() const {
  std::vector<LatencyBin> bins;
  for (int bin = -1; bin <= kBins; ++bin) {
    const std::uint64_t count = m_histogram.at(bin);
    if (count > 0) {
      bins.push_back(
          {bin == kBins ? m_max_ms : m_histogram.axis().value(bin + 1), count});
    }
  }
  return bins;
}

void LoadReport::Add(const LoadResult& result) {
  AddTo(m_total, result);
  AddTo(m_groups[{result.service, result.is_long}], result);
}

void LoadReport::AddTo(Tally& tally, const LoadResult& result) {
  ++tally.requests;
  ++tally.outcomes[result.outcome];
  tally.attempts += static_cast<std::uint64_t>(result.attempts);
  if (result.is_mismatch) {
    ++tally.mismatches;
  }
  if (!result.reason.empty() && (tally.reasons.size() < kMaxReasons ||
                                 tally.reasons.count(result.reason) != 0)) {
    ++tally.reasons[result.reason];
  }
  if (result.outcome == LoadOutcome::kRan) {
    tally.latency.Add(result.latency);
  }
}

std::uint64_t LoadReport::Count(LoadOutcome outcome) const {
  const auto found = m_total.outcomes.find(outcome);
  return found == m_total.outcomes.end() ? 0 : found->second;
}

boost::json::object LoadReport::TallyJson(const Tally& tally,
                                          Duration measured) {
  boost::json::object outcomes;
  for (const auto& [outcome, count] : tally.outcomes) {
    outcomes[ToString(outcome)] = count;
  }
  boost::json::object reasons;
  for (const auto& [reason, count] : tally.reasons) {
    reasons[reason] = count;
  }
  boost::json::object latency;
  for (const QuantileRow& row : kQuantiles) {
    latency[row.name] = tally.latency.QuantileMs(row.share);
  }
  latency["max"] = tally.latency.MaxMs();
  boost::json::array bins;
  for (const LatencyBin& bin : tally.latency.Bins()) {
    bins.push_back(boost::json::array{bin.upper_ms, bin.count});
  }
  return {{"requests", tally.requests},
          {"requests_per_second", PerSecond(tally.requests, measured)},
          {"attempts", tally.attempts},
          {"mismatches", tally.mismatches},
          {"outcomes", std::move(outcomes)},
          {"reasons", std::move(reasons)},
          {"latency_ms", std::move(latency)},
          {"latency_bins", std::move(bins)}};
}

std::string LoadReport::TallyText(const Tally& tally, Duration measured) {
  std::ostringstream out;
  out << std::fixed << std::setprecision(1) << tally.requests << " requests, "
      << PerSecond(tally.requests, measured) << "/s, " << tally.attempts
      << " attempts, " << tally.mismatches << " mismatches\n  outcomes:";
  for (const auto& [outcome, count] : tally.outcomes) {
    out << ' ' << ToString(outcome) << '=' << count;
  }
  if (!tally.reasons.empty()) {
    out << "\n  reasons:";
    for (const auto& [reason, count] : tally.reasons) {
      out << ' ' << reason << '=' << count;
    }
  }
  out << "\n  latency ms:" << std::setprecision(2);
  for (const QuantileRow& row : kQuantiles) {
    out << ' ' << row.name << '=' << tally.latency.QuantileMs(row.share);
  }
  out << " max=" << tally.latency.MaxMs() << '\n';
  return out.str();
}

std::string LoadReport::ToText(Duration measured) const {
  std::string text = "total: " + TallyText(m_total, measured);
  for (const auto& [group, tally] : m_groups) {
    text += group.service + (group.is_long ? " long: " : " short: ") +
            TallyText(tally, measured);
  }
  return text;
}

boost::json::value LoadReport::ToJson(Duration measured) const {
  boost::json::array groups;
  for (const auto& [group, tally] : m_groups) {
    boost::json::object json = TallyJson(tally, measured);
    json["service"] = group.service;
    json["long"] = group.is_long;
    groups.push_back(std::move(json));
  }
  return boost::json::object{{"total", TallyJson(m_total, measured)},
                             {"groups", std::move(groups)}};
}

}  // namespace kumquatcove
