#ifndef REGISTRY_ROUTE_TABLE_H_
#define REGISTRY_ROUTE_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "base/clock_reading.h"
#include "base/name.h"
#include "catalogue/entry.h"

namespace kumquatcove {

/** A service that receives a share of a route's requests. */
struct WeightedService {
  ServiceName service;
  /** Share of the requests, relative to the other services of the route. */
  double weight = 1;
  friend bool operator==(const WeightedService&,
                         const WeightedService&) = default;
};

/** Defines which services handle the requests for a host and path, and how. */
struct Route {
  std::string name;
  /** Host name in lower case, without a port. */
  std::string host;
  /** Path prefix; begins and ends with a slash. */
  std::string prefix;
  std::vector<WeightedService> services;
  RequestClass request_class = RequestClass::kNonIdempotent;
  /** Maximum number of upstreams to which one request may be sent. */
  std::int32_t max_upstreams = 1;
  /** Maximum time until the final answer. */
  Duration timeout{0};
  /** Target latency: answers within this time have the highest value for the
   * caller. */
  Duration latency_objective{0};
  /** 0 is the highest priority. */
  std::int32_t priority = 0;
  /** Whether upstreams handle recently handled objects faster. */
  bool has_object_affinity = false;
  /** Regions in which the requests may run; empty for all. */
  std::vector<RegionName> home_regions;
  friend bool operator==(const Route&, const Route&) = default;
};

/** Properties of a service in the configuration. */
struct ServiceTraits {
  ServiceName service;
  std::string health_path;
  /** Connections that one upstream accepts from all instances together. */
  std::int32_t max_connections = 1;
  /** Time for which an upstream stays cold after its start. */
  Duration warm_up{0};
  /** Requests per second that a cold upstream can handle. */
  double cold_requests_per_second = 0;
  friend bool operator==(const ServiceTraits&, const ServiceTraits&) = default;
};

/** Limits on callers' requests and connections. */
struct CallerLimits {
  std::int64_t max_header_bytes = 16'384;
  std::int64_t max_body_bytes = 1'048'576;
  Duration header_timeout{Seconds(3)};
  /** Time for which a connection may stay open without a request. */
  Duration idle_timeout{Seconds(30)};
  friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

/** A configuration as written by the operator. */
struct RouteConfiguration {
  std::int64_t version = 0;
  std::vector<Route> routes;
  std::vector<ServiceTraits> services;
  CallerLimits limits;
  friend bool operator==(const RouteConfiguration&,
                         const RouteConfiguration&) = default;
};

/**
 * The configuration in effect, indexed by host and path.
 *
 * Immutable after construction, so it can be shared between threads.
 */
class RouteTable {
 public:
  /** Creates a table of version 0 without routes. */
  RouteTable() = default;

  explicit RouteTable(RouteConfiguration configuration);

  std::int64_t Version() const { return m_configuration.version; }
  const RouteConfiguration& Configuration() const { return m_configuration; }

  /** Returns the route of `host` whose prefix is the longest match for `path`,
   * or nullptr. `host` may include a port and is not case-sensitive. */
  const Route* Find(std::string_view host, std::string_view path) const;

  /** Returns the traits of a service, or nullptr if it isn't configured. */
  const ServiceTraits* FindService(const ServiceName& service) const;

 private:
  RouteConfiguration m_configuration;
  /** Indices of the routes of each host, longest prefix first. */
  absl::flat_hash_map<std::string, std::vector<std::size_t>> m_hosts;
  absl::flat_hash_map<ServiceName, std::size_t> m_services;
};

}  // namespace kumquatcove

#endif  // REGISTRY_ROUTE_TABLE_H_
