#include "tools/log_timeline.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <optional>
#include <set>
#include <string_view>

#include "runtime/log_line.h"
#include "tools/timeline_page.h"

namespace kumquatcove {
namespace {

/** Returns whether an event is about a single request. */
bool IsOfRequest(const TimelineEvent& event) {
  constexpr std::array<std::string_view, 4> kPrefixes = {
      "request_", "send_", "connection_", "claim_"};
  return std::any_of(
      kPrefixes.begin(), kPrefixes.end(),
      [&](std::string_view prefix) { return event.event.starts_with(prefix); });
}

/** Returns whether an event is about another upstream or instance than that
 * which recorded it. */
bool IsOfOther(const TimelineEvent& event) {
  return event.event.starts_with("upstream_") ||
         event.event.starts_with("entry_");
}

/** What the requests of a subject had to do with. */
struct Involved {
  std::set<std::string> requests;
  std::set<std::string> upstreams;
  std::set<InstanceId> instances;
  std::int64_t begin_us = 0;
  std::int64_t end_us = 0;
};

Involved FindInvolved(const std::vector<TimelineEvent>& events,
                      const std::string& subject) {
  Involved involved;
  for (const TimelineEvent& event : events) {
    if (Mentions(event, subject) && IsOfRequest(event)) {
      involved.requests.insert(event.subject);
    }
  }
  bool first = true;
  for (const TimelineEvent& event : events) {
    if (!involved.requests.contains(event.subject) &&
        !Mentions(event, subject)) {
      continue;
    }
    involved.instances.insert(event.instance);
    const std::int64_t time = event.time.wall_microseconds;
    involved.begin_us = first ? time : std::min(involved.begin_us, time);
    involved.end_us = first ? time : std::max(involved.end_us, time);
    first = false;
    for (const TimelineField& field : event.fields) {
      if (field.key == "upstream") {
        involved.upstreams.insert(field.value);
      }
    }
  }
  involved.begin_us -= kCauseWindow.count();
  return involved;
}

}  // namespace

std::vector<TimelineEvent> ReadLog(std::istream& log) {
  std::vector<TimelineEvent> events;
  std::string line;
  while (std::getline(log, line)) {
    std::optional<TimelineEvent> event = ParseTimelineEvent(line);
    if (event && event->time.wall_microseconds != 0) {
      events.push_back(std::move(*event));
    }
  }
  return events;
}

std::vector<TimelineEvent> ReadLogFiles(const std::vector<std::string>& files) {
  std::vector<TimelineEvent> events;
  for (const std::string& name : files) {
    std::ifstream file(name);
    if (!file) {
      throw LogFileError("can't read the log '" + name + "'");
    }
    const std::vector<TimelineEvent> more = ReadLog(file);
    events.insert(events.end(), more.begin(), more.end());
  }
  return events;
}

std::vector<TimelineEvent> SelectCauses(
    const std::vector<TimelineEvent>& events,
    const std::string& subject) {
  const Involved involved = FindInvolved(events, subject);
  std::vector<TimelineEvent> selected;
  for (const TimelineEvent& event : events) {
    const bool direct =
        involved.requests.contains(event.subject) || Mentions(event, subject);
    const std::int64_t time = event.time.wall_microseconds;
    const bool near = time >= involved.begin_us && time <= involved.end_us;
    const bool of_upstream = involved.upstreams.contains(event.subject);
    const bool of_instance = involved.instances.contains(event.instance) &&
                             !IsOfRequest(event) && !IsOfOther(event);
    if (direct || (near && (of_upstream || of_instance))) {
      selected.push_back(event);
    }
  }
  return MergeTimelines(std::move(selected));
}

}  // namespace kumquatcove
