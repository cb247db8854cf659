#ifndef DISPATCH_CLUSTER_FAKE_RATED_UPSTREAM_H_
#define DISPATCH_CLUSTER_FAKE_RATED_UPSTREAM_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "base/clock_reading.h"
#include "registry/registry_record.h"

namespace kumquatcove {

/** Fake of an upstream that counts its arrivals and may state a rate limit. */
struct FakeRatedUpstream {
  UpstreamRegistration registration;
  /** Time from the arrival of a request to its answer. */
  Duration work = Milliseconds(100);
  std::optional<double> rate_limit;
  int running = 0;
  std::vector<MonotonicTime> arrivals;

  /** Returns the number of arrivals from `begin` up to but excluding `end`. */
  std::size_t CountArrivals(MonotonicTime begin, MonotonicTime end) const;

  /** Returns the greatest number of arrivals in any span of `window` that lies
   * between `begin` and `end`. */
  std::size_t CountBusiest(Duration window,
                           MonotonicTime begin,
                           MonotonicTime end) const;
};

}  // namespace kumquatcove

#endif  // DISPATCH_CLUSTER_FAKE_RATED_UPSTREAM_H_
