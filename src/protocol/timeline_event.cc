#include "protocol/timeline_event.h"

#include <algorithm>

namespace kumquatcove {

bool Mentions(const TimelineEvent& event, const std::string& subject) {
  return event.subject == subject ||
         std::any_of(event.fields.begin(), event.fields.end(),
                     [&](const TimelineField& field) {
                       return field.value == subject;
                     });
}

}  // namespace kumquatcove
