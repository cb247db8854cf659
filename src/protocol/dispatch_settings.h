#ifndef PROTOCOL_DISPATCH_SETTINGS_H_
#define PROTOCOL_DISPATCH_SETTINGS_H_

#include <cstdint>
#include <map>
#include <string>

#include <boost/describe/class.hpp>

namespace kumquatcove {

/**
 * Limits of a deployment whose platform keeps the routes and registers the
 * upstreams; each binds the sum over all entry instances.
 *
 * All times are in seconds.
 */
struct DispatchSettings {
  /** Region of each availability zone. */
  std::map<std::string, std::string> zones;
  /** Sends of a request after its first one, as a share of the requests of its
   * service, over `resend_window_s`. */
  double resend_ratio = 0.2;
  /** Further such sends in the same time, whatever the number of requests. */
  double resend_extra = 0;
  double resend_window_s = 10;
  /** Time from SIGTERM to SIGKILL. */
  double grace_s = 6;
  /** Longest time for which callers may use a look-up answer. */
  double max_lookup_ttl_s = 5;
  /** Time within which an upstream that has announced its leaving gets no more
   * requests. */
  double drain_s = 2;
  /** Greatest share of a region's requests that may move to another region from
   * one window of two seconds to the next. */
  double max_region_shift = 0.15;
  /** What carrying a request to another availability zone of the region, or to
   * another region, costs, as time by which its answer would have to come
   * sooner to be worth it. */
  double zone_crossing_cost_s = 0.015;
  double region_crossing_cost_s = 0.04;
  friend bool operator==(const DispatchSettings&,
                         const DispatchSettings&) = default;
};
BOOST_DESCRIBE_STRUCT(DispatchSettings,
                      (),
                      (zones,
                       resend_ratio,
                       resend_extra,
                       resend_window_s,
                       grace_s,
                       max_lookup_ttl_s,
                       drain_s,
                       max_region_shift,
                       zone_crossing_cost_s,
                       region_crossing_cost_s))

}  // namespace kumquatcove

#endif  // PROTOCOL_DISPATCH_SETTINGS_H_
