#ifndef DISPATCH_DISPATCH_REDUCER_H_
#define DISPATCH_DISPATCH_REDUCER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/clock_reading.h"
#include "dispatch/request_dispatcher.h"
#include "dispatch/stop_schedule.h"
#include "protocol/context.h"
#include "protocol/effect.h"
#include "protocol/event.h"
#include "registry/entry_presence.h"
#include "registry/registry_codec.h"
#include "registry/registry_sync.h"

namespace kumquatcove {

/** Settings of a node that are fixed before its first event. */
struct DispatchNodeSettings {
  Identity identity;
  DispatchSettings dispatch;
  /** Seed of the node's random numbers. */
  std::uint64_t seed = 0;
};

/**
 * All decisions of one entry instance on a deployment whose platform keeps the
 * routes and registers the upstreams.
 *
 * Same contract as NodeReducer: the same events with the same times and
 * settings give the same effects; no function blocks, reads a clock or does
 * I/O. Thread safety: none; the driver passes one event at a time.
 */
class DispatchReducer {
 public:
  /** `codec` must outlive this object. */
  DispatchReducer(const DispatchNodeSettings& settings,
                  const RegistryCodec& codec);

  /**
   * Handles one event and returns the effects, to be executed in order.
   *
   * Preconditions: the first event is Started; `now.monotonic` is not below
   * that of the previous event.
   */
  std::vector<Effect> Reduce(const Event& event, ClockReading now);

 private:
  struct EventVisitor;
  struct ChangeVisitor;

  void HandleStarted();
  void HandleTick();
  void HandleStoreReply(const StoreReplyArrived& event);
  void HandleLookup(const LookupArrived& event);
  void HandleOperatorCommand(const OperatorCommandArrived& event);
  void HandleStopRequested();
  void HandleSettings(const DispatchSettings& settings);

  void ApplyChanges();
  void DetectPause();
  void UpdatePhase();
  void ApplyCallerLimits();
  void BroadcastSuspicions();
  void ShareLoad();
  /** Returns the earliest time at which the stop that is seen now may have been
   * requested. */
  MonotonicTime FindStopBegin() const;
  void ExitWhenDone();
  /** Records what is in flight, `stopping` after the stop was requested. */
  void RecordStopStage(const char* event, Duration stopping);

  Context m_context;
  DispatchSettings m_settings;
  RegistrySync m_registry;
  EntryPresence m_presence;
  RequestDispatcher m_dispatcher;
  MonotonicTime m_last_event;
  /** Last gap between events in which the process didn't run. */
  MonotonicTime m_stall_begin;
  MonotonicTime m_stall_end;
  std::optional<MonotonicTime> m_stop_requested;
  std::optional<StopSchedule> m_stop_schedule;
  CallerIntake m_intake = CallerIntake::kOpen;
  MonotonicTime m_closed;
  bool m_ready = false;
  bool m_exited = false;
};

}  // namespace kumquatcove

#endif  // DISPATCH_DISPATCH_REDUCER_H_
