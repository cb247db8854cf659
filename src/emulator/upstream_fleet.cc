#include "emulator/upstream_fleet.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string_view>
#include <utility>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "base/hash.h"
#include "base/json_codec.h"
#include "emulator/json_merge.h"
#include "emulator/steady_clock.h"

namespace kumquatcove::emulator {

UpstreamFleet::UpstreamFleet(boost::asio::io_context& io,
                             const std::vector<UpstreamSettings>& upstreams,
                             std::uint64_t seed) {
  for (const UpstreamSettings& settings : upstreams) {
    m_upstreams.push_back(std::make_unique<EmulatedUpstream>(
        io, settings, StableHash(settings.id.Text(), seed)));
    std::shared_ptr<OccupancyMeter>& meter = m_meters[settings.service];
    if (!meter) {
      meter = std::make_shared<OccupancyMeter>(ReadMonotonicClock());
    }
    m_upstreams.back()->CountSlotsBy(meter);
  }
}

void UpstreamFleet::Open() {
  for (const auto& upstream : m_upstreams) {
    upstream->Open();
  }
}

void UpstreamFleet::Finish() {
  for (const auto& upstream : m_upstreams) {
    upstream->Finish();
  }
}

bool UpstreamFleet::HasConnections() const {
  return std::any_of(
      m_upstreams.begin(), m_upstreams.end(),
      [](const auto& upstream) { return upstream->HasConnections(); });
}

void UpstreamFleet::HandleControl(const std::shared_ptr<HttpSession>& session) {
  const std::string target(session->GetRequest().target());
  const std::string_view path = TargetPath(target);
  try {
    if (path == "/emulator/faults") {
      session->Respond(Faults(session->GetRequest().body()));
    } else if (path == "/emulator/counters") {
      session->Respond(
          Counters(std::string(TargetParameter(target, "upstream"))));
    } else if (path == "/emulator/occupancy") {
      session->Respond(Occupancy(session->GetRequest().body()));
    } else if (path == "/emulator/executions") {
      session->Respond(Executions());
    } else {
      session->Respond(JsonAnswer(404, R"({"error":"not found"})"));
    }
  } catch (const std::exception& error) {
    session->Respond(JsonAnswer(400, boost::json::serialize(boost::json::object{
                                         {"error", error.what()}})));
  }
}

EmulatedUpstream* UpstreamFleet::Find(const std::string& id) {
  for (const auto& upstream : m_upstreams) {
    if (upstream->Settings().id.Text() == id) {
      return upstream.get();
    }
  }
  return nullptr;
}

HttpAnswer UpstreamFleet::Faults(const std::string& body) {
  const boost::json::value changes = boost::json::parse(body);
  const boost::json::object& members = detail::JsonToObject(changes, "$");
  const boost::json::value* named = members.if_contains("upstream");
  if (named == nullptr) {
    return JsonAnswer(400, R"({"error":"$.upstream: missing"})");
  }
  const std::string id = detail::JsonToString(*named, "$.upstream");
  if (id == "*") {
    for (const auto& upstream : m_upstreams) {
      upstream->ApplyFaults(changes);
    }
    return JsonAnswer(200, "{}");
  }
  EmulatedUpstream* upstream = Find(id);
  if (upstream == nullptr) {
    return JsonAnswer(404, R"({"error":"no such upstream"})");
  }
  return JsonAnswer(200,
                    boost::json::serialize(upstream->ApplyFaults(changes)));
}

HttpAnswer UpstreamFleet::Occupancy(const std::string& settings) {
  const MonotonicTime now = ReadMonotonicClock();
  boost::json::object readings;
  for (const auto& [service, meter] : m_meters) {
    if (!settings.empty()) {
      meter->Reset(MergeJson(OccupancySettings{}, boost::json::parse(settings)),
                   now);
    }
    readings[service.Text()] = ToJson(meter->Read(now));
  }
  return JsonAnswer(200, boost::json::serialize(readings));
}

HttpAnswer UpstreamFleet::Counters(const std::string& id) const {
  boost::json::array counters;
  for (const auto& upstream : m_upstreams) {
    if (id.empty() || upstream->Settings().id.Text() == id) {
      counters.push_back(ToJson(upstream->Counters()));
    }
  }
  return JsonAnswer(200, boost::json::serialize(boost::json::object{
                             {"upstreams", std::move(counters)}}));
}

HttpAnswer UpstreamFleet::Executions() const {
  std::map<std::string, std::int64_t> sums;
  for (const auto& upstream : m_upstreams) {
    for (const auto& [key, executions] : upstream->ExecutionsByKey()) {
      sums[key] += executions;
    }
  }
  return JsonAnswer(200, boost::json::serialize(boost::json::object{
                             {"executions", ToJson(sums)}}));
}

}  // namespace kumquatcove::emulator
