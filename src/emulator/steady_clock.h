#ifndef EMULATOR_STEADY_CLOCK_H_
#define EMULATOR_STEADY_CLOCK_H_

#include <chrono>

#include "base/clock_reading.h"

namespace kumquatcove::emulator {

/** Reads the monotonic clock of this process. Thread safety: full. */
inline MonotonicTime ReadMonotonicClock() {
  return MonotonicTime(std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

/** Reads the wall clock. Thread safety: full. */
inline WallTime ReadWallClock() {
  return {std::chrono::duration_cast<Duration>(
              std::chrono::system_clock::now().time_since_epoch())
              .count()};
}

/** Converts a time read by ReadMonotonicClock() for use with Asio timers. */
inline std::chrono::steady_clock::time_point ToSteadyTime(MonotonicTime time) {
  return std::chrono::steady_clock::time_point(time.time_since_epoch());
}

}  // namespace kumquatcove::emulator

#endif  // EMULATOR_STEADY_CLOCK_H_
