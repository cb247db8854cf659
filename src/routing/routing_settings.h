#ifndef ROUTING_ROUTING_SETTINGS_H_
#define ROUTING_ROUTING_SETTINGS_H_

#include <array>

#include <boost/describe/class.hpp>

#include "base/enum_table.h"

namespace kumquatcove {

/** How an upstream is chosen. All but kSlotHome are baselines for measurements.
 */
enum class RoutingPolicy {
  kSlotHome,
  /** Any upstream that accepts new work, at random; the queue forms at the
     upstream. */
  kRandom,
  /** The less loaded of two by their own reports. */
  kTwoChoicesReported,
  /** The less loaded of two by this instance's own requests in flight. */
  kTwoChoicesOwn,
};

constexpr auto EnumNames(RoutingPolicy) {
  using Row = EnumName<RoutingPolicy>;
  return std::array{
      Row{RoutingPolicy::kSlotHome, "slot-home"},
      Row{RoutingPolicy::kRandom, "random"},
      Row{RoutingPolicy::kTwoChoicesReported, "two-choices-reported"},
      Row{RoutingPolicy::kTwoChoicesOwn, "two-choices-own"}};
}

/** Settings of the module `routing`. */
struct RoutingSettings {
  RoutingPolicy policy = RoutingPolicy::kSlotHome;
  bool hedging = true;
  friend bool operator==(const RoutingSettings&,
                         const RoutingSettings&) = default;
};
BOOST_DESCRIBE_STRUCT(RoutingSettings, (), (policy, hedging))

}  // namespace kumquatcove

#endif  // ROUTING_ROUTING_SETTINGS_H_
