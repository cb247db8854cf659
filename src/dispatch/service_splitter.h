#ifndef DISPATCH_SERVICE_SPLITTER_H_
#define DISPATCH_SERVICE_SPLITTER_H_

#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "registry/route_table.h"

namespace kumquatcove {

/**
 * Divides the requests of a route among its services by their weights.
 *
 * Smooth weighted round robin: after any number of requests each service is
 * less than one request off its share, also while a service is short of slots.
 * Thread safety: none.
 */
class ServiceSplitter {
 public:
  /** Returns the service of the route's next request. Precondition: the route
   * has a service. */
  const ServiceName& Next(const Route& route);

 private:
  struct Progress {
    std::vector<WeightedService> services;
    std::vector<double> credit;
  };

  absl::flat_hash_map<std::string, Progress> m_routes;
};

}  // namespace kumquatcove

#endif  // DISPATCH_SERVICE_SPLITTER_H_
