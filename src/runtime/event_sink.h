#ifndef RUNTIME_EVENT_SINK_H_
#define RUNTIME_EVENT_SINK_H_

#include <vector>

#include "protocol/effect.h"
#include "protocol/event.h"

namespace kumquatcove {

/** Receives events for the reducer. Thread safety: Post may be called from any
 * thread and does not block. */
class EventSink {
 public:
  EventSink() = default;
  EventSink(const EventSink&) = delete;
  EventSink& operator=(const EventSink&) = delete;
  virtual ~EventSink() = default;

  /** Queues one event. Events posted by one thread keep their order. */
  virtual void Post(Event event) = 0;
};

/** Receives effects from the reducer. Thread safety: Execute is called on one
 * thread only and must not block. */
class EffectSink {
 public:
  EffectSink() = default;
  EffectSink(const EffectSink&) = delete;
  EffectSink& operator=(const EffectSink&) = delete;
  virtual ~EffectSink() = default;

  /** Executes the effects of one event in order. */
  virtual void Execute(std::vector<Effect> effects) = 0;
};

}  // namespace kumquatcove

#endif  // RUNTIME_EVENT_SINK_H_
