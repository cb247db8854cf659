#include "dispatch/cluster/fake_rated_upstream.h"

#include <algorithm>

namespace kumquatcove {

std::size_t FakeRatedUpstream::CountArrivals(MonotonicTime begin,
                                             MonotonicTime end) const {
  return static_cast<std::size_t>(
      std::lower_bound(arrivals.begin(), arrivals.end(), end) -
      std::lower_bound(arrivals.begin(), arrivals.end(), begin));
}

std::size_t FakeRatedUpstream::CountBusiest(Duration window,
                                            MonotonicTime begin,
                                            MonotonicTime end) const {
  std::size_t busiest = 0;
  for (const MonotonicTime arrival : arrivals) {
    if (arrival >= begin && arrival < end) {
      busiest = std::max(
          busiest, CountArrivals(arrival, std::min(end, arrival + window)));
    }
  }
  return busiest;
}

}  // namespace kumquatcove
