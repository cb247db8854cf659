#ifndef DEPLOYMENT_LOCAL_DEPLOYMENT_H_
#define DEPLOYMENT_LOCAL_DEPLOYMENT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include "base/clock_reading.h"
#include "base/name.h"
#include "deployment/child_process.h"
#include "protocol/http_message.h"
#include "protocol/lookup.h"
#include "protocol/status_report.h"
#include "routing/routing_settings.h"
#include "runtime/settings.h"

namespace kumquatcove {

/** What a local deployment consists of. */
struct LocalDeploymentSettings {
  /** Folder of the programs. */
  std::string program_folder;
  /** Catalogue to start with; the addresses of its upstreams are replaced by
   * loopback ports. */
  std::string catalogue_file;
  /** Folder for generated files and logs; made if it doesn't exist. */
  std::string work_folder;
  /** Loopback address at which all processes listen. */
  std::string host = "127.0.0.1";
  /** First of about 1,000 ports that the deployment uses. */
  int first_port = 20'000;
  /** Entry instances, spread evenly over the availability zones. */
  int entries = 6;
  /** One-way delays; zones and addresses are filled in. */
  EmulationSettings delays;
  /** Region in which the platform stands. */
  std::string platform_region;
  RoutingSettings routing;
  /** Model settings of upstreams by service name and `default`. */
  boost::json::object upstream_model;
  std::int64_t list_lag_ms = 1'000;
  /** Seed of the service times of upstreams. */
  std::uint64_t seed = 1;
};

/**
 * Platform, upstreams (one process a region) and entry instances as processes
 * on loopback.
 *
 * Thread safety: none.
 */
class LocalDeployment {
 public:
  /** Starts all processes, applies the catalogue and waits until all entry
   * instances serve. Throws DeploymentError. */
  explicit LocalDeployment(LocalDeploymentSettings settings);

  /** Returns the entry instances, sorted. */
  std::vector<InstanceId> Instances() const;
  ZoneName ZoneOf(const InstanceId& instance) const;
  std::string CallerAddress(const InstanceId& instance) const;
  std::string OperatorAddress(const InstanceId& instance) const;
  ChildProcess& Process(const InstanceId& instance);

  /** Ends the process and takes the instance off the platform's list. */
  void Kill(const InstanceId& instance);
  /** Starts a new process of the instance. Precondition: it isn't running. */
  void StartInstance(const InstanceId& instance);
  /** Waits until the instance reports that it serves; returns false after
   * `timeout`. */
  bool WaitUntilServing(const InstanceId& instance, Duration timeout);

  /** Sends a request to an instance and waits for the answer; nothing if none
   * came in time. */
  std::optional<HttpAnswer> Send(const InstanceId& instance,
                                 const std::string& method,
                                 const std::string& target,
                                 const std::vector<HttpHeader>& headers = {},
                                 const std::string& body = "") const;
  std::optional<StatusReport> Status(const InstanceId& instance);
  /** Returns the instances that `instance` names to a caller, in order; empty
   * if it refuses the look-up. */
  std::vector<InstanceId> Lookup(const InstanceId& instance,
                                 const std::string& client) const;

  /** Runs the operator tool with these arguments and returns its output. Throws
   * DeploymentError if it fails. */
  std::string RunOperatorTool(std::vector<std::string> arguments);
  /** Runs the load tool and returns its report. */
  boost::json::value RunLoad(std::vector<std::string> arguments);
  /** Starts the load tool; its report is written to `report_file`. */
  ChildProcess StartLoad(std::vector<std::string> arguments,
                         const std::string& report_file);

  void SetPlatformFaults(const boost::json::object& faults);
  /** Copies the platform's table, for a later RestorePlatformCopy. */
  void TakePlatformCopy();
  void RestorePlatformCopy();
  /** Switches faults of one upstream. */
  void SetUpstreamFaults(const std::string& upstream,
                         const boost::json::object& faults);
  /** Returns the counters of all upstreams by id. */
  boost::json::object UpstreamCounters();
  /** Returns how often the request of each idempotency key was executed, over
   * all upstreams. */
  std::map<std::string, std::int64_t> ExecutionsByKey();
  /** Ends all upstreams of a region (SIGKILL). */
  void KillUpstreams(const std::string& region);
  boost::json::value PlatformCounters();

  /** Writes a row of the platform's table, whatever its version. */
  void PutRow(const std::string& key, const std::string& value);

  const std::vector<std::string>& Regions() const { return m_regions; }
  /** Applies settings (see emulator::OccupancySettings) to the slot counts of
   * the upstreams of a region. */
  void ResetOccupancy(const std::string& region,
                      const boost::json::object& settings);
  /** Returns the emulator::OccupancyReading of each service in a region. */
  boost::json::object Occupancy(const std::string& region);
  /** Returns the process that emulates the upstreams of a region. */
  const ChildProcess& UpstreamProcess(const std::string& region) const;
  const ChildProcess& PlatformProcess() const { return m_platform.value(); }

  /** Returns the catalogue file with the addresses in use. */
  const std::string& CatalogueFile() const { return m_catalogue_file; }
  const std::string& WorkFolder() const { return m_settings.work_folder; }
  /** Returns the addresses of all running entry instances for callers, with
   * commas. */
  std::string CallerAddresses() const;

 private:
  struct Entry {
    ZoneName zone;
    std::string region;
    std::string caller_address;
    std::string operator_address;
    std::string peer_address;
    std::optional<ChildProcess> process;
  };

  std::string Program(const std::string& name) const;
  std::string File(const std::string& name) const;
  std::string Port(int offset) const;
  void PrepareCatalogue();
  void StartPlatform();
  void StartUpstreams();
  /** Returns the availability zones, one of each region in turn, so that ten
   * entry instances are spread 4, 3, 3 over three regions and not 4, 4, 2. */
  std::vector<std::string> ZonesInTurn() const;
  void PrepareEntries();
  /** Throws DeploymentError if a process has ended, for example because a port
   * is in use. */
  void CheckProcesses();
  void WriteSettings(const InstanceId& instance, const Entry& entry) const;
  void WaitForPort(const std::string& address, Duration timeout);
  std::string ControlAddress(const std::string& region) const;
  boost::json::value Call(const std::string& address,
                          const std::string& method,
                          const std::string& target,
                          const std::string& body) const;

  LocalDeploymentSettings m_settings;
  std::string m_catalogue_file;
  /** Owners of the catalogue's entries; each is an operator. */
  std::vector<std::string> m_operators;
  std::vector<std::string> m_regions;
  std::map<std::string, std::string> m_zone_regions;
  std::map<std::string, std::string> m_address_zones;
  std::map<std::string, std::string> m_upstream_regions;
  std::optional<ChildProcess> m_platform;
  std::map<std::string, ChildProcess> m_upstreams;
  std::map<InstanceId, Entry> m_entries;
};

/** Reads a JSON report written by a process. Throws DeploymentError. */
boost::json::value ReadReport(const std::string& file);

}  // namespace kumquatcove

#endif  // DEPLOYMENT_LOCAL_DEPLOYMENT_H_
