#ifndef RUNTIME_NODE_ACTOR_H_
#define RUNTIME_NODE_ACTOR_H_

#include <functional>
#include <memory>
#include <vector>

#include "base/clock_reading.h"
#include "runtime/event_sink.h"

namespace kumquatcove {

/** Handles one event and returns its effects; NodeReducer::Reduce in the
 * daemon, a fake in tests. */
using ReduceFunction =
    std::function<std::vector<Effect>(const Event&, ClockReading)>;

/**
 * Actor that owns the reducer and handles one event at a time.
 *
 * The actor runs on its own thread, since CAF's shared workers may sleep up to
 * 10 ms before they process a message. Thread safety: Post may be called from
 * any thread.
 */
class NodeActor : public EventSink {
 public:
  /** Starts the actor. `effects` must outlive this object. */
  NodeActor(ReduceFunction reduce, EffectSink& effects);
  /** Stops the actor; queued events are dropped. */
  ~NodeActor() override;

  /** Queues an event. A Tick is dropped while an earlier one is still queued,
   * so that ticks do not accumulate during a pause. */
  void Post(Event event) override;

  /** Returns the number of queued events. */
  std::size_t Backlog() const;

 private:
  class Implementation;
  std::unique_ptr<Implementation> m_implementation;
};

}  // namespace kumquatcove

#endif  // RUNTIME_NODE_ACTOR_H_
