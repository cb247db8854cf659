#include "runtime/effect_dispatcher.h"

#include <algorithm>
#include <memory>
#include <utility>
#include <variant>

#include "runtime/log_line.h"

namespace kumquatcove {

namespace {

/** Passes one effect to its adapter on the IoThread. */
class EffectExecutor {
 public:
  explicit EffectExecutor(const Adapters& adapters) : m_adapters(adapters) {}

  void operator()(SendPeer& effect) const {
    m_adapters.peers->Send(std::move(effect));
  }
  void operator()(CallStore& effect) const {
    m_adapters.store->Call(std::move(effect));
  }
  void operator()(FetchInstanceList& /*effect*/) const {
    m_adapters.store->FetchInstances();
  }
  void operator()(OpenConnection& effect) const {
    m_adapters.upstreams->Open(effect);
  }
  void operator()(SendUpstream& effect) const {
    m_adapters.upstreams->Send(std::move(effect));
  }
  void operator()(CloseConnection& effect) const {
    m_adapters.upstreams->Close(effect.connection);
  }
  void operator()(ProbeUpstream& effect) const {
    m_adapters.upstreams->Probe(effect);
  }
  void operator()(AnswerCaller& effect) const {
    m_adapters.callers->Execute(std::move(effect));
  }
  void operator()(AnswerLookup& effect) const {
    m_adapters.callers->Execute(effect);
  }
  void operator()(AnswerOperator& effect) const {
    m_adapters.operators->Execute(effect);
  }
  void operator()(RecordTimeline& effect) const { LogEvent(effect.event); }
  void operator()(SetReadiness& effect) const {
    if (m_adapters.set_readiness) {
      m_adapters.set_readiness(effect);
    }
  }
  void operator()(SetCallerLimits& effect) const {
    if (m_adapters.set_caller_limits) {
      m_adapters.set_caller_limits(effect);
    }
  }
  void operator()(Exit& effect) const { m_adapters.exit(effect); }

 private:
  const Adapters& m_adapters;
};

}  // namespace

void EffectDispatcher::Execute(std::vector<Effect> effects) {
  // The peer transport has its own thread; calling it directly avoids a switch
  // to the IoThread.
  for (Effect& effect : effects) {
    if (auto* send = std::get_if<SendPeer>(&effect)) {
      m_adapters.peers->Send(std::move(*send));
    }
  }
  std::erase_if(effects, [](const Effect& effect) {
    return std::holds_alternative<SendPeer>(effect);
  });
  if (effects.empty()) {
    return;
  }
  const auto shared = std::make_shared<std::vector<Effect>>(std::move(effects));
  m_io.Post([this, shared] { ExecuteOnIoThread(std::move(*shared)); });
}

void EffectDispatcher::ExecuteOnIoThread(std::vector<Effect> effects) {
  for (Effect& effect : effects) {
    std::visit(EffectExecutor(m_adapters), effect);
  }
}

}  // namespace kumquatcove
