#ifndef REGISTRY_FAKE_REGISTRY_CODEC_H_
#define REGISTRY_FAKE_REGISTRY_CODEC_H_

#include <cstdint>
#include <sstream>
#include <string>
#include <vector>

#include <boost/json/parse.hpp>

#include "base/json_codec.h"
#include "registry/registry_codec.h"

namespace kumquatcove {

/** Returns the value of an upstream's row for FakeRegistryCodec. */
inline std::string UpstreamRow(const UpstreamRegistration& upstream) {
  std::ostringstream out;
  out << upstream.service << ' ' << upstream.zone << ' ' << upstream.address
      << ' ' << upstream.slots << ' ' << upstream.draining << ' '
      << upstream.cold_left.count() << ' ' << upstream.started_ms << ' '
      << upstream.sequence;
  return out.str();
}

/**
 * Codec for tests; rows are words separated by spaces.
 *
 * The configuration consists of its version and four words per route: host,
 * prefix, service, and `i` for idempotent or `n` for non-idempotent.
 */
class FakeRegistryCodec : public RegistryCodec {
 public:
  std::string KeyPrefix(RegistryTable table) const override {
    return std::string(ToString(table)) + "/";
  }

  RegistryRecord Read(RegistryTable table, const StoreRow& row) const override {
    const std::string name = row.key.substr(KeyPrefix(table).size());
    std::istringstream in(row.value);
    switch (table) {
      case RegistryTable::kOperator:
        return name == "config"
                   ? ReadRoutes(in)
                   : RegistryRecord(ZoneEvacuation{ZoneName(name)});
      case RegistryTable::kUpstreams:
        return ReadUpstream(name, in);
      case RegistryTable::kEntries:
        return FromJson<EntryRegistration>(boost::json::parse(row.value));
    }
    return UnreadableRow{"unknown table"};
  }

  /** Timeout of all routes. */
  Duration timeout = Seconds(1);
  std::int32_t max_upstreams = 2;
  /** Connections that an upstream accepts from all instances. */
  std::int32_t max_connections = 400;
  /** Home regions of all routes. */
  std::vector<RegionName> home_regions;

 private:
  RegistryRecord ReadRoutes(std::istringstream& in) const {
    RouteConfiguration configuration;
    in >> configuration.version;
    std::string service;
    std::string request_class;
    Route route;
    while (in >> route.host >> route.prefix >> service >> request_class) {
      route.name = route.host + route.prefix;
      route.services = {{ServiceName(service), 1}};
      route.request_class = request_class == "i" ? RequestClass::kIdempotent
                                                 : RequestClass::kNonIdempotent;
      route.max_upstreams = max_upstreams;
      route.timeout = timeout;
      route.home_regions = home_regions;
      route.latency_objective = Milliseconds(250);
      route.has_object_affinity = true;
      configuration.routes.push_back(route);
      ServiceTraits traits;
      traits.service = ServiceName(service);
      traits.cold_requests_per_second = 6;
      traits.max_connections = max_connections;
      configuration.services.push_back(traits);
    }
    return configuration;
  }

  static RegistryRecord ReadUpstream(const std::string& id,
                                     std::istringstream& in) {
    UpstreamRegistration upstream;
    upstream.id = UpstreamId(id);
    std::string service;
    std::string zone;
    std::int64_t cold_us = 0;
    if (!(in >> service >> zone >> upstream.address >> upstream.slots >>
          upstream.draining >> cold_us >> upstream.started_ms >>
          upstream.sequence)) {
      return UnreadableRow{"not an upstream"};
    }
    upstream.service = ServiceName(service);
    upstream.zone = ZoneName(zone);
    upstream.cold_left = Duration(cold_us);
    return upstream;
  }
};

}  // namespace kumquatcove

#endif  // REGISTRY_FAKE_REGISTRY_CODEC_H_
