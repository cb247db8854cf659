#ifndef PROTOCOL_LOOKUP_H_
#define PROTOCOL_LOOKUP_H_

#include <string>
#include <vector>

#include <boost/describe/class.hpp>

#include "base/clock_reading.h"
#include "base/name.h"
#include "protocol/outcome.h"

namespace kumquatcove {

/** An entry instance that a caller may use. */
struct LookupEntry {
  InstanceId instance;
  ZoneName zone;
  /** IP address and port for callers. */
  std::string address;
  friend bool operator==(const LookupEntry&, const LookupEntry&) = default;
};
BOOST_DESCRIBE_STRUCT(LookupEntry, (), (instance, zone, address))

/** Entry instances in order of preference, valid for `time_to_live`. Empty if
 * the lookup was refused. */
struct LookupAnswer {
  RefusalReason reason = RefusalReason::kNone;
  std::vector<LookupEntry> entries;
  Duration time_to_live{0};
  friend bool operator==(const LookupAnswer&, const LookupAnswer&) = default;
};
BOOST_DESCRIBE_STRUCT(LookupAnswer, (), (reason, entries, time_to_live))

}  // namespace kumquatcove

#endif  // PROTOCOL_LOOKUP_H_
