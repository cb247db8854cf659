#include "measure/deployment_profile.h"

#include <algorithm>
#include <fstream>
#include <iterator>

#include <boost/asio/ip/address_v4.hpp>

#include "catalogue/catalogue_file.h"

namespace kumquatcove::measure {
namespace {

/** Delay within one availability zone; the design page names none. */
constexpr std::int64_t kSameZoneUs = 100;
/** Distance between the addresses of two groups of callers. */
constexpr std::uint32_t kAddressesOfGroup = 256;

std::vector<EntryBody> ReadCatalogue(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    throw MeasureSettingsError("can't read " + path);
  }
  const CatalogueResult result =
      ParseCatalogue({{path, {std::istreambuf_iterator<char>(file), {}}}});
  if (!result) {
    throw MeasureSettingsError(path + " is not a valid catalogue");
  }
  return result.value();
}

std::string CallerAddress(const TopologyEntry& topology,
                          const ZoneName& zone,
                          std::uint32_t group) {
  for (const ClientBlock& block : topology.client_blocks) {
    if (block.zone == zone) {
      const std::string number = block.prefix.substr(0, block.prefix.find('/'));
      const auto base = boost::asio::ip::make_address_v4(number).to_uint();
      return boost::asio::ip::address_v4(base + 1 + group * kAddressesOfGroup)
          .to_string();
    }
  }
  throw MeasureSettingsError("no client block is near zone " + zone.Text());
}

}  // namespace

double ServiceTimeModel::MeanWithStragglersMs() const {
  return mean_ms * (1 + straggler_share * (straggler_factor - 1));
}

DeploymentProfile::DeploymentProfile(DeploymentName name,
                                     const std::string& catalogue_folder)
    : m_name(name),
      m_file(catalogue_folder + "/" + std::string(ToString(name)) + ".json") {
  bool has_idempotent = false;
  for (const EntryBody& body : ReadCatalogue(m_file)) {
    if (const auto* topology = std::get_if<TopologyEntry>(&body)) {
      m_topology = *topology;
      continue;
    }
    const ServiceEntry& service = std::get<ServiceEntry>(body);
    if (service.request_class == RequestClass::kNonIdempotent) {
      m_once.push_back(service);
    } else {
      m_idempotent = service;
      has_idempotent = true;
    }
  }
  if (!has_idempotent || m_topology.regions.size() < 2) {
    throw MeasureSettingsError(m_file +
                               ": expected an idempotent service and at least "
                               "two regions");
  }
}

LocalDeploymentSettings DeploymentProfile::LocalSettings() const {
  LocalDeploymentSettings settings;
  settings.catalogue_file = m_file;
  settings.entries = 10;
  settings.delays.same_zone_us = kSameZoneUs;
  boost::json::object model{{"mean_service_ms", m_model.mean_ms},
                            {"straggler_share", m_model.straggler_share},
                            {"straggler_factor", m_model.straggler_factor},
                            {"long_factor", m_model.long_factor},
                            {"connection_cost_ms", 1}};
  switch (m_name) {
    case DeploymentName::kTintorera:
      settings.delays.same_region_us = 500;
      settings.delays.other_region_us = 12'000;
      settings.platform_region = "lima";
      break;
    case DeploymentName::kHoneyExchange:
      settings.delays.same_region_us = 1'000;
      settings.delays.other_region_us = 55'000;
      settings.platform_region = "viti-levu";
      model["probe_cost_ms"] = 6;
      break;
  }
  settings.upstream_model["default"] = model;
  return settings;
}

std::int64_t DeploymentProfile::CallerDelayUs() const {
  return m_name == DeploymentName::kTintorera ? 8'000 : 3'000;
}

std::vector<UpstreamDeclaration> DeploymentProfile::Upstreams(
    const RegionName& region) const {
  std::vector<UpstreamDeclaration> upstreams;
  for (const UpstreamDeclaration& upstream : m_idempotent.upstreams) {
    if (IsIn(upstream.zone, region)) {
      upstreams.push_back(upstream);
    }
  }
  return upstreams;
}

std::int32_t DeploymentProfile::Slots(const RegionName& region) const {
  return static_cast<std::int32_t>(Upstreams(region).size()) *
         m_idempotent.limits.slots_per_upstream;
}

double DeploymentProfile::HeadroomLimitShare() const {
  return 1 - m_idempotent.limits.headroom_permille / 1000.0;
}

double DeploymentProfile::RateFor(double busy, const RegionName& region) const {
  return busy * Slots(region) * 1000 / m_model.MeanWithStragglersMs();
}

std::vector<std::string> DeploymentProfile::Callers(
    const RegionName& region) const {
  std::vector<std::string> callers;
  std::uint32_t group = 0;
  for (const UpstreamDeclaration& upstream : Upstreams(region)) {
    callers.push_back(CallerAddress(m_topology, upstream.zone, group++));
  }
  return callers;
}

bool DeploymentProfile::IsIn(const ZoneName& zone,
                             const RegionName& region) const {
  return region.IsEmpty() ||
         std::any_of(m_topology.regions.begin(), m_topology.regions.end(),
                     [&](const RegionDeclaration& declared) {
                       return declared.name == region &&
                              std::find(declared.zones.begin(),
                                        declared.zones.end(),
                                        zone) != declared.zones.end();
                     });
}

}  // namespace kumquatcove::measure
