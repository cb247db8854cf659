#ifndef BASE_CLOCK_READING_H_
#define BASE_CLOCK_READING_H_

#include <chrono>
#include <cstdint>

namespace kumquatcove {

/** Length of time; microseconds are fine enough for the shortest network hop.
 */
using Duration = std::chrono::microseconds;

/** Clock of an instance that never goes back and has no relation to the clock
 * of another instance. */
struct MonotonicClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicClock>;
};

/** Point in time on the monotonic clock of one instance; all intervals are
 * measured with it. */
using MonotonicTime = MonotonicClock::time_point;

/** Microseconds since the Unix epoch; it may jump, so it serves the time line
 * and shift schedules only. */
struct WallTime {
  std::int64_t microseconds = 0;
  friend auto operator<=>(const WallTime&, const WallTime&) = default;
};

/** Both clocks of an instance, read by the driver for one event. */
struct ClockReading {
  MonotonicTime monotonic;
  WallTime wall;
};

constexpr Duration Milliseconds(std::int64_t count) {
  return Duration(count * 1000);
}
constexpr Duration Seconds(std::int64_t count) {
  return Duration(count * 1'000'000);
}

}  // namespace kumquatcove

#endif  // BASE_CLOCK_READING_H_
