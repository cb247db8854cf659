#include "node/relay_register.h"

namespace kumquatcove {
namespace {

// Number of relays stored to detect duplicates. Relays are sent once and time
// out within 60 s, so one that is older than this many others can no longer
// arrive.
constexpr std::size_t kMaxReceived = 50'000;

std::optional<RequestId> FindIn(
    const absl::flat_hash_map<RelayId, RequestId>& requests,
    RelayId relay) {
  const auto found = requests.find(relay);
  return found == requests.end() ? std::nullopt : std::optional(found->second);
}

}  // namespace

bool RelayRegister::RecordReceived(RelayId relay) {
  if (!m_received.insert(relay).second) {
    return false;
  }
  m_received_order.push_back(relay);
  if (m_received_order.size() > kMaxReceived) {
    m_received.erase(m_received_order.front());
    m_received_order.pop_front();
  }
  return true;
}

void RelayRegister::BindIncoming(RelayId relay, RequestId request) {
  m_incoming[relay] = request;
}

std::optional<RequestId> RelayRegister::FindIncoming(RelayId relay) const {
  return FindIn(m_incoming, relay);
}

void RelayRegister::BindOutgoing(RelayId relay, RequestId request) {
  m_outgoing[relay] = request;
}

std::optional<RequestId> RelayRegister::FindOutgoing(RelayId relay) const {
  return FindIn(m_outgoing, relay);
}

}  // namespace kumquatcove
