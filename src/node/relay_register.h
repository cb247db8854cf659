#ifndef NODE_RELAY_REGISTER_H_
#define NODE_RELAY_REGISTER_H_

#include <deque>
#include <optional>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include "protocol/ids.h"

namespace kumquatcove {

/**
 * Maps relays in progress to their requests, and detects relays that are
 * received twice.
 *
 * Thread safety: none; owned by one reducer.
 */
class RelayRegister {
 public:
  /** Records a received relay. Returns false if it is a duplicate, so that no
   * relay is executed twice. */
  bool RecordReceived(RelayId relay);

  /** Binds a received relay to the request that executes it. */
  void BindIncoming(RelayId relay, RequestId request);
  std::optional<RequestId> FindIncoming(RelayId relay) const;
  void EraseIncoming(RelayId relay) { m_incoming.erase(relay); }

  /** Binds a sent relay to the request that waits for its answer. */
  void BindOutgoing(RelayId relay, RequestId request);
  std::optional<RequestId> FindOutgoing(RelayId relay) const;
  void EraseOutgoing(RelayId relay) { m_outgoing.erase(relay); }

 private:
  using Requests = absl::flat_hash_map<RelayId, RequestId>;

  Requests m_incoming;
  Requests m_outgoing;
  absl::flat_hash_set<RelayId> m_received;
  /** The elements of m_received, oldest first. */
  std::deque<RelayId> m_received_order;
};

}  // namespace kumquatcove

#endif  // NODE_RELAY_REGISTER_H_
