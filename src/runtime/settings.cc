#include "runtime/settings.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <set>
#include <sstream>

#include <absl/strings/str_cat.h>
#include <boost/json/parse.hpp>

#include "runtime/network_address.h"

namespace kumquatcove {

namespace {

constexpr std::size_t kMaxFileBytes = 1U << 20U;
constexpr std::size_t kMaxNameBytes = 64;
constexpr std::size_t kMinTokenBytes = 16;
constexpr std::size_t kMaxTokenBytes = 256;
constexpr std::size_t kMaxSeeds = 4096;
constexpr std::size_t kMaxOperators = 256;
constexpr std::size_t kMaxZones = 4096;
constexpr std::int64_t kMaxDelayMicroseconds = 1'000'000;

bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
}

bool IsTokenCharacter(char c) {
  return c > ' ' && c < '\x7f';
}

/** Validates values. Throws SettingsError for the first invalid one. */
class Checker {
 public:
  explicit Checker(const std::string& file) : m_file(file) {}

  [[noreturn]] void Fail(const std::string& path,
                         const std::string& value,
                         const std::string& range) const {
    throw SettingsError(m_file + ": " + path + ": " + value +
                        " isn't permitted; expected " + range);
  }

  void CheckName(const std::string& path, const std::string& text) const {
    if (text.empty() || text.size() > kMaxNameBytes ||
        !std::all_of(text.begin(), text.end(), IsNameCharacter)) {
      Fail(path, "'" + text + "'", "1 to 64 letters, digits, '-', '_' or '.'");
    }
  }

  void CheckAddress(const std::string& path,
                    const std::string& text,
                    bool may_be_any_port) const {
    const std::optional<NetworkAddress> parsed = ParseNetworkAddress(text);
    if (!parsed || (parsed->port == 0 && !may_be_any_port)) {
      Fail(path, "'" + text + "'",
           "an IPv4 number and a port, such as "
           "127.0.0.1:7001");
    }
  }

  void CheckToken(const std::string& path, const std::string& text) const {
    if (text.size() < kMinTokenBytes || text.size() > kMaxTokenBytes ||
        !std::all_of(text.begin(), text.end(), IsTokenCharacter)) {
      Fail(path, "a token of " + std::to_string(text.size()) + " bytes",
           "16 to 256 printable characters without spaces");
    }
  }

  void CheckCount(const std::string& path,
                  std::size_t size,
                  std::size_t max) const {
    if (size > max) {
      Fail(path, std::to_string(size) + " elements",
           "at most " + std::to_string(max));
    }
  }

  void CheckNumber(const std::string& path,
                   double value,
                   double min,
                   double max) const {
    if (!(value >= min && value <= max)) {
      Fail(path, absl::StrCat(value), absl::StrCat(min, " to ", max));
    }
  }

  void CheckDelay(const std::string& path, std::int64_t value) const {
    if (value < 0 || value > kMaxDelayMicroseconds) {
      Fail(path, std::to_string(value), "0 to 1000000");
    }
  }

 private:
  const std::string& m_file;
};

void CheckSeeds(const Checker& checker,
                const std::vector<SeedSettings>& seeds) {
  checker.CheckCount("$.seeds", seeds.size(), kMaxSeeds);
  for (std::size_t i = 0; i < seeds.size(); ++i) {
    const std::string path = "$.seeds[" + std::to_string(i) + "]";
    checker.CheckName(path + ".instance", seeds[i].instance.Text());
    checker.CheckName(path + ".region", seeds[i].region.Text());
    checker.CheckName(path + ".zone", seeds[i].zone.Text());
    checker.CheckAddress(path + ".caller_address", seeds[i].caller_address,
                         false);
    checker.CheckAddress(path + ".peer_address", seeds[i].peer_address, false);
  }
}

void CheckOperators(const Checker& checker,
                    const std::vector<OperatorSettings>& operators) {
  checker.CheckCount("$.operators", operators.size(), kMaxOperators);
  std::set<std::string> tokens;
  for (std::size_t i = 0; i < operators.size(); ++i) {
    const std::string path = "$.operators[" + std::to_string(i) + "]";
    checker.CheckName(path + ".name", operators[i].name.Text());
    checker.CheckToken(path + ".token", operators[i].token);
    if (!tokens.insert(operators[i].token).second) {
      checker.Fail(path + ".token", "a token of another operator",
                   "a token of its own");
    }
  }
}

void CheckEmulation(const Checker& checker,
                    const EmulationSettings& emulation) {
  checker.CheckDelay("$.emulation.same_zone_us", emulation.same_zone_us);
  checker.CheckDelay("$.emulation.same_region_us", emulation.same_region_us);
  checker.CheckDelay("$.emulation.other_region_us", emulation.other_region_us);
  checker.CheckDelay("$.emulation.caller_us", emulation.caller_us);
  checker.CheckCount("$.emulation.zones", emulation.zones.size(), kMaxZones);
  if (!emulation.addresses) {
    return;
  }
  for (const auto& [address, zone] : *emulation.addresses) {
    if (!emulation.zones.contains(zone)) {
      checker.Fail("$.emulation.addresses." + address, "'" + zone + "'",
                   "one of the zones in $.emulation.zones");
    }
  }
}

void CheckRegistered(const Checker& checker,
                     const RegisteredSettings& registered) {
  const std::string path = "$.registered";
  checker.CheckAddress(path + ".lookup_address", registered.lookup_address,
                       false);
  checker.CheckAddress(path + ".readiness_address",
                       registered.readiness_address, false);
  const DispatchSettings& limits = registered.limits;
  checker.CheckCount(path + ".limits.zones", limits.zones.size(), kMaxZones);
  const auto check = [&](const char* name, double value, double min,
                         double max) {
    checker.CheckNumber(path + ".limits." + name, value, min, max);
  };
  check("resend_ratio", limits.resend_ratio, 0, 10);
  check("resend_extra", limits.resend_extra, 0, 1e6);
  check("resend_window_s", limits.resend_window_s, 0.1, 3600);
  check("grace_s", limits.grace_s, 0.5, 3600);
  check("max_lookup_ttl_s", limits.max_lookup_ttl_s, 0.1, 3600);
  check("drain_s", limits.drain_s, 0.1, 3600);
  check("max_region_shift", limits.max_region_shift, 0, 1);
  check("zone_crossing_cost_s", limits.zone_crossing_cost_s, 0, 60);
  check("region_crossing_cost_s", limits.region_crossing_cost_s, 0, 60);
}

void Check(const Checker& checker, const Settings& settings) {
  checker.CheckName("$.instance", settings.instance.Text());
  checker.CheckName("$.region", settings.region.Text());
  checker.CheckName("$.zone", settings.zone.Text());
  checker.CheckAddress("$.caller_address", settings.caller_address, false);
  checker.CheckAddress("$.operator_address", settings.operator_address, false);
  checker.CheckAddress("$.peer_address", settings.peer_address, false);
  checker.CheckAddress("$.platform_address", settings.platform_address, false);
  if (settings.seeds) {
    CheckSeeds(checker, *settings.seeds);
  }
  CheckOperators(checker, settings.operators);
  if (settings.emulation) {
    CheckEmulation(checker, *settings.emulation);
  }
  if (settings.registered) {
    CheckRegistered(checker, *settings.registered);
  }
}

}  // namespace

Settings ParseSettings(std::string_view text, const std::string& file) {
  boost::system::error_code error;
  const boost::json::value json = boost::json::parse(
      boost::json::string_view(text.data(), text.size()), error);
  if (error) {
    throw SettingsError(file + ": not valid JSON: " + error.message());
  }
  try {
    auto settings = FromJson<Settings>(json);
    Check(Checker(file), settings);
    return settings;
  } catch (const JsonCodecError& problem) {
    throw SettingsError(file + ": " + problem.what());
  }
}

std::string ReadSettingsText(const std::string& file) {
  std::ifstream input(file, std::ios::binary);
  if (!input) {
    throw SettingsError(file + ": can't be opened");
  }
  // The file is usually small and read often, so the buffer grows with its
  // size.
  std::string text;
  std::array<char, 4096> part{};
  while (text.size() <= kMaxFileBytes &&
         (input.read(part.data(), part.size()) || input.gcount() > 0)) {
    text.append(part.data(), static_cast<std::size_t>(input.gcount()));
  }
  if (text.size() > kMaxFileBytes) {
    throw SettingsError(file + ": longer than 1048576 bytes");
  }
  return text;
}

Settings ReadSettingsFile(const std::string& file) {
  return ParseSettings(ReadSettingsText(file), file);
}

}  // namespace kumquatcove
