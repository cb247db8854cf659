#ifndef TOOLS_LOG_TIMELINE_H_
#define TOOLS_LOG_TIMELINE_H_

#include <istream>
#include <stdexcept>
#include <string>
#include <vector>

#include "base/clock_reading.h"
#include "protocol/timeline_event.h"

namespace kumquatcove {

/** A log file can't be read; the text names it. */
class LogFileError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/** Time before the first event of a subject whose events may have caused what
 * happened to it: the platform's outages and a change of the configuration show
 * their effect within it. */
inline constexpr Duration kCauseWindow = Seconds(3);

/** Returns the timeline events among the lines of a log; other lines, and those
 * without a time, are passed over. */
std::vector<TimelineEvent> ReadLog(std::istream& log);

/** Returns the timeline events of all log files. Throws LogFileError. */
std::vector<TimelineEvent> ReadLogFiles(const std::vector<std::string>& files);

/**
 * Returns the events that tell what happened to a subject, and why, sorted by
 * time.
 *
 * These are the events that mention it, all events of requests that mention it
 * (a caller knows only the id of its send), and those of the upstreams and
 * instances that had the requests, from kCauseWindow before the first event to
 * the last one; of instances without those of other requests.
 */
std::vector<TimelineEvent> SelectCauses(
    const std::vector<TimelineEvent>& events,
    const std::string& subject);

}  // namespace kumquatcove

#endif  // TOOLS_LOG_TIMELINE_H_
