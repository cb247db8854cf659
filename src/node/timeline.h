#ifndef NODE_TIMELINE_H_
#define NODE_TIMELINE_H_

#include <deque>
#include <string>
#include <vector>

#include "protocol/timeline_event.h"

namespace kumquatcove {

/**
 * The latest timeline events of this instance, stored in memory because
 * instances have no disks.
 *
 * Thread safety: none; owned by one reducer.
 */
class Timeline {
 public:
  /** Adds an event; removes the oldest one if there are more than kCapacity. */
  void Add(TimelineEvent event);

  /** Returns the events whose subject or one of whose field values is
   * `subject`, oldest first; all events if `subject` is empty. */
  std::vector<TimelineEvent> Find(const std::string& subject) const;

 private:
  static constexpr std::size_t kCapacity = 20'000;

  std::deque<TimelineEvent> m_events;
};

}  // namespace kumquatcove

#endif  // NODE_TIMELINE_H_
