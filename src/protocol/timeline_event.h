#ifndef PROTOCOL_TIMELINE_EVENT_H_
#define PROTOCOL_TIMELINE_EVENT_H_

#include <string>
#include <vector>

#include <boost/describe/class.hpp>

#include "base/hybrid_clock.h"
#include "base/name.h"

namespace kumquatcove {

struct TimelineField {
  std::string key;
  std::string value;
  friend bool operator==(const TimelineField&, const TimelineField&) = default;
};
BOOST_DESCRIBE_STRUCT(TimelineField, (), (key, value))

/** An event that occurred at an instance; written as one log line. */
struct TimelineEvent {
  HybridTimestamp time;
  InstanceId instance;
  /** Name of the event, such as `claim_granted`. */
  std::string event;
  /** Subject of the event: a request id, idempotency key, edit id, upstream or
   * instance. */
  std::string subject;
  std::vector<TimelineField> fields;
  friend bool operator==(const TimelineEvent&, const TimelineEvent&) = default;
};
BOOST_DESCRIBE_STRUCT(TimelineEvent,
                      (),
                      (time, instance, event, subject, fields))

/** Returns whether `subject` is the subject of the event or the value of one of
 * its fields. */
bool Mentions(const TimelineEvent& event, const std::string& subject);

}  // namespace kumquatcove

#endif  // PROTOCOL_TIMELINE_EVENT_H_
