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

/** A settings file can't be read or holds a wrong value; the text names file,
 * path, value and permitted range. */
class SettingsError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/** An operator and the bearer token by which it is known. */
struct OperatorSettings {
  OperatorName name;
  std::string token;
  friend bool operator==(const OperatorSettings&,
                         const OperatorSettings&) = default;
};
BOOST_DESCRIBE_STRUCT(OperatorSettings, (), (name, token))

/** An instance that is known before the platform's list was read. */
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

/** One-way delays added to messages, so that tests on one machine see the
 * latencies of a real network. */
struct EmulationSettings {
  std::int64_t same_zone_us = 0;
  std::int64_t same_region_us = 0;
  std::int64_t other_region_us = 0;
  std::int64_t caller_us = 0;
  /** Region of each availability zone. */
  std::map<std::string, std::string> zones;
  /** Availability zone of upstreams and of the platform by IP number, or by IP
   * number and port; others count as in this zone. */
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

/** Further settings of an instance on a deployment whose platform keeps the
 * routes and registers the upstreams. */
struct RegisteredSettings {
  /** IP number and port for look-ups of callers. */
  std::string lookup_address;
  /** IP number and port where the platform asks whether this instance takes
   * requests. */
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

/** Parses and checks settings. `file` is the name used in errors. Throws
 * SettingsError. */
Settings ParseSettings(std::string_view text, const std::string& file);

/** Reads a settings file without checking it. Throws SettingsError if it can't
 * be read or is too long. */
std::string ReadSettingsText(const std::string& file);

/** Reads, parses and checks a settings file. Throws SettingsError. */
Settings ReadSettingsFile(const std::string& file);

}  // namespace kumquatcove

#endif  // RUNTIME_SETTINGS_H_
