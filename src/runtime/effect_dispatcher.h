#ifndef RUNTIME_EFFECT_DISPATCHER_H_
#define RUNTIME_EFFECT_DISPATCHER_H_

#include <functional>
#include <vector>

#include "runtime/caller_api.h"
#include "runtime/event_sink.h"
#include "runtime/io_thread.h"
#include "runtime/operator_api.h"
#include "runtime/peer_transport.h"
#include "runtime/store_client.h"
#include "runtime/upstream_client.h"

namespace kumquatcove {

/** The adapters that carry out effects; all must outlive the dispatcher. */
struct Adapters {
  CallerApi* callers = nullptr;
  OperatorApi* operators = nullptr;
  UpstreamClient* upstreams = nullptr;
  StoreClient* store = nullptr;
  PeerTransport* peers = nullptr;
  /** Called on the IoThread; may be empty if the reducer has no such effects.
   */
  std::function<void(const SetReadiness&)> set_readiness;
  std::function<void(const SetCallerLimits&)> set_caller_limits;
  /** Called on the IoThread after the effect Exit. */
  std::function<void()> exit;
};

/**
 * Hands effects to the adapters: messages to peers at once, all others on the
 * IoThread in their order.
 *
 * Thread safety: Carry is called by the NodeActor's thread only.
 */
class EffectDispatcher : public EffectSink {
 public:
  explicit EffectDispatcher(IoThread& io) : m_io(io) {}

  /** Sets the adapters; called once before the first effect. */
  void SetAdapters(Adapters adapters) { m_adapters = std::move(adapters); }

  void Carry(std::vector<Effect> effects) override;

 private:
  void CarryOnIoThread(std::vector<Effect> effects);

  IoThread& m_io;
  Adapters m_adapters;
};

}  // namespace kumquatcove

#endif  // RUNTIME_EFFECT_DISPATCHER_H_
