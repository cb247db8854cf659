#ifndef TOOLS_LOAD_REPORT_H_
#define TOOLS_LOAD_REPORT_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <boost/json/value.hpp>

#include "base/clock_reading.h"
#include "base/enum_table.h"

namespace kumquatcove {

/** How a request ended, as a caller sees it. */
enum class LoadOutcome {
  kRan,
  kDidNotRun,
  kUnknown,
  /** No entry instance answered. */
  kFailed,
  /** Not sent, because too many requests were unanswered. */
  kNotSent,
};

constexpr auto EnumNames(LoadOutcome) {
  using Row = EnumName<LoadOutcome>;
  return std::array{Row{LoadOutcome::kRan, "ran"},
                    Row{LoadOutcome::kDidNotRun, "did-not-run"},
                    Row{LoadOutcome::kUnknown, "unknown"},
                    Row{LoadOutcome::kFailed, "failed"},
                    Row{LoadOutcome::kNotSent, "not-sent"}};
}

/** One finished request. */
struct LoadResult {
  std::string service;
  bool is_long = false;
  LoadOutcome outcome = LoadOutcome::kFailed;
  /** Reason that the entry instance gave; empty if it ran. */
  std::string reason;
  /** Time since the intended arrival, so that delays of the load tool and of
   * requests before this one count. */
  Duration latency{0};
  /** Whether the answer was another request's or not whole. */
  bool is_mismatch = false;
  std::int32_t attempts = 0;
};

/** Latencies of one bin of a LatencyHistogram. */
struct LatencyBin {
  double upper_ms = 0;
  std::uint64_t count = 0;
};

/** Distribution of latencies with a resolution of 1%, in bounded memory.
 * Thread safety: none. */
class LatencyHistogram {
 public:
  LatencyHistogram();

  void Add(Duration latency);
  void Add(const LatencyHistogram& other);

  /** Returns the latency below which the share `quantile` lies, in
   * milliseconds; 0 if there is none. Precondition: 0 < quantile <= 1. */
  double QuantileMs(double quantile) const;
  double MaxMs() const { return m_max_ms; }
  std::uint64_t Count() const { return m_count; }
  /** Returns the bins that hold latencies, in ascending order. */
  std::vector<LatencyBin> Bins() const;

 private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using Histogram = boost::histogram::histogram<
      std::tuple<Axis>,
      boost::histogram::dense_storage<std::uint64_t>>;

  Histogram m_histogram;
  std::uint64_t m_count = 0;
  double m_max_ms = 0;
};

/** Results of requests, by service and length of work. Thread safety: none. */
class LoadReport {
 public:
  void Add(const LoadResult& result);

  /** Returns the report for people; rates are over `measured`. */
  std::string ToText(Duration measured) const;

  /** Returns the report as an object with the members `total` and `groups`. */
  boost::json::value ToJson(Duration measured) const;

  std::uint64_t Requests() const { return m_total.requests; }
  std::uint64_t Mismatches() const { return m_total.mismatches; }
  /** Returns how many requests ended so. */
  std::uint64_t Count(LoadOutcome outcome) const;

 private:
  struct Tally {
    std::uint64_t requests = 0;
    std::uint64_t mismatches = 0;
    std::uint64_t attempts = 0;
    std::map<LoadOutcome, std::uint64_t> outcomes;
    std::map<std::string, std::uint64_t> reasons;
    /** Latencies of the requests that ran. */
    LatencyHistogram latency;
  };
  struct Group {
    std::string service;
    bool is_long = false;
    friend auto operator<=>(const Group&, const Group&) = default;
  };

  static void AddTo(Tally& tally, const LoadResult& result);
  static boost::json::object TallyJson(const Tally& tally, Duration measured);
  static std::string TallyText(const Tally& tally, Duration measured);

  Tally m_total;
  std::map<Group, Tally> m_groups;
};

}  // namespace kumquatcove

#endif  // TOOLS_LOAD_REPORT_H_
