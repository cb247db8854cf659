#ifndef MEMBERSHIP_FAKE_NETWORK_H_
#define MEMBERSHIP_FAKE_NETWORK_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <set>
#include <utility>
#include <vector>

#include "base/clock_reading.h"
#include "base/random.h"
#include "protocol/effect.h"
#include "protocol/event.h"

namespace kumquatcove {

/**
 * Simulated network between the nodes of a test. It drops, delays and reorders
 * messages, and can partition regions.
 *
 * Thread safety: none.
 */
class FakeNetwork {
 public:
  struct Settings {
    std::int64_t loss_permille = 0;
    Duration min_delay = Milliseconds(1);
    Duration max_delay = Milliseconds(20);
  };
  /** Delivers a message. Returns false if the receiver is frozen; the message
   * is then kept and delivered later. */
  using Receiver =
      std::function<bool(const InstanceId& to, const PeerMessageArrived&)>;

  FakeNetwork(Settings settings, std::uint64_t seed)
      : m_settings(settings), m_random(seed) {}

  /** Partitions `region` from all others, or ends the partition. */
  void SetCut(const RegionName& region, bool cut) {
    if (cut) {
      m_cut.insert(region);
    } else {
      m_cut.erase(region);
    }
  }
  bool IsCut(const RegionName& a, const RegionName& b) const {
    return a != b && (m_cut.count(a) > 0 || m_cut.count(b) > 0);
  }

  /** Sends a message from an instance in `from_region` to one in `to_region`.
   */
  void Send(MonotonicTime now,
            const InstanceId& from,
            const RegionName& from_region,
            const RegionName& to_region,
            const SendPeer& send) {
    const std::int64_t range =
        (m_settings.max_delay - m_settings.min_delay).count() + 1;
    const Duration delay =
        m_settings.min_delay +
        Duration(m_random.NextBelow(static_cast<std::uint64_t>(range)));
    const bool lost = m_random.NextBelow(1000) <
                      static_cast<std::uint64_t>(m_settings.loss_permille);
    if (!lost && !IsCut(from_region, to_region)) {
      m_messages.push_back(
          {now + delay, send.to, {from, send.sent, send.message}});
    }
  }

  /** Delivers all messages that are due at `now`, in order of arrival. */
  void Deliver(MonotonicTime now, const Receiver& receiver) {
    std::vector<Message> due;
    std::vector<Message> later;
    for (Message& message : m_messages) {
      (message.due <= now ? due : later).push_back(std::move(message));
    }
    m_messages = std::move(later);
    std::stable_sort(
        due.begin(), due.end(),
        [](const Message& a, const Message& b) { return a.due < b.due; });
    for (Message& message : due) {
      if (!receiver(message.to, message.arrived)) {
        m_messages.push_back(std::move(message));
      }
    }
  }

 private:
  struct Message {
    MonotonicTime due;
    InstanceId to;
    PeerMessageArrived arrived;
  };

  Settings m_settings;
  Random m_random;
  std::set<RegionName> m_cut;
  std::vector<Message> m_messages;
};

}  // namespace kumquatcove

#endif  // MEMBERSHIP_FAKE_NETWORK_H_
