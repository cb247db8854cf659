#include "platform/user_registry_codec.h"

#include <doctest/doctest.h>

#include <string>

namespace kumquatcove {
namespace {

constexpr const char* kUpstream =
    R"({"address":"10.128.0.9:8080","born":1700000000000,"info":{"service":"s",
    "version":"v1","zone":"lima-a","slots":3},"status":{"state":"ready",
    "seq":4,"cold-left-s":1.5}})";

constexpr const char* kConfiguration =
    R"({"version":"r7","routes":[{"name":"a","host":"h.example","prefix":"/p/",
    "kind":"safe","timeout-s":1,"aim-s":0.25,"priority":2,
    "split":[{"service":"s","weight":90},{"service":"t","weight":10}],
    "max-attempts":2,"sticky":true,"home-regions":["lima"]},
    {"name":"b","host":"h.example","prefix":"/q/","kind":"unsafe",
    "timeout-s":1.2,"aim-s":0.3,"priority":1,"service":"t","max-attempts":1,
    "sticky":false,"home-regions":[]}],
    "services":[{"name":"s","health-path":"/health","max-connections":390,
    "protocol":"h1","tls":false,"warmup-s":3.0,"cold-per-s":6.6}],
    "limits":{"max-header-bytes":16384,"max-body-bytes":67108864,
    "header-timeout-s":3,"idle-timeout-s":15},"unknown":1})";

RegistryRecord Read(RegistryTable table,
                    const std::string& key,
                    const std::string& value) {
  return UserRegistryCodec().Read(table, {key, 1, value, false});
}

bool IsReadable(const std::string& value) {
  return !std::holds_alternative<UnreadableRow>(
      Read(RegistryTable::kUpstreams, "servers/u", value));
}

std::string Replace(std::string text,
                    const std::string& from,
                    const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

}  // namespace

TEST_CASE("A configuration becomes routes, services and limits") {
  const RegistryRecord record =
      Read(RegistryTable::kOperator, "op/config", kConfiguration);
  REQUIRE(std::holds_alternative<RouteConfiguration>(record));
  const auto& configuration = std::get<RouteConfiguration>(record);
  CHECK(configuration.version == 7);
  REQUIRE(configuration.routes.size() == 2);
  const Route& split = configuration.routes[0];
  CHECK(split.services.size() == 2);
  CHECK(split.services[0].weight == 90);
  CHECK(split.request_class == RequestClass::kIdempotent);
  CHECK(split.timeout == Seconds(1));
  CHECK(split.latency_objective == Milliseconds(250));
  CHECK(split.has_object_affinity);
  CHECK(split.home_regions == std::vector<RegionName>{RegionName("lima")});
  const Route& single = configuration.routes[1];
  CHECK(single.services[0].service == ServiceName("t"));
  CHECK(single.request_class == RequestClass::kNonIdempotent);
  CHECK(single.max_upstreams == 1);
  CHECK(configuration.services[0].warm_up == Seconds(3));
  CHECK(configuration.limits.idle_timeout == Seconds(15));
}

TEST_CASE("An upstream's row gives its place, load and state") {
  const RegistryRecord record =
      Read(RegistryTable::kUpstreams, "servers/u", kUpstream);
  REQUIRE(std::holds_alternative<UpstreamRegistration>(record));
  const auto& upstream = std::get<UpstreamRegistration>(record);
  CHECK(upstream.id == UpstreamId("u"));
  CHECK(upstream.zone == ZoneName("lima-a"));
  CHECK(upstream.slots == 3);
  CHECK(upstream.cold_left == Milliseconds(1500));
  CHECK(upstream.started_ms == 1'700'000'000'000);
  CHECK(upstream.sequence == 4);
  CHECK_FALSE(upstream.draining);
}

TEST_CASE("A row by another writer names no upstream") {
  CHECK(IsReadable(kUpstream));
  CHECK(IsReadable(Replace(kUpstream, "\"ready\"", "\"draining\"")));
  CHECK_FALSE(IsReadable(Replace(kUpstream, "\"ready\"", "\"asleep\"")));
  CHECK_FALSE(IsReadable(Replace(kUpstream, "1700000000000", "17.5")));
  CHECK_FALSE(IsReadable(Replace(kUpstream, "1700000000000", "\"1\"")));
  CHECK_FALSE(IsReadable(Replace(kUpstream, "\"slots\":3", "\"slots\":0")));
  CHECK_FALSE(IsReadable(Replace(kUpstream, "10.128.0.9:8080", "nowhere")));
  CHECK_FALSE(IsReadable(Replace(kUpstream, "\"zone\":\"lima-a\",", "")));
  CHECK_FALSE(IsReadable("\xff\xfe"));
  CHECK_FALSE(IsReadable("[]"));
}

TEST_CASE("The key of an evacuation names its zone, also once it is deleted") {
  StoreRow row{"op/evacuate/lima-a", 3, "{}", true};
  const RegistryRecord record =
      UserRegistryCodec().Read(RegistryTable::kOperator, row);
  REQUIRE(std::holds_alternative<ZoneEvacuation>(record));
  CHECK(std::get<ZoneEvacuation>(record).zone == ZoneName("lima-a"));
}

TEST_CASE("A row of the operator that isn't known is skipped") {
  CHECK(std::holds_alternative<UnreadableRow>(
      Read(RegistryTable::kOperator, "op/other", "{}")));
  CHECK(std::holds_alternative<UnreadableRow>(
      Read(RegistryTable::kOperator, "op/config", R"({"version":"7"})")));
}

}  // namespace kumquatcove
