#ifndef REGISTRY_ENTRY_PRESENCE_H_
#define REGISTRY_ENTRY_PRESENCE_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "protocol/context.h"
#include "protocol/lookup.h"
#include "protocol/peer_message.h"
#include "registry/registry_record.h"

namespace kumquatcove {

/** An entry instance and its address for other instances. */
struct InstanceAddress {
  InstanceId instance;
  std::string peer_address;
};

/**
 * Which entry instances are alive, and which of them a caller should use.
 *
 * An instance writes one row when it starts and then reads those of the others,
 * to which it makes itself known. Heartbeats go to the instances of its own
 * region, and now and then to the others; nothing about liveness is written to
 * the store. Callers are given instances of the own region only, as those are
 * the ones that are heard. Thread safety: none; owned by one
 * reducer.
 */
class EntryPresence {
 public:
  /** Time between two heartbeats. */
  static constexpr Duration kHeartbeatInterval = Seconds(1);
  /** Instances that start together know each other after this time. */
  static constexpr Duration kAcquaintanceTime = Seconds(3);
  /** Of so many heartbeats, one goes to the other regions too: bytes between
   * regions are dear, and only what is asked of all instances together depends
   * on knowing those. */
  static constexpr int kRemoteHeartbeatRatio = 10;
  /** Each instance costs its receivers some messages a second. */
  static constexpr std::size_t kMaxLoadReceivers = 24;
  /** An instance that wasn't heard for this long isn't named to callers. Three
   * heartbeats: one may be lost, and a second one late. */
  static constexpr Duration kSilenceLimit = Milliseconds(3200);

  /** `key_prefix` is the start of the keys of the table of entries. */
  explicit EntryPresence(std::string key_prefix);

  /** Changes the phase, which the others learn at once. */
  void SetPhase(Context& context, InstancePhase phase);
  InstancePhase Phase() const { return m_phase; }

  /** Tells all instances at once which configuration is in force here, so that
   * one whose store connection has gone silent finds out. */
  void SetConfiguration(Context& context, std::int64_t version);

  void OnRegistered(Context& context, const EntryRegistration& entry);
  void OnGone(const InstanceId& instance);
  void OnHeartbeat(Context& context, const Gossip& gossip);
  /** Takes a reply to one of its calls; others are ignored. Returns true if
   * this instance has become registered by it. */
  bool OnReply(Context& context, StoreRequestId id, const StoreReply& reply);
  void OnTick(Context& context);

  /** Returns the instances of the region that are told of this one's load: all
   * that are alive, or kMaxLoadReceivers of them. */
  std::vector<InstanceAddress> FindLoadReceivers(const Context& context) const;

  /** Returns whether this instance has the first name among those of its region
   * that serve; false while it may not know the others. */
  bool IsFirstOfRegion(const Context& context) const;

  /** Sends a message to all instances that are known. */
  void Broadcast(Context& context, const PeerMessage& message) const;

  /** Returns instances for a caller in `zone`, those of its availability zone
   * first; at least two if there are. `time_to_live` bounds their use. */
  LookupAnswer Answer(const Context& context,
                      const ZoneName& zone,
                      Duration time_to_live) const;

  /** Returns the number of instances that are registered, alive or not, in a
   * region or in all; at least 1. */
  int CountRegistered(const RegionName& region) const;
  /** Returns the place of this instance among the registered ones of its
   * region, from 0; all of them find different places once they know each
   * other. */
  int RankInRegion(const Identity& self) const;
  int CountRegistered() const;

 private:
  struct Entry {
    EntryRegistration registration;
    InstancePhase phase = InstancePhase::kJoining;
    std::int64_t incarnation = 0;
    std::int64_t counter = 0;
    std::optional<MonotonicTime> heard;
  };

  /** Sends heartbeats to the instances of the region, or to all. */
  void SendHeartbeats(Context& context, bool to_all);
  Gossip MakeHeartbeat(const Context& context);
  void Register(Context& context);
  bool IsUsable(const Context& context, const Entry& entry) const;

  std::string m_key_prefix;
  InstancePhase m_phase = InstancePhase::kJoining;
  std::map<InstanceId, Entry> m_entries;
  std::int64_t m_counter = 0;
  std::int64_t m_configuration = 0;
  std::optional<MonotonicTime> m_serving_since;
  MonotonicTime m_next_heartbeat;
  MonotonicTime m_next_registration;
  bool m_registered = false;
  std::optional<StoreRequestId> m_call;
};

}  // namespace kumquatcove

#endif  // REGISTRY_ENTRY_PRESENCE_H_
