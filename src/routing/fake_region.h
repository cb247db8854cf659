#ifndef ROUTING_FAKE_REGION_H_
#define ROUTING_FAKE_REGION_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

#include "base/random.h"
#include "catalogue/catalogue_index.h"
#include "membership/member_table.h"
#include "protocol/protocol.h"
#include "routing/slot_client.h"
#include "routing/slot_home.h"
#include "routing/upstream_health.h"

namespace kumquatcove {

/** Service that the catalogue of a FakeRegion declares. */
struct FakeService {
  std::int32_t upstreams = 4;
  ServiceLimits limits{3, 400, 8, 1000, 60'000, 250, 0, 0, 0, 0, 86'400};
};

/**
 * Some instances of one region that run only membership, slot homes and slot
 * clients, joined by a network that delays and loses messages. For tests.
 */
class FakeRegion {
 public:
  /** One instance. */
  struct Node {
    Node(Identity identity, std::uint64_t seed, RoutingSettings settings)
        : context(std::move(identity), seed),
          health(settings),
          client(settings) {}

    Context context;
    MemberTable members;
    UpstreamHealth health;
    SlotHome home;
    SlotClient client;
    /** The process is paused; messages to it are delayed. */
    bool frozen = false;
    bool dead = false;
  };

  /** A message in flight. */
  struct Message {
    InstanceId from;
    InstanceId to;
    PeerMessage content;
  };

  explicit FakeRegion(int instances,
                      std::uint64_t seed,
                      const FakeService& service = {},
                      RoutingSettings settings = {})
      : m_random(seed), m_service(service) {
    for (int number = 0; number < instances; ++number) {
      const std::string name = "e" + std::to_string(number);
      Identity identity{InstanceId(name),   1,    RegionName("lima"),
                        ZoneName("lima-a"), name, name};
      m_nodes.emplace(
          InstanceId(name),
          std::make_unique<Node>(std::move(identity), seed + number, settings));
    }
    SetCatalogue(1);
    std::vector<ListedInstance> listed;
    for (const auto& [id, node] : m_nodes) {
      listed.push_back({id, RegionName("lima"), ZoneName("lima-a"), id.Text(),
                        id.Text(), false});
    }
    for (auto& [id, node] : m_nodes) {
      SetNow(*node);
      node->members.Start(node->context);
      node->members.OnInstanceList(node->context, listed);
      node->members.SetPhase(node->context, InstancePhase::kServing);
    }
    Run(Seconds(2));
  }

  static ServiceName Service() { return ServiceName("vitrina"); }
  static UpstreamId Upstream(int number) {
    return UpstreamId("u" + std::to_string(number));
  }
  Node& At(const InstanceId& instance) { return *m_nodes.at(instance); }
  const std::map<InstanceId, std::unique_ptr<Node>>& All() const {
    return m_nodes;
  }
  const FakeService& Declared() const { return m_service; }
  MonotonicTime Now() const { return m_now; }

  /** Returns the home according to the first running instance. */
  InstanceId Home() const {
    for (const auto& [id, node] : m_nodes) {
      if (!node->dead && !node->frozen) {
        return FindSlotHome(node->members, Service(), RegionName("lima"))
            .value_or(InstanceId());
      }
    }
    return InstanceId();
  }

  /** Returns a running instance that isn't the home. */
  InstanceId NotHome() const {
    const InstanceId home = Home();
    for (const auto& [id, node] : m_nodes) {
      if (!node->dead && !node->frozen && id != home) {
        return id;
      }
    }
    return InstanceId();
  }

  /** Installs a catalogue of the declared service at all instances. */
  void SetCatalogue(std::int64_t revision) {
    TopologyEntry topology;
    topology.regions = {{RegionName("lima"), {ZoneName("lima-a")}}};
    ServiceEntry entry;
    entry.service = Service();
    entry.limits = m_service.limits;
    for (int number = 0; number < m_service.upstreams; ++number) {
      entry.upstreams.push_back(
          {Upstream(number), ZoneName("lima-a"), "u:1", false});
    }
    const auto catalogue =
        std::make_shared<const CatalogueIndex>(CatalogueSnapshot{
            revision, {{revision, {}, topology}, {revision, {}, entry}}});
    for (auto& [id, node] : m_nodes) {
      node->context.SetCatalogue(catalogue);
    }
  }

  /** Makes a client request a slot. */
  void Request(const InstanceId& instance, const SlotRequest& request) {
    Node& node = At(instance);
    SetNow(node);
    node.client.Request(node.context, node.members, node.health, request);
    Collect(node);
  }

  void Release(const InstanceId& instance,
               TicketId ticket,
               AttemptResult result = AttemptResult::kAnswered,
               Duration service_time = Milliseconds(10)) {
    Node& node = At(instance);
    SetNow(node);
    node.client.Release(node.context, node.members, ticket, result,
                        service_time);
    Collect(node);
  }

  void Withdraw(const InstanceId& instance, TicketId ticket) {
    Node& node = At(instance);
    SetNow(node);
    node.client.Withdraw(node.context, node.members, ticket);
    Collect(node);
  }

  /** Delivers a message at once, as if `from` had sent it. */
  void Inject(const InstanceId& from,
              const InstanceId& to,
              const PeerMessage& content) {
    Deliver({from, to, content});
  }

  /** Advances time in steps of 1 ms, with a tick every 10 ms. */
  void Run(Duration duration) {
    const MonotonicTime end = m_now + duration;
    while (m_now < end) {
      m_now += Milliseconds(1);
      DeliverDue();
      if (m_now.time_since_epoch() % kTickInterval == Duration(0)) {
        for (auto& [id, node] : m_nodes) {
          Tick(*node);
        }
      }
    }
  }

  SlotUsage UsageAt(const InstanceId& instance) {
    Node& node = At(instance);
    return node.home.Usage(node.context, Service());
  }

  /** Returns the messages of type `T` (all if it is PeerMessage) that were sent
   * since the last call, with their receivers. */
  template <class T>
  std::vector<std::pair<InstanceId, T>> TakeSent() {
    std::vector<std::pair<InstanceId, T>> sent;
    for (const Message& message : m_log) {
      if constexpr (std::is_same_v<T, PeerMessage>) {
        sent.emplace_back(message.to, message.content);
      } else if (const T* content = std::get_if<T>(&message.content)) {
        sent.emplace_back(message.to, *content);
      }
    }
    m_log.clear();
    return sent;
  }

  /** Probability in thousandths that a message about slots is lost. */
  std::uint32_t lost_permille = 0;
  /** Slot messages to clients are only recorded, not delivered; the test acts
   * as the clients. */
  bool record_client_messages_only = false;

 private:
  struct MessageVisitor {
    Node& node;
    const InstanceId& from;

    void operator()(const Gossip& message) const {
      node.members.OnGossip(node.context, from, message);
    }
    void operator()(const SlotRequest& message) const {
      node.home.OnRequest(node.context, node.members, node.health, from,
                          message);
    }
    void operator()(const SlotRelease& message) const {
      if (!message.upstream.IsEmpty()) {
        node.health.OnAttempt(node.context, message.upstream, message.result,
                              message.service_time);
      }
      node.home.OnRelease(node.context, node.members, node.health, from,
                          message);
    }
    void operator()(const SlotInventory& message) const {
      node.home.OnInventory(node.context, node.members, from, message);
    }
    void operator()(const SlotGrant& message) const {
      node.client.OnGrant(node.context, node.members, from, message);
    }
    void operator()(const SlotRefusal& message) const {
      node.client.OnRefusal(node.context, node.members, from, message);
    }
    void operator()(const SlotQueued& message) const {
      node.client.OnQueued(node.context, node.members, from, message);
    }
    template <class Other>
    void operator()(const Other&) const {}
  };

  void SetNow(Node& node) {
    node.context.SetNow({m_now, WallTime{m_now.time_since_epoch().count()}});
  }

  void Tick(Node& node) {
    if (node.dead || node.frozen) {
      return;
    }
    SetNow(node);
    node.members.OnTick(node.context);
    node.health.OnTick(node.context);
    node.home.OnTick(node.context, node.members, node.health);
    if (!record_client_messages_only) {
      node.client.OnTick(node.context, node.members, node.health);
    }
    Collect(node);
  }

  void Deliver(const Message& message) {
    Node& node = At(message.to);
    if (node.dead) {
      return;
    }
    const bool to_client =
        std::holds_alternative<SlotGrant>(message.content) ||
        std::holds_alternative<SlotRefusal>(message.content) ||
        std::holds_alternative<SlotQueued>(message.content);
    if (to_client && record_client_messages_only) {
      return;
    }
    SetNow(node);
    std::visit(MessageVisitor{node, message.from}, message.content);
    Collect(node);
  }

  void Collect(Node& node) {
    for (Effect& effect : node.context.TakeEffects()) {
      if (auto* sent = std::get_if<SendPeer>(&effect)) {
        Post(
            {node.context.Self().instance, sent->to, std::move(sent->message)});
      }
    }
  }

  void Post(Message message) {
    const bool is_gossip = std::holds_alternative<Gossip>(message.content);
    if (!is_gossip) {
      m_log.push_back(message);
      if (m_random.NextBelow(1000) < lost_permille) {
        return;
      }
    }
    const Duration delay =
        message.from == message.to ? Duration(0) : Milliseconds(1);
    m_in_flight_messages.emplace(m_now + delay, std::move(message));
  }

  void DeliverDue() {
    std::multimap<MonotonicTime, Message> held;
    while (!m_in_flight_messages.empty() &&
           m_in_flight_messages.begin()->first <= m_now) {
      auto entry = m_in_flight_messages.extract(m_in_flight_messages.begin());
      if (At(entry.mapped().to).frozen) {
        held.insert(std::move(entry));
      } else {
        Deliver(entry.mapped());
      }
    }
    m_in_flight_messages.merge(held);
  }

  Random m_random;
  FakeService m_service;
  MonotonicTime m_now = MonotonicTime(Seconds(100));
  std::map<InstanceId, std::unique_ptr<Node>> m_nodes;
  std::multimap<MonotonicTime, Message> m_in_flight_messages;
  std::vector<Message> m_log;
};

}  // namespace kumquatcove

#endif  // ROUTING_FAKE_REGION_H_
