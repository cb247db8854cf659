#include "emulator/upstream_settings.h"

#include <set>
#include <string_view>

#include "base/json_codec.h"
#include "emulator/json_merge.h"

namespace kumquatcove::emulator {
namespace {

using boost::json::object;
using boost::json::value;

const value& Member(const object& json, const std::string& name) {
  const value* found = json.if_contains(name);
  if (found == nullptr) {
    throw JsonCodecError("$." + name, "missing");
  }
  return *found;
}

std::string Text(const object& json, const std::string& name) {
  return detail::JsonToString(Member(json, name), "$." + name);
}

const boost::json::array& List(const object& json, const std::string& name) {
  return detail::JsonToArray(Member(json, name), "$." + name);
}

/** Returns the zones of a region; of all regions if `region` is empty. */
std::set<std::string> ZonesOf(const object& document,
                              const std::string& region) {
  std::set<std::string> zones;
  const object& topology =
      detail::JsonToObject(Member(document, "topology"), "$.topology");
  for (const value& item : List(topology, "regions")) {
    const object& declaration = detail::JsonToObject(item, "$.regions");
    if (!region.empty() && Text(declaration, "name") != region) {
      continue;
    }
    for (const value& zone : List(declaration, "zones")) {
      zones.insert(detail::JsonToString(zone, "$.zones"));
    }
  }
  return zones;
}

UpstreamSettings ModelOf(const value& models, const std::string& service) {
  UpstreamSettings settings;
  const object& by_service = detail::JsonToObject(models, "$");
  for (const std::string& name : {std::string("default"), service}) {
    if (const value* found = by_service.if_contains(name)) {
      settings = MergeJson(settings, *found);
    }
  }
  settings.service = ServiceName(service);
  return settings;
}

}  // namespace

std::vector<UpstreamSettings> UpstreamsFromCatalogue(
    const value& catalogue,
    const value& models,
    const UpstreamSelection& selection) {
  const object& document = detail::JsonToObject(catalogue, "$");
  const std::set<std::string> zones = ZonesOf(document, selection.region);
  std::vector<UpstreamSettings> upstreams;
  for (const value& item : List(document, "services")) {
    const object& service = detail::JsonToObject(item, "$.services");
    const std::string name = Text(service, "service");
    if (!selection.service.empty() && name != selection.service) {
      continue;
    }
    UpstreamSettings settings = ModelOf(models, name);
    const object& limits =
        detail::JsonToObject(Member(service, "limits"), "$.limits");
    settings.slots = FromJson<std::int32_t>(
        Member(limits, "slots_per_upstream"), "$.slots_per_upstream");
    for (const value& declared : List(service, "upstreams")) {
      const object& upstream = detail::JsonToObject(declared, "$.upstreams");
      if (zones.count(Text(upstream, "zone")) == 0) {
        continue;
      }
      settings.id = UpstreamId(Text(upstream, "id"));
      settings.address = Text(upstream, "address");
      upstreams.push_back(settings);
    }
  }
  return upstreams;
}

std::vector<UpstreamSettings> UpstreamsFromList(const value& list) {
  std::vector<UpstreamSettings> upstreams;
  for (const value& item : detail::JsonToArray(list, "$")) {
    upstreams.push_back(MergeJson(UpstreamSettings{}, item));
  }
  return upstreams;
}

}  // namespace kumquatcove::emulator
