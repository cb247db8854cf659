#ifndef MEASURE_MEASURE_SETTINGS_H_
#define MEASURE_MEASURE_SETTINGS_H_

#include <array>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

#include "base/enum_table.h"
#include "routing/routing_settings.h"

namespace kumquatcove::measure {

/** The measuring tool was called with arguments that make no sense. */
class MeasureSettingsError : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

/** A user's deployment; the name is also that of its catalogue file. */
enum class DeploymentName { kTintorera, kHoneyExchange };

constexpr auto EnumNames(DeploymentName) {
  using Row = EnumName<DeploymentName>;
  return std::array{Row{DeploymentName::kTintorera, "tintorera"},
                    Row{DeploymentName::kHoneyExchange, "honey-exchange"}};
}

enum class Scenario {
  kHealthy,
  /** Two upstreams of the idempotent service take ten times longer. */
  kSlowed,
  /** Short work without and with 5% long work. */
  kLongWork,
  /** One upstream is drained under load. */
  kDrain,
  /** All upstreams of the idempotent service in one region fail. */
  kHeadroom,
  /** What an entry instance adds in latency and processor time. */
  kCost,
};

constexpr auto EnumNames(Scenario) {
  using Row = EnumName<Scenario>;
  return std::array{
      Row{Scenario::kHealthy, "healthy"},    Row{Scenario::kSlowed, "slowed"},
      Row{Scenario::kLongWork, "long-work"}, Row{Scenario::kDrain, "drain"},
      Row{Scenario::kHeadroom, "headroom"},  Row{Scenario::kCost, "cost"}};
}

/** What is compared: the system and its baselines. */
enum class Contender { kSystem, kRandom, kTwoChoicesReported, kTwoChoicesOwn };

constexpr auto EnumNames(Contender) {
  using Row = EnumName<Contender>;
  return std::array{Row{Contender::kSystem, "system"},
                    Row{Contender::kRandom, "random"},
                    Row{Contender::kTwoChoicesReported, "two-choices-reported"},
                    Row{Contender::kTwoChoicesOwn, "two-choices-own"}};
}

/** Returns all values of an enumeration with EnumNames, in order. */
template <class Enum>
std::vector<Enum> AllValues() {
  std::vector<Enum> values;
  for (const auto& row : EnumNames(Enum{})) {
    values.push_back(row.value);
  }
  return values;
}

/** Returns the settings of entry instances for a contender. */
RoutingSettings RoutingOf(Contender contender);

/** Arguments as given; empty texts and zeros mean the default. */
struct MeasureArguments {
  /** Names with commas, or `all`. */
  std::string deployment = "all";
  std::string scenario = "all";
  /** Empty: all, or those of a quick run. */
  std::string contender;
  std::int32_t repeat = 0;
  double duration_s = 0;
  std::uint64_t seed = 1;
  std::string program_folder;
  std::string catalogue_folder;
  std::string work_folder;
  std::int32_t first_port = 30'000;
  bool quick = false;
};

/** What is measured, and where. */
struct MeasureSettings {
  std::vector<DeploymentName> deployments;
  std::vector<Scenario> scenarios;
  std::vector<Contender> contenders;
  std::int32_t repeat = 3;
  /** Measured part of each scenario. */
  double duration_s = 5;
  /** Part before it that isn't measured. */
  double warm_up_s = 2;
  std::uint64_t seed = 1;
  std::string program_folder;
  std::string catalogue_folder;
  std::string work_folder;
  std::int32_t first_port = 30'000;
};

/** Checks arguments and fills in defaults. Throws MeasureSettingsError. */
MeasureSettings CheckArguments(const MeasureArguments& arguments);

/** Returns whether a contender is measured in a scenario. Drain and headroom
 * are limited to the strongest baseline to keep the run short; the cost of an
 * entry instance is that of the system. */
bool TakesPart(Contender contender, Scenario scenario);

}  // namespace kumquatcove::measure

#endif  // MEASURE_MEASURE_SETTINGS_H_
