#ifndef TOOLS_TIMELINE_PAGE_H_
#define TOOLS_TIMELINE_PAGE_H_

#include <string>
#include <vector>

#include "protocol/timeline_event.h"

namespace kumquatcove {

/** Sorts the events of all instances by hybrid time and drops duplicates. */
std::vector<TimelineEvent> MergeTimelines(std::vector<TimelineEvent> events);

/** Returns one line for each event, with times relative to the first. */
std::string TimelineText(const std::vector<TimelineEvent>& events);

/** Returns a self-contained HTML page with an SVG time line, one lane for each
 * instance. Precondition: the events are sorted by time. */
std::string TimelineHtml(const std::string& subject,
                         const std::vector<TimelineEvent>& events);

}  // namespace kumquatcove

#endif  // TOOLS_TIMELINE_PAGE_H_
