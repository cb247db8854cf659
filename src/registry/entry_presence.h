#ifndef REGISTRY_ENTRY_PRESENCE_H_
#define REGISTRY_ENTRY_PRESENCE_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "protocol/context.h"
#include "protocol/lookup.h"
#include "protocol/peer_message.h"
#include "registry/registry_record.h"

namespace kumquatcove {

/** An entry instance and the address at which other instances reach it. */
struct InstanceAddress {
  InstanceId instance;
  std::string peer_address;
};

/**
 * Tracks which entry instances are alive and which of them callers should use.
 *
 * At startup an instance writes one row, then reads the rows of the other
 * instances and announces itself to them; an instance that hears of a new run
 * of another one answers it with a heartbeat at once. It removes the row when
 * it leaves, and repeats either write after a restore of the store. It sends
 * every heartbeat to the instances of its own region, and one in
 * kRemoteHeartbeatRatio also to the other regions. Liveness is not written to
 * the store. Lookup answers contain only instances of the own region, because
 * only those send frequent heartbeats. Thread safety: none; owned by one
 * reducer.
 */
class EntryPresence {
 public:
  /** Interval between heartbeats. */
  static constexpr Duration kHeartbeatInterval = Seconds(1);
  /** Time after which instances that start together have discovered each other.
   */
  static constexpr Duration kDiscoveryTime = Seconds(3);
  /** One of this many heartbeats is also sent to the other regions. Traffic
   * between regions is expensive, and only limits that are shared by all
   * instances depend on knowing the instances of other regions. */
  static constexpr int kRemoteHeartbeatRatio = 10;
  /** Maximum number of instances that receive this instance's load, since each
   * sender costs its receivers some messages per second. */
  static constexpr std::size_t kMaxLoadReceivers = 24;
  /** Instances that rewrite their rows together spread the calls over this
   * time.
   */
  static constexpr Duration kMaxRewriteDelay = Seconds(1);
  /** Time since its start after which an instance coordinates anything; the
   * instances of its region know it by then. */
  static constexpr Duration kMinCoordinatorAge = Seconds(4);
  /** Time without a heartbeat after which an instance is left out of lookup
   * answers. It spans three heartbeats, as one may be lost and a second one
   * late. */
  static constexpr Duration kHeartbeatTimeout = Milliseconds(3200);

  /** `key_prefix` is the key prefix of the table of entry instances. */
  explicit EntryPresence(std::string key_prefix);

  /** Changes the phase and notifies the instances of the region at once. */
  void SetPhase(Context& context, InstancePhase phase);
  InstancePhase Phase() const { return m_phase; }

  /** Writes or removes the own row once more, at a random time within
   * kMaxRewriteDelay, since the store may have lost that. */
  void OnStoreRestored(Context& context);

  /** Notifies all instances at once of the configuration version in effect
   * here, so that an instance with a stalled store connection can detect it. */
  void SetConfiguration(Context& context, std::int64_t version);

  void OnRegistered(Context& context, const EntryRegistration& entry);
  void OnRemoved(const InstanceId& instance);
  void OnHeartbeat(Context& context, const Gossip& gossip);
  /** Handles a reply to one of this object's calls; ignores other replies.
   * Returns true if the reply completes the registration of this instance. */
  bool OnReply(Context& context, StoreRequestId id, const StoreReply& reply);
  void OnTick(Context& context);

  /** Returns the instances of the region to which this instance sends its load:
   * all live ones, but at most kMaxLoadReceivers. */
  std::vector<InstanceAddress> FindLoadReceivers(const Context& context) const;

  /** Returns the instance of a region that coordinates `key`: the first by
   * rendezvous hashing among those that are alive and have run for
   * kMinCoordinatorAge, so that the instances of the region agree on it. It may
   * be this instance; `std::nullopt` if there is none. Instances in `excluded`
   * are left out. */
  std::optional<InstanceAddress> FindCoordinator(
      const Context& context,
      const RegionName& region,
      std::uint64_t key,
      const std::set<InstanceId>& excluded) const;

  /** Returns the regions with instances, including the own one. */
  std::set<RegionName> ListRegions(const Context& context) const;

  /** Returns the address of an instance; `std::nullopt` if it isn't known. */
  std::optional<InstanceAddress> FindAddress(const InstanceId& instance) const;

  /** Returns whether this instance has the smallest id among the serving
   * instances of its region; false until kDiscoveryTime after it began to
   * serve, as it may not have discovered the others before. */
  bool IsFirstOfRegion(const Context& context) const;

  /** Sends a message to all known instances. */
  void Broadcast(Context& context, const PeerMessage& message) const;

  /** Returns instances for a caller in `zone`: those of its availability zone,
   * followed by others if there are fewer than two. `time_to_live` limits how
   * long the caller may use the answer. */
  LookupAnswer Answer(const Context& context,
                      const ZoneName& zone,
                      Duration time_to_live) const;

  /** Returns the number of registered instances of a region, alive or not, at
   * least 1. The overload without a region counts those of all regions. */
  int CountRegistered(const RegionName& region) const;
  /** Returns the zero-based rank of this instance among the registered
   * instances of its region. Ranks are unique once the instances have
   * discovered each other. */
  int RankInRegion(const Identity& self) const;
  int CountRegistered() const;

 private:
  struct Entry {
    EntryRegistration registration;
    InstancePhase phase = InstancePhase::kJoining;
    std::int64_t incarnation = 0;
    std::int64_t counter = 0;
    std::optional<MonotonicTime> last_contact;
  };

  /** Sends heartbeats to the instances of the region, or to all instances. */
  void SendHeartbeats(Context& context, bool to_all);
  Gossip MakeHeartbeat(const Context& context);
  /** Writes the own row, or removes it if this instance is leaving. */
  void WriteOwnRow(Context& context);
  bool IsUsable(const Context& context, const Entry& entry) const;
  /** Returns whether an instance may be a coordinator. Instances of other
   * regions, which send few heartbeats, may have ended unnoticed. */
  bool MayCoordinate(const Context& context, const Entry& entry) const;
  static bool HasCoordinatorAge(const Context& context,
                                std::int64_t incarnation);

  std::string m_key_prefix;
  InstancePhase m_phase = InstancePhase::kJoining;
  std::map<InstanceId, Entry> m_entries;
  std::int64_t m_counter = 0;
  std::int64_t m_configuration_version = 0;
  std::optional<MonotonicTime> m_serving_since;
  MonotonicTime m_next_heartbeat;
  /** Time of the next write of the own row, unless that is current. */
  MonotonicTime m_next_row_write;
  bool m_is_row_current = false;
  /** Write in progress, and whether it removes the row. */
  std::optional<StoreRequestId> m_call;
  bool m_call_removes = false;
};

}  // namespace kumquatcove

#endif  // REGISTRY_ENTRY_PRESENCE_H_
