#include "runtime/metrics.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <mutex>
#include <sstream>
#include <tuple>

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

namespace kumquatcove {

namespace {

namespace histogram = boost::histogram;

constexpr std::size_t kMaxServices = 256;
/** Buckets from 0.1 ms to 100 s, each 12% wider than the previous one. */
constexpr int kBuckets = 120;
constexpr double kFirstBucketSeconds = 1e-4;
constexpr double kLastBucketSeconds = 100;
constexpr std::array<double, 4> kQuantiles = {0.5, 0.9, 0.99, 0.999};
constexpr double kMicrosecondsPerSecond = 1e6;

using LatencyAxis =
    histogram::axis::regular<double, histogram::axis::transform::log>;
using LatencyHistogram = decltype(histogram::make_histogram(
    LatencyAxis(kBuckets, kFirstBucketSeconds, kLastBucketSeconds)));

struct Latency {
  LatencyHistogram buckets = histogram::make_histogram(
      LatencyAxis(kBuckets, kFirstBucketSeconds, kLastBucketSeconds));
  std::uint64_t count = 0;
  double sum_seconds = 0;
};

/** Returns the upper bound of the bucket that contains the quantile. */
double Quantile(const Latency& latency, double quantile) {
  const double target_count = quantile * static_cast<double>(latency.count);
  double cumulative_count = 0;
  const auto& axis = latency.buckets.axis(0);
  for (int i = -1; i <= axis.size(); ++i) {
    cumulative_count += static_cast<double>(latency.buckets.at(i));
    if (cumulative_count >= target_count) {
      return i < 0 ? kFirstBucketSeconds
                   : std::min(axis.bin(std::min(i, axis.size() - 1)).upper(),
                              kLastBucketSeconds);
    }
  }
  return kLastBucketSeconds;
}

std::string EscapeLabel(std::string_view text) {
  std::string result;
  for (const char c : text) {
    if (c == '"' || c == '\\') {
      result += '\\';
    }
    result += c >= ' ' && c < '\x7f' ? c : '_';
  }
  return result;
}

}  // namespace

class Metrics::Implementation {
 public:
  std::string Label(std::string_view service) const {
    const std::string label = EscapeLabel(service.substr(0, 64));
    return m_latencies.contains(label) || m_latencies.size() < kMaxServices
               ? label
               : "other";
  }

  mutable std::mutex m_mutex;
  std::map<std::string, Latency> m_latencies;
  std::map<std::tuple<std::string, Outcome, RefusalReason>, std::uint64_t>
      m_requests;
  std::map<std::string, std::uint64_t, std::less<>> m_counters;
  std::map<std::string, std::int64_t, std::less<>> m_values;
};

Metrics::Metrics() : m_implementation(std::make_unique<Implementation>()) {}

Metrics::~Metrics() = default;

void Metrics::CountRequest(std::string_view service,
                           Outcome outcome,
                           RefusalReason reason,
                           Duration latency) {
  const std::lock_guard lock(m_implementation->m_mutex);
  const std::string label = m_implementation->Label(service);
  Latency& series = m_implementation->m_latencies[label];
  const double seconds =
      static_cast<double>(latency.count()) / kMicrosecondsPerSecond;
  series.buckets(seconds);
  ++series.count;
  series.sum_seconds += seconds;
  ++m_implementation->m_requests[{label, outcome, reason}];
}

void Metrics::Add(std::string_view name, std::uint64_t count) {
  const std::lock_guard lock(m_implementation->m_mutex);
  m_implementation->m_counters[std::string(name)] += count;
}

void Metrics::Set(std::string_view name, std::int64_t value) {
  const std::lock_guard lock(m_implementation->m_mutex);
  m_implementation->m_values[std::string(name)] = value;
}

std::string Metrics::Format() const {
  const std::lock_guard lock(m_implementation->m_mutex);
  std::ostringstream out;
  out << "# TYPE kumquatcove_requests_total counter\n";
  for (const auto& [key, count] : m_implementation->m_requests) {
    out << "kumquatcove_requests_total{service=\"" << std::get<0>(key)
        << "\",outcome=\"" << ToString(std::get<1>(key)) << "\",reason=\""
        << ToString(std::get<2>(key)) << "\"} " << count << '\n';
  }
  out << "# TYPE kumquatcove_request_seconds summary\n";
  for (const auto& [label, latency] : m_implementation->m_latencies) {
    for (const double quantile : kQuantiles) {
      out << "kumquatcove_request_seconds{service=\"" << label
          << "\",quantile=\"" << quantile << "\"} "
          << Quantile(latency, quantile) << '\n';
    }
    out << "kumquatcove_request_seconds_sum{service=\"" << label << "\"} "
        << latency.sum_seconds << "\nkumquatcove_request_seconds_count"
        << "{service=\"" << label << "\"} " << latency.count << '\n';
  }
  for (const auto& [name, count] : m_implementation->m_counters) {
    out << "# TYPE kumquatcove_" << name << " counter\nkumquatcove_" << name
        << ' ' << count << '\n';
  }
  for (const auto& [name, value] : m_implementation->m_values) {
    out << "# TYPE kumquatcove_" << name << " gauge\nkumquatcove_" << name
        << ' ' << value << '\n';
  }
  return out.str();
}

}  // namespace kumquatcove
