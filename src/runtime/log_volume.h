#ifndef RUNTIME_LOG_VOLUME_H_
#define RUNTIME_LOG_VOLUME_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock_reading.h"

namespace kumquatcove {

/** Number of omitted log lines of one event. */
struct OmittedLines {
  std::string event;
  std::uint64_t count = 0;
  friend bool operator==(const OmittedLines&, const OmittedLines&) = default;
};

/**
 * Limits the rate of log lines for each event.
 *
 * Each event has its own rate, so that a flood of one event does not suppress
 * others. Answered requests have the lowest rate, so that failures take
 * precedence over successes. Thread safety: none.
 */
class LogVolume {
 public:
  /** Lines per second for answered requests: twice the load of an instance in
   * the users' deployments. */
  static constexpr double kAnsweredPerSecond = 150;
  /** Lines per second for any other event. */
  static constexpr double kPerSecond = 300;
  /** Maximum burst, as the number of lines that the rate allows in this many
   * seconds. */
  static constexpr double kBurstSeconds = 2;
  /** Maximum number of events with their own rate; all further events share
   * one. */
  static constexpr std::size_t kMaxEvents = 200;

  /** Returns whether a line of an event may be written; if not, counts it as
   * omitted. */
  bool Admit(std::string_view event, MonotonicTime now);

  /** Returns the omitted lines since the last call, by event, and resets them.
   */
  std::vector<OmittedLines> TakeOmitted();

 private:
  struct Budget {
    double lines = 0;
    MonotonicTime updated;
    std::uint64_t omitted = 0;
  };

  std::map<std::string, Budget, std::less<>> m_events;
};

}  // namespace kumquatcove

#endif  // RUNTIME_LOG_VOLUME_H_
