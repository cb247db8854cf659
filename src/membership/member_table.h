#ifndef MEMBERSHIP_MEMBER_TABLE_H_
#define MEMBERSHIP_MEMBER_TABLE_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/clock_reading.h"
#include "base/enum_table.h"
#include "base/name.h"
#include "protocol/context.h"
#include "protocol/event.h"
#include "protocol/peer_message.h"

namespace kumquatcove {

/** Health of an instance as observed by this node. */
enum class MemberHealth {
  /** Listed by the platform, but no record was received from it yet. */
  kCandidate,
  kLive,
  kSuspect,
  kDead,
};

constexpr auto EnumNames(MemberHealth) {
  using Row = EnumName<MemberHealth>;
  return std::array{Row{MemberHealth::kCandidate, "candidate"},
                    Row{MemberHealth::kLive, "live"},
                    Row{MemberHealth::kSuspect, "suspect"},
                    Row{MemberHealth::kDead, "dead"}};
}

/** State of one instance as observed by this node. */
struct Member {
  MemberRecord record;
  MemberHealth health = MemberHealth::kCandidate;
  /** Time at which the heartbeat counter last increased, less the estimated
   * delay of records that were forwarded by other instances. */
  MonotonicTime last_progress;
  /** Whether the platform's list flags this incarnation as leaving. */
  bool listed_leaving = false;
  /** Local time at which the counter was 0, estimated from the record with the
   * lowest delay so far. Later arrival of a counter value is the delay of
   * gossip. */
  MonotonicTime counter_origin;

  /** Returns whether callers may be sent to this instance. */
  bool IsServing() const {
    return health == MemberHealth::kLive &&
           record.phase == InstancePhase::kServing && !listed_leaving;
  }
};

inline constexpr Duration kHeartbeatInterval = Milliseconds(200);
/** Instances without progress for this long become suspect and get no new
 * work. */
inline constexpr Duration kSuspectTimeout = Seconds(1);
inline constexpr Duration kDeadTimeout = Seconds(3);
/** A longer gap between ticks means that the process was paused. */
inline constexpr Duration kPauseThreshold = Seconds(1);
/** Time without progress after which a dead member is removed from the table.
 */
inline constexpr Duration kDeadMemberRetention = Seconds(600);
inline constexpr std::size_t kMaxMembers = 4096;
inline constexpr std::size_t kMaxGossipRecords = 64;

/**
 * Table of the entry instances that this node tracks, itself included.
 *
 * Thread safety: none; owned by one reducer.
 */
class MemberTable {
 public:
  /** Adds this instance's own record, in phase kJoining. */
  void Start(Context& context);

  /** Updates the health of all members and sends heartbeats when they are due.
   */
  void OnTick(Context& context);

  /** Merges the records of a gossip message and updates LastContactTime. */
  void OnGossip(Context& context, const InstanceId& from, const Gossip& gossip);

  /** Adds the candidates and applies the leaving flags of the platform's list.
   */
  void OnInstanceList(Context& context,
                      const std::vector<ListedInstance>& instances);

  /** Changes this instance's phase and notifies all live members immediately.
   */
  void SetPhase(Context& context, InstancePhase phase);
  InstancePhase Phase() const;

  /** Returns the member, or null if it isn't in the table. The pointer is valid
   * until the next non-const call. */
  const Member* Find(const InstanceId& instance) const;

  /** Returns all members by instance id, this instance included. */
  const std::map<InstanceId, Member>& All() const { return m_members; }

  /** Returns the live, serving instances of a region, sorted by id. This
   * instance is included if it serves. */
  std::vector<InstanceId> ServingIn(const RegionName& region) const;

  /** Returns all live instances except this one, in any phase, sorted by id. */
  std::vector<InstanceId> LivePeers() const;

  /** Returns whether the instance is live with the given incarnation. */
  bool IsLiveIncarnation(const InstanceId& instance,
                         std::int64_t incarnation) const;

  /** Returns whether the instance is dead or was replaced by a newer
   * incarnation, so that the resources it held can be freed. */
  bool HasIncarnationEnded(const InstanceId& instance,
                           std::int64_t incarnation) const;

  /** Returns the peer address of an instance, or an empty string if unknown. */
  std::string PeerAddress(const InstanceId& instance) const;

  /** Sends a message to an instance; does nothing if its address is unknown. A
   * message to this instance is looped back. */
  void Send(Context& context,
            const InstanceId& instance,
            PeerMessage message) const;

  /** Sends a message to every live peer. */
  void Broadcast(Context& context, const PeerMessage& message) const;

  /** Returns the time at which the last gossip message was received from any
   * peer, or the start time if there was none. */
  MonotonicTime LastContactTime() const { return m_last_contact; }

  /**
   * Returns whether this process was paused and has not received gossip from a
   * peer since.
   *
   * During recovery the state of other instances may be out of date, so
   * operations that need a current state are suspended.
   */
  bool IsRecoveringFromPause() const { return m_recovering_from_pause; }

  /** Returns a number that increases whenever the set of live, serving
   * instances or the incarnation of one of them changes. */
  std::uint64_t MembershipVersion() const { return m_membership_version; }

 private:
  /** Latest incarnation and counter of a member that was removed from the
   * table. */
  struct RemovedMember {
    std::int64_t incarnation = 0;
    std::int64_t counter = 0;
    MonotonicTime removed_at;
  };

  Member& Self() { return m_members.at(m_self); }
  void DetectPause(Context& context);
  void EndRecoveryWithoutPeers();
  void UpdateHealth(Context& context);
  void SetHealth(Context& context, Member& member, MemberHealth health);
  void RemoveMember(Context& context, const InstanceId& instance);
  bool MakeRoom(Context& context);
  bool IsOutdated(const MemberRecord& record) const;
  void MergeRecord(Context& context,
                   const InstanceId& from,
                   const MemberRecord& record);
  void SendNewerIncarnation(Context& context, const MemberRecord& sender);
  void RecordProgress(Context& context,
                      Member& member,
                      bool direct,
                      bool new_incarnation);
  void MergeOwnRecord(Context& context, const MemberRecord& record);
  void UpdateLeavingFlag(Member& member);
  void AddCandidate(Context& context, const ListedInstance& listed);
  void AdvanceOwnRecord(Context& context);
  std::vector<InstanceId> HeartbeatTargets(Context& context);
  Gossip MakeGossip(Context& context);

  std::map<InstanceId, Member> m_members;
  std::map<InstanceId, RemovedMember> m_removed;
  /** Instances that the platform's last list flags as leaving, with the
   * incarnation that the flag applies to (0: not known yet). */
  std::map<InstanceId, std::int64_t> m_leaving_incarnations;
  /** Members whose records were only received through other instances. Each
   * gets one direct heartbeat, from which it estimates the delay of this
   * instance's records. */
  std::vector<InstanceId> m_pending_direct_heartbeats;
  InstanceId m_self;
  /** Last record that was visited for the previous gossip message; the next
   * message continues after it. */
  InstanceId m_gossip_cursor;
  MonotonicTime m_started;
  MonotonicTime m_last_contact;
  MonotonicTime m_last_tick;
  MonotonicTime m_next_heartbeat;
  MonotonicTime m_resumed;
  bool m_recovering_from_pause = false;
  bool m_list_received = false;
  std::uint64_t m_membership_version = 0;
};

}  // namespace kumquatcove

#endif  // MEMBERSHIP_MEMBER_TABLE_H_
