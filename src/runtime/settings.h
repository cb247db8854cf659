#ifndef RUNTIME_SETTINGS_H_
#define RUNTIME_SETTINGS_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include <boost/describe/class.hpp>

#include "base/enum_table.h"
#include "base/json_codec.h"
#include "base/name.h"
#include "protocol/dispatch_settings.h"
#include "routing/routing_settings.h"

namespace kumquatcove {

/** Thrown if a settings file cannot be read or contains an invalid value. The
 * message names the file, path, value and permitted range. */
class SettingsError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/** An operator and the bearer token that authenticates it. */
struct OperatorSettings {
  OperatorName name;
  std::string token;
  friend bool operator==(const OperatorSettings&,
                         const OperatorSettings&) = default;
};
BOOST_DESCRIBE_STRUCT(OperatorSettings, (), (name, token))

/** An instance to contact before the platform's instance list has been read. */
struct SeedSettings {
  InstanceId instance;
  RegionName region;
  ZoneName zone;
  std::string caller_address;
  std::string peer_address;
  friend bool operator==(const SeedSettings&, const SeedSettings&) = default;
};
BOOST_DESCRIBE_STRUCT(SeedSettings,
                      (),
                      (instance, region, zone, caller_address, peer_address))

/** One-way delays added to messages, so that tests on one machine emulate the
 * latencies of a real network. */
struct EmulationSettings {
  std::int64_t same_zone_us = 0;
  std::int64_t same_region_us = 0;
  std::int64_t other_region_us = 0;
  std::int64_t caller_us = 0;
  /** Region of each availability zone. */
  std::map<std::string, std::string> zones;
  /** Availability zone of upstreams and of the platform by IP address, or by IP
   * address and port. Other addresses are treated as being in this zone. */
  std::optional<std::map<std::string, std::string>> addresses;
  friend bool operator==(const EmulationSettings&,
                         const EmulationSettings&) = default;
};
BOOST_DESCRIBE_STRUCT(EmulationSettings,
                      (),
                      (same_zone_us,
                       same_region_us,
                       other_region_us,
                       caller_us,
                       zones,
                       addresses))

enum class LogLevel { kInfo, kWarning, kError };

constexpr auto EnumNames(LogLevel) {
  return std::array{EnumName<LogLevel>{LogLevel::kInfo, "info"},
                    EnumName<LogLevel>{LogLevel::kWarning, "warning"},
                    EnumName<LogLevel>{LogLevel::kError, "error"}};
}

/** Additional settings of an instance in a deployment whose platform stores the
 * routes and registers the upstreams. */
struct RegisteredSettings {
  /** IP address and port for lookups by callers. */
  std::string lookup_address;
  /** IP address and port where the platform queries whether this instance
   * accepts requests. */
  std::string readiness_address;
  DispatchSettings limits;
  friend bool operator==(const RegisteredSettings&,
                         const RegisteredSettings&) = default;
};
BOOST_DESCRIBE_STRUCT(RegisteredSettings,
                      (),
                      (lookup_address, readiness_address, limits))

/** Settings of one daemon. */
struct Settings {
  InstanceId instance;
  RegionName region;
  ZoneName zone;
  std::string caller_address;
  std::string operator_address;
  std::string peer_address;
  std::string platform_address;
  std::optional<std::vector<SeedSettings>> seeds;
  std::optional<RoutingSettings> routing;
  std::vector<OperatorSettings> operators;
  std::optional<EmulationSettings> emulation;
  std::optional<LogLevel> log_level;
  std::optional<RegisteredSettings> registered;
  friend bool operator==(const Settings&, const Settings&) = default;
};
BOOST_DESCRIBE_STRUCT(Settings,
                      (),
                      (instance,
                       region,
                       zone,
                       caller_address,
                       operator_address,
                       peer_address,
                       platform_address,
                       seeds,
                       routing,
                       operators,
                       emulation,
                       log_level,
                       registered))

/** Parses and validates settings. `file` is the name used in error messages.
 * Throws SettingsError. */
Settings ParseSettings(std::string_view text, const std::string& file);

/** Reads a settings file without validating it. Throws SettingsError if it
 * cannot be read or is longer than 1 MiB. */
std::string ReadSettingsText(const std::string& file);

/** Reads, parses and validates a settings file. Throws SettingsError. */
Settings ReadSettingsFile(const std::string& file);

}  // namespace kumquatcove

#endif  // RUNTIME_SETTINGS_H_
