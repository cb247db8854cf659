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

/** Lines of one event that were left out. */
struct OmittedLines {
  std::string event;
  std::uint64_t count = 0;
  friend bool operator==(const OmittedLines&, const OmittedLines&) = default;
};

/**
 * Bounds how many log lines of each event are written.
 *
 * Each event has a rate of its own, so that a flood of one doesn't hide another
 * one; answered requests have the lowest, so that failures are seen before
 * successes. Thread safety: none.
 */
class LogVolume {
 public:
  /** Lines a second of requests that were answered: twice the load of an
   * instance in the users' deployments. */
  static constexpr double kAnsweredPerSecond = 150;
  /** Lines a second of any other event. */
  static constexpr double kPerSecond = 300;
  /** Lines that may come at once, in seconds of the rate. */
  static constexpr double kBurstSeconds = 2;
  /** Events that are told apart; further ones share a rate. */
  static constexpr std::size_t kMaxEvents = 200;

  /** Returns whether a line of an event may be written; if not, it counts as
   * left out. */
  bool Admit(std::string_view event, MonotonicTime now);

  /** Returns what has been left out since the last call, by event. */
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
