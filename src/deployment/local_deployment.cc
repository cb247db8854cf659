#include "deployment/local_deployment.h"

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>
#include <thread>
#include <utility>

#include <absl/strings/escaping.h>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "base/json_codec.h"
#include "protocol/event.h"
#include "tools/http_client.h"

namespace kumquatcove {
namespace {

constexpr Duration kStartTimeout = Seconds(20);
constexpr Duration kCallTimeout = Seconds(5);
constexpr Duration kPollInterval = Milliseconds(50);

// Offsets from the first port.
constexpr int kPlatformPort = 0;
constexpr int kControlPorts = 1;
constexpr int kEntryPorts = 50;
constexpr int kUpstreamPorts = 200;
constexpr int kPortsOfEntry = 3;

void Sleep(Duration duration) {
  std::this_thread::sleep_for(duration);
}

boost::json::value ReadJson(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    throw DeploymentError("can't read " + path);
  }
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  return boost::json::parse(text);
}

void WriteJson(const std::string& path, const boost::json::value& json) {
  std::ofstream(path) << boost::json::serialize(json) << "\n";
}

/** Returns the last line of a file that isn't empty, or an empty string. */
std::string LastLine(const std::string& path) {
  std::ifstream file(path);
  std::string last;
  for (std::string line; std::getline(file, line);) {
    if (!line.empty()) {
      last = line;
    }
  }
  return last;
}

std::string TokenOf(const std::string& operator_name) {
  return "token-" + operator_name;
}

}  // namespace

LocalDeployment::LocalDeployment(LocalDeploymentSettings settings)
    : m_settings(std::move(settings)) {
  std::filesystem::create_directories(m_settings.work_folder);
  PrepareCatalogue();
  StartPlatform();
  StartUpstreams();
  PrepareEntries();
  for (const auto& [instance, entry] : m_entries) {
    WriteSettings(instance, entry);
    StartInstance(instance);
  }
  for (const auto& [instance, entry] : m_entries) {
    WaitForPort(entry.operator_address, kStartTimeout);
  }
  CheckProcesses();
  RunOperatorTool({"apply", m_catalogue_file, "--wait"});
  for (const auto& [instance, entry] : m_entries) {
    if (!WaitUntilServing(instance, kStartTimeout)) {
      throw DeploymentError(instance.Text() + " doesn't serve");
    }
  }
}

void LocalDeployment::CheckProcesses() {
  const auto check = [this](const std::string& name, ChildProcess& process) {
    if (!process.IsRunning()) {
      throw DeploymentError(name +
                            " has ended: " + LastLine(File(name + ".log.err")));
    }
  };
  if (m_platform) {
    check("platform", *m_platform);
  }
  for (auto& [region, process] : m_upstreams) {
    check("upstream-" + region, process);
  }
  for (auto& [instance, entry] : m_entries) {
    if (entry.process) {
      check(instance.Text(), *entry.process);
    }
  }
}

std::vector<InstanceId> LocalDeployment::Instances() const {
  std::vector<InstanceId> instances;
  for (const auto& [instance, entry] : m_entries) {
    instances.push_back(instance);
  }
  return instances;
}

ZoneName LocalDeployment::ZoneOf(const InstanceId& instance) const {
  return m_entries.at(instance).zone;
}

std::string LocalDeployment::CallerAddress(const InstanceId& instance) const {
  return m_entries.at(instance).caller_address;
}

std::string LocalDeployment::OperatorAddress(const InstanceId& instance) const {
  return m_entries.at(instance).operator_address;
}

ChildProcess& LocalDeployment::Process(const InstanceId& instance) {
  return m_entries.at(instance).process.value();
}

void LocalDeployment::Kill(const InstanceId& instance) {
  Process(instance).Kill();
  m_entries.at(instance).process.reset();
  Call(Port(kPlatformPort), "DELETE", "/instances/" + instance.Text(), "");
}

void LocalDeployment::StartInstance(const InstanceId& instance) {
  Entry& entry = m_entries.at(instance);
  const ListedInstance listed{instance,           RegionName(entry.region),
                              entry.zone,         entry.caller_address,
                              entry.peer_address, false};
  Call(Port(kPlatformPort), "PUT", "/instances/" + instance.Text(),
       boost::json::serialize(ToJson(listed)));
  entry.process.emplace(
      Program("kumquatcoved"),
      std::vector<std::string>{"--settings=" + File(instance.Text() + ".json")},
      File(instance.Text() + ".log"));
}

bool LocalDeployment::WaitUntilServing(const InstanceId& instance,
                                       Duration timeout) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  while (std::chrono::steady_clock::now() < deadline) {
    const std::optional<StatusReport> status = Status(instance);
    if (status && status->phase == InstancePhase::kServing &&
        status->catalogue_revision > 0) {
      return true;
    }
    Sleep(kPollInterval);
  }
  return false;
}

std::optional<HttpAnswer> LocalDeployment::Send(
    const InstanceId& instance,
    const std::string& method,
    const std::string& target,
    const std::vector<HttpHeader>& headers,
    const std::string& body) const {
  HttpResult result = SendHttp(CallerAddress(instance),
                               {method, target, headers, body}, Seconds(10));
  auto* answer = std::get_if<HttpAnswer>(&result);
  return answer == nullptr ? std::nullopt : std::optional(std::move(*answer));
}

std::optional<StatusReport> LocalDeployment::Status(
    const InstanceId& instance) {
  const std::string body =
      boost::json::serialize(ToJson(OperatorCommand(StatusCommand{})));
  const HttpResult result =
      SendHttp(OperatorAddress(instance),
               {"POST",
                "/operator/v1/command",
                {{"Authorization", "Bearer " + TokenOf(m_operators.front())}},
                body},
               kCallTimeout);
  const auto* http = std::get_if<HttpAnswer>(&result);
  if (http == nullptr || http->status != 200) {
    return std::nullopt;
  }
  const auto answer = FromJson<OperatorAnswer>(boost::json::parse(http->body));
  return FromJson<StatusReport>(boost::json::parse(answer.document));
}

std::vector<InstanceId> LocalDeployment::Lookup(
    const InstanceId& instance,
    const std::string& client) const {
  const std::optional<HttpAnswer> answer =
      Send(instance, "GET", "/kumquatcove/v1/entries?client=" + client);
  std::vector<InstanceId> instances;
  if (!answer || answer->status != 200) {
    return instances;
  }
  const boost::json::value document = boost::json::parse(answer->body);
  for (const boost::json::value& entry : document.at("entries").as_array()) {
    instances.emplace_back(std::string(entry.at("instance").as_string()));
  }
  return instances;
}

std::string LocalDeployment::RunOperatorTool(
    std::vector<std::string> arguments) {
  std::string entries;
  for (const auto& [instance, entry] : m_entries) {
    if (entry.process) {
      entries += (entries.empty() ? "" : ",") + entry.operator_address;
    }
  }
  arguments.push_back("--entries=" + entries);
  arguments.push_back("--token=" + TokenOf(m_operators.front()));
  return RunProgram(Program("kumquatcove"), arguments);
}

boost::json::value LocalDeployment::RunLoad(
    std::vector<std::string> arguments) {
  arguments.push_back("--lookup=" + CallerAddresses());
  arguments.push_back("--output=json");
  return boost::json::parse(RunProgram(Program("kumquatcove-load"), arguments));
}

ChildProcess LocalDeployment::StartLoad(std::vector<std::string> arguments,
                                        const std::string& report_file) {
  arguments.push_back("--lookup=" + CallerAddresses());
  arguments.push_back("--output=json");
  return {Program("kumquatcove-load"), arguments, report_file};
}

void LocalDeployment::SetPlatformFaults(const boost::json::object& faults) {
  Call(Port(kPlatformPort), "POST", "/faults", boost::json::serialize(faults));
}

void LocalDeployment::TakePlatformCopy() {
  Call(Port(kPlatformPort), "POST", "/copy", "");
}

void LocalDeployment::RestorePlatformCopy() {
  Call(Port(kPlatformPort), "POST", "/restore", "");
}

void LocalDeployment::SetUpstreamFaults(const std::string& upstream,
                                        const boost::json::object& faults) {
  boost::json::object body = faults;
  body["upstream"] = upstream;
  Call(ControlAddress(m_upstream_regions.at(upstream)), "POST",
       "/emulator/faults", boost::json::serialize(body));
}

boost::json::object LocalDeployment::UpstreamCounters() {
  boost::json::object all;
  for (const auto& [region, process] : m_upstreams) {
    const boost::json::value counters =
        Call(ControlAddress(region), "GET", "/emulator/counters", "");
    for (const boost::json::value& upstream :
         counters.at("upstreams").as_array()) {
      all[upstream.at("upstream").as_string()] = upstream;
    }
  }
  return all;
}

void LocalDeployment::PutRow(const std::string& key, const std::string& value) {
  const boost::json::object put{
      {"request_put",
       boost::json::object{{"key", absl::Base64Escape(key)},
                           {"value", absl::Base64Escape(value)}}}};
  const boost::json::object transaction{{"compare", boost::json::array()},
                                        {"success", boost::json::array{put}},
                                        {"failure", boost::json::array()}};
  Call(Port(kPlatformPort), "POST", "/v3/kv/txn",
       boost::json::serialize(transaction));
}

void LocalDeployment::ResetOccupancy(const std::string& region,
                                     const boost::json::object& settings) {
  Call(ControlAddress(region), "POST", "/emulator/occupancy",
       boost::json::serialize(settings));
}

boost::json::object LocalDeployment::Occupancy(const std::string& region) {
  return Call(ControlAddress(region), "GET", "/emulator/occupancy", "")
      .as_object();
}

const ChildProcess& LocalDeployment::UpstreamProcess(
    const std::string& region) const {
  return m_upstreams.at(region);
}

std::map<std::string, std::int64_t> LocalDeployment::ExecutionsByKey() {
  std::map<std::string, std::int64_t> executions;
  for (const auto& [region, process] : m_upstreams) {
    const boost::json::value keys =
        Call(ControlAddress(region), "GET", "/emulator/executions", "");
    for (const auto& key : keys.at("executions").as_object()) {
      executions[std::string(key.key())] +=
          key.value().to_number<std::int64_t>();
    }
  }
  return executions;
}

void LocalDeployment::KillUpstreams(const std::string& region) {
  m_upstreams.erase(region);
}

boost::json::value LocalDeployment::PlatformCounters() {
  return Call(Port(kPlatformPort), "GET", "/counters", "");
}

std::string LocalDeployment::CallerAddresses() const {
  std::string addresses;
  for (const auto& [instance, entry] : m_entries) {
    if (entry.process) {
      addresses += (addresses.empty() ? "" : ",") + entry.caller_address;
    }
  }
  return addresses;
}

std::string LocalDeployment::Program(const std::string& name) const {
  return m_settings.program_folder + "/" + name;
}

std::string LocalDeployment::File(const std::string& name) const {
  return m_settings.work_folder + "/" + name;
}

std::string LocalDeployment::Port(int offset) const {
  return m_settings.host + ":" + std::to_string(m_settings.first_port + offset);
}

void LocalDeployment::PrepareCatalogue() {
  boost::json::value catalogue = ReadJson(m_settings.catalogue_file);
  std::set<std::string> operators;
  operators.insert(
      std::string(catalogue.at("topology").at("owner").as_string()));
  for (const boost::json::value& region :
       catalogue.at("topology").at("regions").as_array()) {
    const std::string name(region.at("name").as_string());
    m_regions.push_back(name);
    for (const boost::json::value& zone : region.at("zones").as_array()) {
      m_zone_regions[std::string(zone.as_string())] = name;
    }
  }
  int port = kUpstreamPorts;
  for (boost::json::value& service :
       catalogue.as_object().at("services").as_array()) {
    operators.insert(std::string(service.at("owner").as_string()));
    for (boost::json::value& upstream :
         service.as_object().at("upstreams").as_array()) {
      const std::string address = Port(port++);
      const std::string zone(upstream.at("zone").as_string());
      upstream.as_object()["address"] = address;
      m_address_zones[address] = zone;
      m_upstream_regions[std::string(upstream.at("id").as_string())] =
          m_zone_regions.at(zone);
    }
  }
  m_operators.assign(operators.begin(), operators.end());
  m_catalogue_file = File("catalogue.json");
  WriteJson(m_catalogue_file, catalogue);
}

void LocalDeployment::StartPlatform() {
  const std::string address = Port(kPlatformPort);
  for (const auto& [zone, region] : m_zone_regions) {
    if (region == m_settings.platform_region) {
      m_address_zones[address] = zone;
      break;
    }
  }
  m_platform.emplace(
      Program("kumquatcove-platform"),
      std::vector<std::string>{
          "--listen=" + address,
          "--list_lag_ms=" + std::to_string(m_settings.list_lag_ms)},
      File("platform.log"));
  WaitForPort(address, kStartTimeout);
}

void LocalDeployment::StartUpstreams() {
  const std::string model_file = File("upstream-model.json");
  WriteJson(model_file, m_settings.upstream_model);
  for (const std::string& region : m_regions) {
    const std::vector<std::string> arguments{
        "--catalogue=" + m_catalogue_file, "--region=" + region,
        "--model=" + model_file, "--control=" + ControlAddress(region),
        "--seed=" + std::to_string(m_settings.seed)};
    m_upstreams.emplace(region,
                        ChildProcess(Program("kumquatcove-upstream"), arguments,
                                     File("upstream-" + region + ".log")));
    WaitForPort(ControlAddress(region), kStartTimeout);
  }
}

std::vector<std::string> LocalDeployment::ZonesInTurn() const {
  std::map<std::string, std::size_t> zones_of_region;
  std::multimap<std::size_t, std::string> by_turn;
  for (const auto& [zone, region] : m_zone_regions) {
    by_turn.emplace(zones_of_region[region]++, zone);
  }
  std::vector<std::string> zones;
  for (const auto& [turn, zone] : by_turn) {
    zones.push_back(zone);
  }
  return zones;
}

void LocalDeployment::PrepareEntries() {
  const std::vector<std::string> zones = ZonesInTurn();
  for (int number = 0; number < m_settings.entries; ++number) {
    const std::string& zone =
        zones[static_cast<std::size_t>(number) % zones.size()];
    const int suffix = number / static_cast<int>(zones.size());
    const int port = kEntryPorts + kPortsOfEntry * number;
    Entry entry;
    entry.zone = ZoneName(zone);
    entry.region = m_zone_regions.at(zone);
    entry.caller_address = Port(port);
    entry.operator_address = Port(port + 1);
    entry.peer_address = Port(port + 2);
    m_entries.emplace("entry-" + zone + "-" + std::to_string(suffix),
                      std::move(entry));
  }
}

void LocalDeployment::WriteSettings(const InstanceId& instance,
                                    const Entry& entry) const {
  Settings settings;
  settings.instance = instance;
  settings.region = RegionName(entry.region);
  settings.zone = entry.zone;
  settings.caller_address = entry.caller_address;
  settings.operator_address = entry.operator_address;
  settings.peer_address = entry.peer_address;
  settings.platform_address = Port(kPlatformPort);
  settings.routing = m_settings.routing;
  for (const std::string& name : m_operators) {
    settings.operators.push_back({OperatorName(name), TokenOf(name)});
  }
  settings.emulation = m_settings.delays;
  settings.emulation->zones = m_zone_regions;
  settings.emulation->addresses = m_address_zones;
  WriteJson(File(instance.Text() + ".json"), ToJson(settings));
}

void LocalDeployment::WaitForPort(const std::string& address,
                                  Duration timeout) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  while (std::chrono::steady_clock::now() < deadline) {
    CheckProcesses();
    const HttpResult result =
        SendHttp(address, {"GET", "/healthz", {}, ""}, kCallTimeout);
    if (std::holds_alternative<HttpAnswer>(result)) {
      return;
    }
    Sleep(kPollInterval);
  }
  throw DeploymentError("nothing answers at " + address);
}

std::string LocalDeployment::ControlAddress(const std::string& region) const {
  const auto position =
      std::find(m_regions.begin(), m_regions.end(), region) - m_regions.begin();
  return Port(kControlPorts + static_cast<int>(position));
}

boost::json::value LocalDeployment::Call(const std::string& address,
                                         const std::string& method,
                                         const std::string& target,
                                         const std::string& body) const {
  const HttpResult result =
      SendHttp(address, {method, target, {}, body}, kCallTimeout);
  const auto* answer = std::get_if<HttpAnswer>(&result);
  if (answer == nullptr || answer->status >= 300) {
    throw DeploymentError(method + " " + target + " at " + address + " failed" +
                          (answer == nullptr ? "" : ": " + answer->body));
  }
  return answer->body.empty() ? boost::json::value()
                              : boost::json::parse(answer->body);
}

boost::json::value ReadReport(const std::string& file) {
  return ReadJson(file);
}

}  // namespace kumquatcove
