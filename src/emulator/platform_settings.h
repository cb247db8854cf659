#ifndef EMULATOR_PLATFORM_SETTINGS_H_
#define EMULATOR_PLATFORM_SETTINGS_H_

#include <cstdint>

#include <boost/describe/class.hpp>

namespace kumquatcove::emulator {

/** Limits and lag of the emulated platform. */
struct PlatformSettings {
  double writes_per_second = 400;
  double reads_per_second = 2000;
  std::int64_t list_lag_ms = 0;
  /** Seed of the random numbers that choose which replies are lost. */
  std::uint64_t seed = 1;
};

/** Faults of table and object store that are switched on; the instance list has
 * a switch of its own. */
struct PlatformFaults {
  /** Connections are reset as soon as a request arrives on them. */
  bool down = false;
  /** Requests are read and never answered. */
  bool silent = false;
  std::int64_t delay_ms = 0;
  /** Probability that the connection is closed without a reply after the
   * request took effect. */
  double lose_replies = 0;
  /** If above 0, the connection is closed without a reply at once, and the
   * request takes effect this much later. */
  std::int64_t late_effect_ms = 0;
  bool instance_list_down = false;
};
BOOST_DESCRIBE_STRUCT(
    PlatformFaults,
    (),
    (down, silent, delay_ms, lose_replies, late_effect_ms, instance_list_down))

/** Operations since the start. */
struct PlatformCounters {
  std::int64_t reads = 0;
  std::int64_t writes = 0;
  /** Operations beyond the limits, answered with 503. */
  std::int64_t refused = 0;
};
BOOST_DESCRIBE_STRUCT(PlatformCounters, (), (reads, writes, refused))

}  // namespace kumquatcove::emulator

#endif  // EMULATOR_PLATFORM_SETTINGS_H_
