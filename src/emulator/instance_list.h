#ifndef EMULATOR_INSTANCE_LIST_H_
#define EMULATOR_INSTANCE_LIST_H_

#include <deque>
#include <map>
#include <set>
#include <string>

#include "base/clock_reading.h"
#include "base/name.h"
#include "protocol/event.h"

namespace kumquatcove::emulator {

/** The platform's list of instances, which is reported as it was some time ago.
 * Thread safety: none. */
class InstanceList {
 public:
  explicit InstanceList(Duration lag) : m_lag(lag) {}

  /** Adds or replaces an instance. */
  void Put(const ListedInstance& instance, MonotonicTime now);
  /** Removes an instance; does nothing if there is none of this name. */
  void Remove(const InstanceId& instance, MonotonicTime now);
  /** Announces that an upstream is leaving, or takes that back. */
  void SetLeaving(const UpstreamId& upstream, bool leaving, MonotonicTime now);

  /** Returns the list as it was when the lag has passed since. */
  InstanceListArrived Report(MonotonicTime now);

 private:
  struct Change {
    MonotonicTime time;
    InstanceListArrived list;
  };

  void Record(MonotonicTime now);
  void DropOld(MonotonicTime now);

  Duration m_lag;
  std::map<InstanceId, ListedInstance> m_instances;
  std::set<UpstreamId> m_leaving;
  /** Changes within the lag, oldest first; the first one is what is reported if
   * it is old enough. */
  std::deque<Change> m_changes;
};

}  // namespace kumquatcove::emulator

#endif  // EMULATOR_INSTANCE_LIST_H_
