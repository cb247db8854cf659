#include "dispatch/service_splitter.h"

#include <cassert>

namespace kumquatcove {

const ServiceName& ServiceSplitter::Next(const Route& route) {
  assert(!route.services.empty());
  if (route.services.size() == 1) {
    return route.services.front().service;
  }
  Progress& progress = m_routes[route.name];
  if (progress.services != route.services) {
    progress.services = route.services;
    progress.credit.assign(route.services.size(), 0);
  }
  double total = 0;
  std::size_t best = 0;
  for (std::size_t i = 0; i < route.services.size(); ++i) {
    progress.credit[i] += route.services[i].weight;
    total += route.services[i].weight;
    if (progress.credit[i] > progress.credit[best]) {
      best = i;
    }
  }
  progress.credit[best] -= total;
  return route.services[best].service;
}

}  // namespace kumquatcove
