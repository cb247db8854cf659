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

/** The adapters that execute effects; all must outlive the dispatcher. */
struct Adapters {
  CallerApi* callers = nullptr;
  OperatorApi* operators = nullptr;
  UpstreamClient* upstreams = nullptr;
  StoreClient* store = nullptr;
  PeerTransport* peers = nullptr;
  /** Called on the IoThread; may be empty if the reducer never returns these
   * effects. */
  std::function<void(const SetReadiness&)> set_readiness;
  std::function<void(const SetCallerLimits&)> set_caller_limits;
  /** Called on the IoThread. */
  std::function<void(const Exit&)> exit;
};

/**
 * Passes effects to the adapters: peer messages immediately, all others on the
 * IoThread in order.
 *
 * Thread safety: Execute must be called on the NodeActor's thread only.
 */
class EffectDispatcher : public EffectSink {
 public:
  explicit EffectDispatcher(IoThread& io) : m_io(io) {}

  /** Sets the adapters. Must be called once before the first effect. */
  void SetAdapters(Adapters adapters) { m_adapters = std::move(adapters); }

  void Execute(std::vector<Effect> effects) override;

 private:
  void ExecuteOnIoThread(std::vector<Effect> effects);

  IoThread& m_io;
  Adapters m_adapters;
};

}  // namespace kumquatcove

#endif  // RUNTIME_EFFECT_DISPATCHER_H_
