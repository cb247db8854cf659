#include "runtime/system_clock.h"

#include <chrono>
#include <ctime>

namespace kumquatcove {

ClockReading ReadSystemClock() {
  // Unlike CLOCK_MONOTONIC, this clock includes time while the machine is
  // suspended, so that deadlines expire meanwhile.
  timespec boot_time{};
  clock_gettime(CLOCK_BOOTTIME, &boot_time);
  const auto monotonic = std::chrono::duration_cast<Duration>(
      std::chrono::seconds(boot_time.tv_sec) +
      std::chrono::nanoseconds(boot_time.tv_nsec));
  const auto wall = std::chrono::duration_cast<Duration>(
      std::chrono::system_clock::now().time_since_epoch());
  return {MonotonicTime(monotonic), WallTime{wall.count()}};
}

}  // namespace kumquatcove
