#include "runtime/node_actor.h"

#include <atomic>
#include <utility>
#include <variant>

#include <caf/all.hpp>

#include "runtime/system_clock.h"

namespace kumquatcove {

namespace {

/** An event as an actor message. It is held by pointer since CAF copies
 * messages. */
struct EventMessage {
  std::shared_ptr<Event> event;
};

}  // namespace

}  // namespace kumquatcove

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(kumquatcove::EventMessage)

namespace kumquatcove {

namespace {

/** State shared by the actor and the threads that post to it. */
struct MailboxState {
  std::atomic<std::size_t> backlog = 0;
  std::atomic<bool> tick_pending = false;
};

caf::behavior NodeBehavior(caf::event_based_actor* /*self*/,
                           const ReduceFunction& reduce,
                           EffectSink* effects,
                           const std::shared_ptr<MailboxState>& mailbox) {
  return {[reduce, effects, mailbox](const EventMessage& message) {
    mailbox->backlog.fetch_sub(1);
    if (std::holds_alternative<Tick>(*message.event)) {
      mailbox->tick_pending = false;
    }
    effects->Execute(reduce(*message.event, ReadSystemClock()));
  }};
}

caf::actor_system_config& Configure(caf::actor_system_config& config) {
  config.set("scheduler.policy", caf::atom("sharing"));
  config.set("scheduler.max-threads", std::size_t{1});
  return config;
}

}  // namespace

class NodeActor::Implementation {
 public:
  Implementation(ReduceFunction reduce, EffectSink& effects)
      : m_system(Configure(m_config)),
        m_mailbox(std::make_shared<MailboxState>()),
        m_actor(m_system.spawn<caf::detached>(NodeBehavior,
                                              std::move(reduce),
                                              &effects,
                                              m_mailbox)) {}

  ~Implementation() {
    caf::anon_send_exit(m_actor, caf::exit_reason::kill);
    m_actor = nullptr;
    m_system.await_all_actors_done();
  }
  Implementation(const Implementation&) = delete;
  Implementation& operator=(const Implementation&) = delete;

  void Post(Event event) {
    if (std::holds_alternative<Tick>(event) &&
        m_mailbox->tick_pending.exchange(true)) {
      return;
    }
    m_mailbox->backlog.fetch_add(1);
    caf::anon_send(m_actor,
                   EventMessage{std::make_shared<Event>(std::move(event))});
  }

  std::size_t Backlog() const { return m_mailbox->backlog; }

 private:
  caf::actor_system_config m_config;
  caf::actor_system m_system;
  std::shared_ptr<MailboxState> m_mailbox;
  caf::actor m_actor;
};

NodeActor::NodeActor(ReduceFunction reduce, EffectSink& effects)
    : m_implementation(
          std::make_unique<Implementation>(std::move(reduce), effects)) {}

NodeActor::~NodeActor() = default;

void NodeActor::Post(Event event) {
  m_implementation->Post(std::move(event));
}

std::size_t NodeActor::Backlog() const {
  return m_implementation->Backlog();
}

}  // namespace kumquatcove
