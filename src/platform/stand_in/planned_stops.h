#ifndef PLATFORM_STAND_IN_PLANNED_STOPS_H_
#define PLATFORM_STAND_IN_PLANNED_STOPS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "base/clock_reading.h"
#include "base/random.h"
#include "platform/stand_in/soak_instances.h"
#include "platform/stand_in/soak_ledger.h"

namespace kumquatcove::stand_in {

/** What accompanies planned stops. */
struct PlannedStopsSettings {
  /** Instances that are stopping may get further SIGTERMs. */
  bool repeated_signals = true;
  /** SIGHUPs and new configurations beside the stops. */
  bool changes = true;
  /** Some instances get SIGTERM while they are frozen, or before they are
   * ready. */
  bool awkward_times = true;
};

/**
 * Stops all instances in two series that overlap, as two operators might at a
 * time, and starts each again.
 *
 * A process gets SIGKILL only after its grace time. Thread safety: none; not
 * used on the thread of the stand-ins.
 */
class PlannedStops {
 public:
  /** `publish` writes a new configuration. The references must outlive this
   * object. */
  PlannedStops(SoakInstances& instances,
               IoThread& io,
               SoakLedger& ledger,
               std::function<void()> publish,
               PlannedStopsSettings settings,
               std::uint64_t seed);

  /** Plays both series and waits until all instances are ready again. */
  void Play();

 private:
  struct State {
    MonotonicTime started;
    /** First SIGTERM to the present process. */
    std::optional<MonotonicTime> terminated;
    std::optional<MonotonicTime> frozen;
    bool was_frozen = false;
    bool is_gone = false;
  };

  void DrawSeries();
  void DrawChanges();
  void After(Duration delay, std::function<void()> event);
  /** Returns a time in [least, most). */
  Duration Draw(std::int64_t least_ms, std::int64_t most_ms);
  bool Chance(double share) { return m_random.NextFraction() < share; }
  void Stop(const std::string& name);
  void Terminate(const std::string& name);
  void Freeze(const std::string& name);
  void Thaw(const std::string& name);
  void Reload(const std::string& name);
  /** Handles an end of the process, or the end of its grace time. */
  void Watch(const std::string& name);
  /** Reports an end that isn't in order. */
  void CheckEnd(const std::string& name);
  /** Lets the instance start again later. */
  void OnEnded(const std::string& name);
  void Start(const std::string& name);

  SoakInstances& m_instances;
  IoThread& m_io;
  SoakLedger& m_ledger;
  std::function<void()> m_publish;
  PlannedStopsSettings m_settings;
  Random m_random;
  std::map<std::string, State> m_states;
  std::multimap<MonotonicTime, std::function<void()>> m_events;
};

}  // namespace kumquatcove::stand_in

#endif  // PLATFORM_STAND_IN_PLANNED_STOPS_H_
