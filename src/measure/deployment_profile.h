#ifndef MEASURE_DEPLOYMENT_PROFILE_H_
#define MEASURE_DEPLOYMENT_PROFILE_H_

#include <cstdint>
#include <string>
#include <vector>

#include <boost/json/object.hpp>

#include "catalogue/entry.h"
#include "deployment/local_deployment.h"
#include "measure/measure_settings.h"

namespace kumquatcove::measure {

/** Service times of emulated upstreams. */
struct ServiceTimeModel {
  double mean_ms = 20;
  double straggler_share = 0.01;
  double straggler_factor = 20;
  /** Long work takes this many times longer. With 10, 5% long work on top of
   * short work at 50% of the slots uses 76% of them; with 20 it would use all
   * of them, and no policy could keep short work fast. */
  double long_factor = 10;

  /** Returns the mean with stragglers. */
  double MeanWithStragglersMs() const;
};

/** One of the users' deployments: sizes from its catalogue file, delays from
 * section 1.6 of the design page. Thread safety: read only. */
class DeploymentProfile {
 public:
  /** Throws MeasureSettingsError if the catalogue file can't be used. */
  DeploymentProfile(DeploymentName name, const std::string& catalogue_folder);

  DeploymentName Name() const { return m_name; }
  /** Returns the settings of a local deployment with the delays and service
   * times of this user; folders, ports and seed are left to the caller. */
  LocalDeploymentSettings LocalSettings() const;
  std::int64_t CallerDelayUs() const;

  const std::vector<RegionDeclaration>& Regions() const {
    return m_topology.regions;
  }
  const ServiceEntry& Idempotent() const { return m_idempotent; }
  const std::vector<ServiceEntry>& NonIdempotent() const { return m_once; }
  /** Returns the idempotent service's upstreams in a region; in all regions if
   * `region` is empty. */
  std::vector<UpstreamDeclaration> Upstreams(const RegionName& region) const;
  std::int32_t Slots(const RegionName& region) const;
  /** Returns the share of a region's slots that spill-over may fill. */
  double HeadroomLimitShare() const;

  /** Returns the requests a second that keep the share `busy` of a region's
   * slots (all if empty) occupied. */
  double RateFor(double busy, const RegionName& region) const;
  /** Returns one caller address near each upstream of a region (all if empty),
   * so that demand is spread as slots are. */
  std::vector<std::string> Callers(const RegionName& region) const;

 private:
  bool IsIn(const ZoneName& zone, const RegionName& region) const;

  DeploymentName m_name;
  std::string m_file;
  ServiceTimeModel m_model;
  TopologyEntry m_topology;
  ServiceEntry m_idempotent;
  std::vector<ServiceEntry> m_once;
};

}  // namespace kumquatcove::measure

#endif  // MEASURE_DEPLOYMENT_PROFILE_H_
