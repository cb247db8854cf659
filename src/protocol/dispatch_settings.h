#ifndef PROTOCOL_DISPATCH_SETTINGS_H_
#define PROTOCOL_DISPATCH_SETTINGS_H_

#include <cstdint>
#include <map>
#include <string>

#include <boost/describe/class.hpp>

namespace kumquatcove {

/**
 * Limits of a deployment whose platform stores the routes and registers the
 * upstreams. Each limit applies to the sum over all entry instances.
 *
 * All times are in seconds.
 */
struct DispatchSettings {
  /** Region of each availability zone. */
  std::map<std::string, std::string> zones;
  /** Maximum number of resends, as a fraction of the requests of the service,
   * within `resend_window_s`. */
  double resend_ratio = 0.2;
  /** Additional resends permitted within `resend_window_s`, regardless of the
   * number of requests. */
  double resend_extra = 0;
  double resend_window_s = 10;
  /** Time from SIGTERM to SIGKILL. */
  double grace_s = 6;
  /** Maximum time for which callers may use a lookup answer. */
  double max_lookup_ttl_s = 5;
  /** Time after which an upstream that has announced its leaving must not
   * receive further requests. */
  double drain_s = 2;
  /** Maximum fraction of a region's requests that may move to another region
   * from one window of two seconds to the next. */
  double max_region_shift = 0.15;
  /** Cost of sending a request to another availability zone of the region, or
   * to another region: the time by which the answer must be faster to justify
   * it. */
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
