#ifndef NODE_WORK_CLASSIFIER_H_
#define NODE_WORK_CLASSIFIER_H_

#include <cstdint>
#include <string>
#include <string_view>

#include <absl/container/flat_hash_map.h>

#include "base/clock_reading.h"
#include "base/name.h"
#include "node/latency_window.h"
#include "protocol/peer_message.h"

namespace kumquatcove {

/**
 * Predicts whether a request is long work, from earlier service times of its
 * path.
 *
 * Thread safety: none; owned by one reducer.
 */
class WorkClassifier {
 public:
  /** Records the service time of an answered request. */
  void OnAnswered(const ServiceName& service,
                  std::string_view target,
                  Duration service_time);

  /** Returns the expected length; kShort for paths with too few service times.
   */
  WorkLength Classify(const ServiceName& service,
                      std::string_view target) const;

  /** Returns a quantile of the service times of short work; zero if there are
   * none. */
  Duration ShortWorkQuantile(const ServiceName& service, double fraction) const;

  /** Returns a quantile of the service times of work of `length`; zero if there
   * are none. */
  Duration Quantile(const ServiceName& service,
                    WorkLength length,
                    double fraction) const;

 private:
  struct ServiceTimes {
    LatencyWindow short_work;
    LatencyWindow long_work;
  };

  absl::flat_hash_map<ServiceName, ServiceTimes> m_services;
  absl::flat_hash_map<std::uint64_t, LatencyWindow> m_paths;
};

/** Returns the part of a target by which work is classified: its first two path
 * segments. */
std::string_view WorkPath(std::string_view target);

}  // namespace kumquatcove

#endif  // NODE_WORK_CLASSIFIER_H_
