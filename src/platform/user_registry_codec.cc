#include "platform/user_registry_codec.h"

#include <cmath>
#include <cstdint>
#include <exception>
#include <stdexcept>
#include <string_view>
#include <utility>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

#include "base/json_codec.h"
#include "runtime/network_address.h"

namespace kumquatcove {

namespace {

namespace json = boost::json;

constexpr std::string_view kConfigurationKey = "op/config";
constexpr std::string_view kEvacuationPrefix = "op/evacuate/";
constexpr std::string_view kReady = "ready";
constexpr std::string_view kDraining = "draining";
constexpr std::string_view kIdempotentKind = "safe";

/** A field is missing or has another form than the platform states. */
class FieldError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

const json::value& Field(const json::object& object, std::string_view name) {
  const json::value* found =
      object.if_contains(json::string_view(name.data(), name.size()));
  if (found == nullptr) {
    throw FieldError(absl::StrCat("field ", std::string(name), " is missing"));
  }
  return *found;
}

std::string Text(const json::object& object, std::string_view name) {
  const json::value& value = Field(object, name);
  if (!value.is_string()) {
    throw FieldError(
        absl::StrCat("field ", std::string(name), " isn't a text"));
  }
  return std::string(std::string_view(value.get_string()));
}

double Number(const json::object& object, std::string_view name) {
  const json::value& value = Field(object, name);
  if (!value.is_number()) {
    throw FieldError(
        absl::StrCat("field ", std::string(name), " isn't a number"));
  }
  return value.to_number<double>();
}

std::int64_t WholeNumber(const json::object& object, std::string_view name) {
  const double number = Number(object, name);
  constexpr double kMaxExact = 9'007'199'254'740'992;
  if (std::trunc(number) != number || std::abs(number) > kMaxExact) {
    throw FieldError(
        absl::StrCat("field ", std::string(name), " isn't a whole number"));
  }
  return static_cast<std::int64_t>(number);
}

/** Reads a time; the platform writes all times in seconds. */
Duration Time(const json::object& object, std::string_view name) {
  const double seconds = Number(object, name);
  constexpr double kMaxSeconds = 1e9;
  if (!(seconds >= 0 && seconds <= kMaxSeconds)) {
    throw FieldError(
        absl::StrCat("field ", std::string(name), " isn't a time"));
  }
  return Duration(std::llround(seconds * 1'000'000));
}

const json::object& Object(const json::object& object, std::string_view name) {
  const json::value& value = Field(object, name);
  if (!value.is_object()) {
    throw FieldError(
        absl::StrCat("field ", std::string(name), " isn't an object"));
  }
  return value.get_object();
}

/** Returns an array that may be left out. */
const json::array& Array(const json::object& object, std::string_view name) {
  static const json::array kNone;
  const json::value* found =
      object.if_contains(json::string_view(name.data(), name.size()));
  if (found == nullptr || found->is_null()) {
    return kNone;
  }
  if (!found->is_array()) {
    throw FieldError(
        absl::StrCat("field ", std::string(name), " isn't a list"));
  }
  return found->get_array();
}

const json::object& Element(const json::value& value) {
  if (!value.is_object()) {
    throw FieldError("a list holds something else than objects");
  }
  return value.get_object();
}

/** Reads `r` and a number. */
std::int64_t Version(const json::object& object) {
  const std::string text = Text(object, "version");
  std::int64_t number = 0;
  if (!text.starts_with("r") || !absl::SimpleAtoi(text.substr(1), &number)) {
    throw FieldError("version '" + text + "' isn't r and a number");
  }
  return number;
}

Route ReadRoute(const json::object& object) {
  Route route;
  route.name = Text(object, "name");
  route.host = Text(object, "host");
  route.prefix = Text(object, "prefix");
  for (const json::value& part : Array(object, "split")) {
    route.services.push_back({ServiceName(Text(Element(part), "service")),
                              Number(Element(part), "weight")});
  }
  if (route.services.empty()) {
    route.services.push_back({ServiceName(Text(object, "service")), 1});
  }
  route.request_class = Text(object, "kind") == kIdempotentKind
                            ? RequestClass::kIdempotent
                            : RequestClass::kNonIdempotent;
  // The platform counts upstreams here, not sends by the caller.
  route.max_upstreams =
      static_cast<std::int32_t>(WholeNumber(object, "max-attempts"));
  route.timeout = Time(object, "timeout-s");
  route.latency_objective = Time(object, "aim-s");
  route.priority = static_cast<std::int32_t>(WholeNumber(object, "priority"));
  const json::value* sticky = object.if_contains("sticky");
  route.has_object_affinity =
      sticky != nullptr && sticky->is_bool() && sticky->get_bool();
  for (const json::value& region : Array(object, "home-regions")) {
    if (!region.is_string()) {
      throw FieldError("a home region isn't a text");
    }
    route.home_regions.emplace_back(
        std::string(std::string_view(region.get_string())));
  }
  return route;
}

ServiceTraits ReadService(const json::object& object) {
  ServiceTraits traits;
  traits.service = ServiceName(Text(object, "name"));
  traits.health_path = Text(object, "health-path");
  traits.max_connections =
      static_cast<std::int32_t>(WholeNumber(object, "max-connections"));
  traits.warm_up = Time(object, "warmup-s");
  traits.cold_requests_per_second = Number(object, "cold-per-s");
  return traits;
}

RouteConfiguration ReadConfiguration(const json::object& object) {
  RouteConfiguration configuration;
  configuration.version = Version(object);
  for (const json::value& route : Array(object, "routes")) {
    configuration.routes.push_back(ReadRoute(Element(route)));
  }
  for (const json::value& service : Array(object, "services")) {
    configuration.services.push_back(ReadService(Element(service)));
  }
  const json::object& limits = Object(object, "limits");
  configuration.limits.max_header_bytes =
      WholeNumber(limits, "max-header-bytes");
  configuration.limits.max_body_bytes = WholeNumber(limits, "max-body-bytes");
  configuration.limits.header_timeout = Time(limits, "header-timeout-s");
  configuration.limits.idle_timeout = Time(limits, "idle-timeout-s");
  return configuration;
}

UpstreamRegistration ReadUpstream(const std::string& id,
                                  const json::object& object) {
  const json::object& info = Object(object, "info");
  const json::object& status = Object(object, "status");
  UpstreamRegistration registration;
  registration.id = UpstreamId(id);
  registration.service = ServiceName(Text(info, "service"));
  registration.zone = ZoneName(Text(info, "zone"));
  registration.slots = static_cast<std::int32_t>(WholeNumber(info, "slots"));
  registration.address = Text(object, "address");
  const std::string state = Text(status, "state");
  registration.draining = state == kDraining;
  registration.sequence = WholeNumber(status, "seq");
  registration.cold_left = Time(status, "cold-left-s");
  registration.started_ms = WholeNumber(object, "born");
  if (state != kReady && state != kDraining) {
    throw FieldError("unknown state '" + state + "'");
  }
  if (registration.slots < 1) {
    throw FieldError("no slots");
  }
  if (!ParseNetworkAddress(registration.address)) {
    throw FieldError("address '" + registration.address +
                     "' isn't an IP number and port");
  }
  return registration;
}

RegistryRecord ReadOperatorRow(const StoreRow& row) {
  if (row.key.starts_with(kEvacuationPrefix)) {
    return ZoneEvacuation{ZoneName(row.key.substr(kEvacuationPrefix.size()))};
  }
  if (row.key != kConfigurationKey || row.deleted) {
    return UnreadableRow{"not a row that is known"};
  }
  return ReadConfiguration(Element(json::parse(row.value)));
}

}  // namespace

std::string UserRegistryCodec::KeyPrefix(RegistryTable table) const {
  switch (table) {
    case RegistryTable::kOperator:
      return "op/";
    case RegistryTable::kUpstreams:
      return "servers/";
    case RegistryTable::kEntries:
      return "kumquatcove-entries/";
  }
  return {};
}

RegistryRecord UserRegistryCodec::Read(RegistryTable table,
                                       const StoreRow& row) const {
  const std::string name = row.key.substr(KeyPrefix(table).size());
  try {
    switch (table) {
      case RegistryTable::kOperator:
        return ReadOperatorRow(row);
      case RegistryTable::kUpstreams:
        return ReadUpstream(name, Element(json::parse(row.value)));
      case RegistryTable::kEntries:
        return FromJson<EntryRegistration>(json::parse(row.value));
    }
  } catch (const std::exception& error) {
    return UnreadableRow{error.what()};
  }
  return UnreadableRow{"unknown table"};
}

}  // namespace kumquatcove
