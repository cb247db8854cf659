#include "capacity/gossip_ring.h"

#include <string>
#include <utility>
#include <variant>

namespace kumquatcove {
namespace {

// Members start at different steps, as heartbeats all at once would be an
// unusual case.
constexpr std::size_t kStartSteps = 10;

// The number in a name of SyntheticInstance.
std::size_t NumberOf(const InstanceId& instance) {
  return std::stoul(instance.Text().substr(instance.Text().find('-') + 1));
}

}  // namespace

GossipRing::GossipRing(std::size_t count, MemberPlacement placement)
    : m_placement(placement) {
  for (std::size_t number = 0; number < count; ++number) {
    m_contexts.push_back(MakeContext(number, placement));
    m_tables.push_back(std::make_unique<MemberTable>());
    const Duration offset(number % kStartSteps * kStep);
    Advance(*m_contexts.back(), offset);
    m_tables.back()->Start(*m_contexts.back());
    Advance(*m_contexts.back(), -offset);
  }
  for (std::size_t number = 0; number < count; ++number) {
    m_tables[number]->SetPhase(*m_contexts[number], InstancePhase::kServing);
    Introduce(number, count);
  }
}

void GossipRing::Step() {
  std::vector<SendPeer> delivered = std::exchange(m_sent, {});
  for (auto& context : m_contexts) {
    Advance(*context, kStep);
  }
  for (const SendPeer& send : delivered) {
    const std::size_t number = NumberOf(send.to);
    m_tables[number]->OnGossip(*m_contexts[number], InstanceId(send.address),
                               std::get<Gossip>(send.message));
    Collect(number);
  }
  for (std::size_t number = 0; number < m_tables.size(); ++number) {
    m_tables[number]->OnTick(*m_contexts[number]);
    Collect(number);
  }
}

double GossipRing::SuspectShare() const {
  std::size_t views = 0;
  std::size_t suspect = 0;
  for (const auto& table : m_tables) {
    for (const auto& [instance, member] : table->All()) {
      ++views;
      suspect += member.health == MemberHealth::kLive ? 0U : 1U;
    }
  }
  return static_cast<double>(suspect) / static_cast<double>(views);
}

void GossipRing::Introduce(std::size_t number, std::size_t count) {
  std::vector<ListedInstance> listed;
  for (std::size_t other = 0; other < count; ++other) {
    const MemberRecord record = MakeRecord(other, m_placement, Duration(0));
    listed.push_back({record.instance, record.region, record.zone,
                      record.caller_address, record.peer_address, false});
  }
  m_tables[number]->OnInstanceList(*m_contexts[number], listed);
  m_contexts[number]->TakeEffects();
}

// The sender's id takes the place of the receiver's address, which isn't
// needed here.
void GossipRing::Collect(std::size_t number) {
  for (Effect& effect : m_contexts[number]->TakeEffects()) {
    if (auto* send = std::get_if<SendPeer>(&effect)) {
      send->address = m_contexts[number]->Self().instance.Text();
      m_sent.push_back(std::move(*send));
    }
  }
}

double FalseSuspicions(std::size_t count, MemberPlacement placement) {
  constexpr int kWarmUpSteps = 500;
  constexpr int kMeasuredSteps = 150;
  GossipRing ring(count, placement);
  for (int step = 0; step < kWarmUpSteps; ++step) {
    ring.Step();
  }
  double share = 0;
  for (int step = 0; step < kMeasuredSteps; ++step) {
    ring.Step();
    share += ring.SuspectShare() / kMeasuredSteps;
  }
  return share;
}

}  // namespace kumquatcove
