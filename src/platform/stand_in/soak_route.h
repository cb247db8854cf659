#ifndef PLATFORM_STAND_IN_SOAK_ROUTE_H_
#define PLATFORM_STAND_IN_SOAK_ROUTE_H_

#include <array>
#include <string_view>

#include "base/clock_reading.h"

namespace kumquatcove::stand_in {

/** A route of the soak's configuration, and how callers use it. */
struct SoakRoute {
  std::string_view prefix;
  std::string_view service;
  bool idempotent = false;
  /** Longest time that the route lets a request wait. */
  Duration timeout;
  /** Deadline that callers state. */
  Duration deadline;
  /** Share of the callers' requests. */
  double share = 0;
};

/** Target of requests whose work is long even for their route. */
inline constexpr std::string_view kLongWork = "/freight/long/";

/** Target of requests with large answers. */
inline constexpr std::string_view kLargeAnswers = "/bulk/";

/** Target of uploads. */
inline constexpr std::string_view kUploads = "/order/";

inline constexpr std::array kSoakRoutes{
    SoakRoute{"/browse/", "browse", true, Seconds(1), Milliseconds(1'500), 0.3},
    SoakRoute{kUploads, "order", false, Seconds(1), Milliseconds(1'500), 0.25},
    SoakRoute{kLargeAnswers, "browse", true, Seconds(5), Seconds(5), 0.1},
    SoakRoute{kLongWork, "freight", false, Seconds(5), Seconds(5), 0.15},
    SoakRoute{"/freight/", "freight", false, Seconds(5), Seconds(5), 0.2}};

/** Returns the route of a target, or null. */
constexpr const SoakRoute* FindSoakRoute(std::string_view target) {
  for (const SoakRoute& route : kSoakRoutes) {
    if (target.starts_with(route.prefix)) {
      return &route;
    }
  }
  return nullptr;
}

}  // namespace kumquatcove::stand_in

#endif  // PLATFORM_STAND_IN_SOAK_ROUTE_H_
