#include "node/work_classifier.h"

#include "base/hash.h"

namespace kumquatcove {
namespace {

// Paths come from callers, so the table is bounded. Paths that don't fit are
// classified as short.
constexpr std::size_t kMaxPaths = 1024;

// A path is long work if its median is more than this many times the service's
// median for short work. A median is robust against stragglers, so these don't
// change the class of their path.
constexpr int kLongFactor = 3;
constexpr std::uint32_t kMinSamples = 5;

std::uint64_t PathKey(const ServiceName& service, std::string_view target) {
  return StableHash({service.Text(), WorkPath(target)});
}

}  // namespace

std::string_view WorkPath(std::string_view target) {
  target = target.substr(0, target.find('?'));
  const std::size_t second = target.find('/', 1);
  if (second == std::string_view::npos) {
    return target;
  }
  return target.substr(0, target.find('/', second + 1));
}

void WorkClassifier::OnAnswered(const ServiceName& service,
                                std::string_view target,
                                Duration service_time) {
  const WorkLength length = Classify(service, target);
  ServiceTimes& times = m_services[service];
  (length == WorkLength::kShort ? times.short_work : times.long_work)
      .Add(service_time);

  const std::uint64_t key = PathKey(service, target);
  const auto found = m_paths.find(key);
  if (found != m_paths.end()) {
    found->second.Add(service_time);
  } else if (m_paths.size() < kMaxPaths) {
    m_paths[key].Add(service_time);
  }
}

WorkLength WorkClassifier::Classify(const ServiceName& service,
                                    std::string_view target) const {
  const auto path = m_paths.find(PathKey(service, target));
  if (path == m_paths.end() || path->second.Count() < kMinSamples) {
    return WorkLength::kShort;
  }
  const Duration typical = ShortWorkQuantile(service, 0.5);
  const bool is_long =
      typical.count() > 0 && path->second.Quantile(0.5) > typical * kLongFactor;
  return is_long ? WorkLength::kLong : WorkLength::kShort;
}

Duration WorkClassifier::ShortWorkQuantile(const ServiceName& service,
                                           double fraction) const {
  return Quantile(service, WorkLength::kShort, fraction);
}

Duration WorkClassifier::Quantile(const ServiceName& service,
                                  WorkLength length,
                                  double fraction) const {
  const auto found = m_services.find(service);
  if (found == m_services.end()) {
    return Duration(0);
  }
  const ServiceTimes& times = found->second;
  return (length == WorkLength::kShort ? times.short_work : times.long_work)
      .Quantile(fraction);
}

}  // namespace kumquatcove
