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

/** One of the services among which a route divides its requests. */
struct WeightedService {
  ServiceName service;
  /** Share of the requests, relative to the other services of the route. */
  double weight = 1;
  friend bool operator==(const WeightedService&,
                         const WeightedService&) = default;
};

/** Which service handles the requests of a host and path, and how. */
struct Route {
  std::string name;
  /** Host name in lower case, without a port. */
  std::string host;
  /** Start of the path; begins and ends with a slash. */
  std::string prefix;
  std::vector<WeightedService> services;
  RequestClass request_class = RequestClass::kNonIdempotent;
  /** Greatest number of upstreams that one request may be sent to. */
  std::int32_t max_upstreams = 1;
  /** Longest time until the final answer. */
  Duration timeout{0};
  /** Time within which an answer is worth most to the caller. */
  Duration latency_objective{0};
  /** 0 is the most urgent. */
  std::int32_t priority = 0;
  /** Upstreams handle an object faster that they have handled lately. */
  bool has_object_affinity = false;
  /** Regions in which the requests may run; empty for all. */
  std::vector<RegionName> home_regions;
  friend bool operator==(const Route&, const Route&) = default;
};

/** What the configuration says of a service. */
struct ServiceTraits {
  ServiceName service;
  std::string health_path;
  /** Connections that one upstream accepts from all instances together. */
  std::int32_t max_connections = 1;
  /** Time for which an upstream stays cold after its start. */
  Duration warm_up{0};
  /** Requests per second that a cold upstream bears. */
  double cold_requests_per_second = 0;
  friend bool operator==(const ServiceTraits&, const ServiceTraits&) = default;
};

/** What a caller may send. */
struct CallerLimits {
  std::int64_t max_header_bytes = 16'384;
  std::int64_t max_body_bytes = 1'048'576;
  Duration header_timeout{Seconds(3)};
  /** Time for which a connection may stay without a request. */
  Duration idle_timeout{Seconds(30)};
  friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

/** A configuration as the operator wrote it. */
struct RouteConfiguration {
  std::int64_t version = 0;
  std::vector<Route> routes;
  std::vector<ServiceTraits> services;
  CallerLimits limits;
  friend bool operator==(const RouteConfiguration&,
                         const RouteConfiguration&) = default;
};

/**
 * The configuration in force, indexed by host and path.
 *
 * Immutable once built, hence safe to share between threads.
 */
class RouteTable {
 public:
  /** Builds a table without routes, of version 0. */
  RouteTable() = default;

  explicit RouteTable(RouteConfiguration configuration);

  std::int64_t Version() const { return m_configuration.version; }
  const RouteConfiguration& Configuration() const { return m_configuration; }

  /** Returns the route of `host` with the longest prefix of `path`, or null.
   * The host may have a port and any case. */
  const Route* Find(std::string_view host, std::string_view path) const;

  /** Returns what is declared of a service, or null. */
  const ServiceTraits* FindService(const ServiceName& service) const;

 private:
  RouteConfiguration m_configuration;
  /** Indices of the routes of each host, longest prefix first. */
  absl::flat_hash_map<std::string, std::vector<std::size_t>> m_hosts;
  absl::flat_hash_map<ServiceName, std::size_t> m_services;
};

}  // namespace kumquatcove

#endif  // REGISTRY_ROUTE_TABLE_H_
