#include "membership/member_table.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <tuple>
#include <utility>

namespace kumquatcove {
namespace {

// Ring successors alone propagate records too slowly: with 120 members the
// farthest is 30 hops away, and one table in twenty had a running member as
// suspect. Random targets halve the remaining distance with each hop.
constexpr std::size_t kRingSuccessors = 2;
constexpr std::size_t kRandomInRegion = 2;
// Heartbeats also go to candidates, so that a joining instance makes contact
// with the others. The number in each round is limited to bound the traffic.
constexpr std::size_t kCandidatesPerRound = 4;
// Heartbeats also go to one dead member in each round, so that both sides of a
// healed partition make contact again without the platform's list.
constexpr std::size_t kDeadPerRound = 1;
constexpr std::size_t kDirectHeartbeatsPerRound = 4;
constexpr std::size_t kMaxRemovedMembers = 4096;

// Maximum delay that is subtracted for a forwarded record. It is bounded
// because the records of an instance whose clock stopped for a while would look
// delayed permanently. Plus one heartbeat interval, it must stay below
// kSuspectTimeout.
constexpr Duration kMaxRelayDelay = Milliseconds(600);
// A larger apparent delay of a record means that its owner's clock jumped.
constexpr Duration kMaxPlausibleDelay = Seconds(1);
// Rate at which the estimated origin of a counter follows clock drift. 0.1%
// exceeds the drift of any working clock.
constexpr std::int64_t kDriftDivisor = 1000;

// Records that exceed these bounds are corrupt. The bounds prevent overflow in
// arithmetic with the values.
constexpr std::int64_t kMaxCounter = std::int64_t{1} << 50U;
constexpr std::int64_t kMaxIncarnation = std::int64_t{1} << 62U;

// Messages that were buffered during a pause are processed immediately after it
// and don't reflect the current state, so only later messages end the recovery.
constexpr Duration kBufferedGossipPeriod = Milliseconds(100);

std::int64_t CounterAt(MonotonicTime started, MonotonicTime now) {
  return 1 +
         std::chrono::duration_cast<std::chrono::milliseconds>(now - started)
             .count();
}

// Appends up to `count` random elements of `pool` to `chosen`.
void AppendRandom(Random& random,
                  std::vector<InstanceId> pool,
                  std::size_t count,
                  std::vector<InstanceId>& chosen) {
  for (; count > 0 && !pool.empty(); --count) {
    const std::size_t index = random.NextBelow(pool.size());
    chosen.push_back(std::move(pool[index]));
    pool[index] = std::move(pool.back());
    pool.pop_back();
  }
}

}  // namespace

void MemberTable::Start(Context& context) {
  const Identity& self = context.Self();
  m_self = self.instance;
  m_started = context.Now();
  m_last_contact = m_started;
  m_last_tick = m_started;
  m_next_heartbeat = m_started;
  Member member;
  member.record = MemberRecord{self.instance,
                               self.incarnation,
                               1,
                               self.region,
                               self.zone,
                               self.caller_address,
                               self.peer_address,
                               InstancePhase::kJoining,
                               context.Catalogue().Revision()};
  member.health = MemberHealth::kLive;
  member.last_progress = m_started;
  m_members[m_self] = std::move(member);
  ++m_membership_version;
}

void MemberTable::OnTick(Context& context) {
  DetectPause(context);
  m_last_tick = context.Now();
  UpdateHealth(context);
  EndRecoveryWithoutPeers();
  if (context.Now() < m_next_heartbeat) {
    return;
  }
  m_next_heartbeat = context.Now() + kHeartbeatInterval;
  AdvanceOwnRecord(context);
  const Gossip gossip = MakeGossip(context);
  for (const InstanceId& target : HeartbeatTargets(context)) {
    Send(context, target, gossip);
  }
}

void MemberTable::OnGossip(Context& context,
                           const InstanceId& from,
                           const Gossip& gossip) {
  DetectPause(context);
  if (from == m_self) {
    return;
  }
  const Member* sender = Find(from);
  const bool was_live =
      sender != nullptr && sender->health == MemberHealth::kLive;
  m_last_contact = context.Now();
  if (context.Now() - m_resumed >= kBufferedGossipPeriod) {
    m_recovering_from_pause = false;
  }
  const std::size_t count = std::min(gossip.records.size(), kMaxGossipRecords);
  for (std::size_t index = 0; index < count; ++index) {
    MergeRecord(context, from, gossip.records[index]);
  }
  sender = Find(from);
  if (!was_live && sender != nullptr && sender->health == MemberHealth::kLive) {
    // Reply immediately, so that a joining or returning instance needn't wait
    // until it is selected as a heartbeat target.
    Send(context, from, MakeGossip(context));
  }
}

void MemberTable::OnInstanceList(Context& context,
                                 const std::vector<ListedInstance>& instances) {
  std::map<InstanceId, std::int64_t> leaving_incarnations;
  std::map<InstanceId, bool> listed_ids;
  for (const ListedInstance& listed : instances) {
    if (listed_ids.size() >= kMaxMembers) {
      break;
    }
    listed_ids[listed.instance] = true;
    AddCandidate(context, listed);
    if (listed.leaving) {
      const auto known = m_leaving_incarnations.find(listed.instance);
      leaving_incarnations[listed.instance] =
          known == m_leaving_incarnations.end() ? 0 : known->second;
    }
  }
  if (const auto own = leaving_incarnations.find(m_self);
      own != leaving_incarnations.end() && !m_list_received) {
    // The list lags: a flag that is older than this process refers to its
    // predecessor.
    own->second = context.Self().incarnation - 1;
  }
  m_list_received = true;
  m_leaving_incarnations = std::move(leaving_incarnations);
  for (auto it = m_members.begin(); it != m_members.end();) {
    Member& member = it->second;
    UpdateLeavingFlag(member);
    const bool withdrawn = member.health == MemberHealth::kCandidate &&
                           listed_ids.count(it->first) == 0;
    it = withdrawn ? m_members.erase(it) : std::next(it);
  }
}

void MemberTable::SetPhase(Context& context, InstancePhase phase) {
  Member& self = Self();
  if (self.record.phase == phase) {
    return;
  }
  const bool served = self.IsServing();
  self.record.phase = phase;
  if (served != self.IsServing()) {
    ++m_membership_version;
  }
  context.Record("phase_changed", m_self.Text(),
                 {{"phase", std::string(ToString(phase))}});
  AdvanceOwnRecord(context);
  Broadcast(context, MakeGossip(context));
}

InstancePhase MemberTable::Phase() const {
  const Member* self = Find(m_self);
  return self == nullptr ? InstancePhase::kJoining : self->record.phase;
}

const Member* MemberTable::Find(const InstanceId& instance) const {
  const auto found = m_members.find(instance);
  return found == m_members.end() ? nullptr : &found->second;
}

std::vector<InstanceId> MemberTable::ServingIn(const RegionName& region) const {
  std::vector<InstanceId> serving;
  for (const auto& [instance, member] : m_members) {
    if (member.IsServing() && member.record.region == region) {
      serving.push_back(instance);
    }
  }
  return serving;
}

std::vector<InstanceId> MemberTable::LivePeers() const {
  std::vector<InstanceId> live;
  for (const auto& [instance, member] : m_members) {
    if (instance != m_self && member.health == MemberHealth::kLive) {
      live.push_back(instance);
    }
  }
  return live;
}

bool MemberTable::IsLiveIncarnation(const InstanceId& instance,
                                    std::int64_t incarnation) const {
  const Member* member = Find(instance);
  return member != nullptr && member->health == MemberHealth::kLive &&
         member->record.incarnation == incarnation;
}

bool MemberTable::HasIncarnationEnded(const InstanceId& instance,
                                      std::int64_t incarnation) const {
  const Member* member = Find(instance);
  if (member != nullptr && member->health != MemberHealth::kCandidate) {
    return member->record.incarnation > incarnation ||
           (member->record.incarnation == incarnation &&
            member->health == MemberHealth::kDead);
  }
  const auto removed = m_removed.find(instance);
  return removed != m_removed.end() &&
         removed->second.incarnation >= incarnation;
}

std::string MemberTable::PeerAddress(const InstanceId& instance) const {
  const Member* member = Find(instance);
  return member == nullptr ? std::string() : member->record.peer_address;
}

void MemberTable::Send(Context& context,
                       const InstanceId& instance,
                       PeerMessage message) const {
  const std::string address = PeerAddress(instance);
  if (!address.empty()) {
    context.SendTo(instance, address, std::move(message));
  }
}

void MemberTable::Broadcast(Context& context,
                            const PeerMessage& message) const {
  for (const InstanceId& peer : LivePeers()) {
    Send(context, peer, message);
  }
}

void MemberTable::DetectPause(Context& context) {
  const MonotonicTime now = context.Now();
  const Duration gap = now - m_last_tick;
  if (gap <= kPauseThreshold) {
    return;
  }
  m_last_tick = now;
  m_resumed = now;
  m_recovering_from_pause = true;
  for (auto& [instance, member] : m_members) {
    if (member.health == MemberHealth::kLive ||
        member.health == MemberHealth::kSuspect) {
      member.last_progress = now;
    }
  }
  context.Record("pause_detected", m_self.Text(),
                 {{"microseconds", std::to_string(gap.count())}});
}

void MemberTable::EndRecoveryWithoutPeers() {
  const bool any_peer =
      std::any_of(m_members.begin(), m_members.end(), [&](const auto& entry) {
        return entry.first != m_self &&
               (entry.second.health == MemberHealth::kLive ||
                entry.second.health == MemberHealth::kSuspect);
      });
  m_recovering_from_pause = m_recovering_from_pause && any_peer;
}

void MemberTable::UpdateHealth(Context& context) {
  const MonotonicTime now = context.Now();
  std::vector<InstanceId> expired;
  for (auto& [instance, member] : m_members) {
    if (instance == m_self) {
      member.last_progress = now;
      continue;
    }
    if (member.health == MemberHealth::kCandidate) {
      continue;
    }
    const Duration age = now - member.last_progress;
    if (age > kDeadMemberRetention) {
      expired.push_back(instance);
    } else if (age > kDeadTimeout) {
      SetHealth(context, member, MemberHealth::kDead);
    } else if (age > kSuspectTimeout && member.health == MemberHealth::kLive) {
      SetHealth(context, member, MemberHealth::kSuspect);
    }
  }
  for (const InstanceId& instance : expired) {
    RemoveMember(context, instance);
  }
}

void MemberTable::SetHealth(Context& context,
                            Member& member,
                            MemberHealth health) {
  if (member.health == health) {
    return;
  }
  const bool served = member.IsServing();
  member.health = health;
  if (served != member.IsServing()) {
    ++m_membership_version;
  }
  context.Record("member_health", member.record.instance.Text(),
                 {{"health", std::string(ToString(health))},
                  {"incarnation", std::to_string(member.record.incarnation)}});
}

void MemberTable::RemoveMember(Context& context, const InstanceId& instance) {
  const auto found = m_members.find(instance);
  assert(found != m_members.end());
  if (m_removed.size() >= kMaxRemovedMembers) {
    m_removed.erase(std::min_element(
        m_removed.begin(), m_removed.end(), [](const auto& a, const auto& b) {
          return a.second.removed_at < b.second.removed_at;
        }));
  }
  const MemberRecord& record = found->second.record;
  m_removed[instance] = {record.incarnation, record.counter, context.Now()};
  m_members.erase(found);
}

bool MemberTable::MakeRoom(Context& context) {
  if (m_members.size() < kMaxMembers) {
    return true;
  }
  const auto dead =
      std::find_if(m_members.begin(), m_members.end(), [](const auto& entry) {
        return entry.second.health == MemberHealth::kDead;
      });
  if (dead == m_members.end()) {
    return false;
  }
  const InstanceId instance = dead->first;
  RemoveMember(context, instance);
  return true;
}

bool MemberTable::IsOutdated(const MemberRecord& record) const {
  const auto newer_or_equal = [&](std::int64_t incarnation,
                                  std::int64_t counter) {
    return std::tie(incarnation, counter) >=
           std::tie(record.incarnation, record.counter);
  };
  if (const Member* member = Find(record.instance);
      member != nullptr && member->health != MemberHealth::kCandidate) {
    return newer_or_equal(member->record.incarnation, member->record.counter);
  }
  const auto removed = m_removed.find(record.instance);
  return removed != m_removed.end() &&
         newer_or_equal(removed->second.incarnation, removed->second.counter);
}

void MemberTable::MergeRecord(Context& context,
                              const InstanceId& from,
                              const MemberRecord& record) {
  if (record.instance.IsEmpty() || record.counter < 0 ||
      record.counter > kMaxCounter || record.incarnation < 0 ||
      record.incarnation > kMaxIncarnation) {
    return;
  }
  if (record.instance == m_self) {
    MergeOwnRecord(context, record);
    return;
  }
  if (IsOutdated(record)) {
    if (from == record.instance) {
      SendNewerIncarnation(context, record);
    }
    return;
  }
  auto found = m_members.find(record.instance);
  if (found == m_members.end()) {
    if (!MakeRoom(context)) {
      return;
    }
    found = m_members.emplace(record.instance, Member{}).first;
    m_removed.erase(record.instance);
  }
  Member& member = found->second;
  const bool served = member.IsServing();
  const bool new_incarnation = member.health == MemberHealth::kCandidate ||
                               member.record.incarnation != record.incarnation;
  member.record = record;
  UpdateLeavingFlag(member);
  if (served && (!member.IsServing() || new_incarnation)) {
    ++m_membership_version;
  } else if (!served && member.IsServing()) {
    ++m_membership_version;
  }
  RecordProgress(context, member, from == record.instance, new_incarnation);
}

// Sends a restarted instance whose clock went backwards the incarnation of its
// earlier run, so that it raises its incarnation. Ordinary gossip doesn't
// include records of dead members.
void MemberTable::SendNewerIncarnation(Context& context,
                                       const MemberRecord& sender) {
  MemberRecord newer = sender;
  if (const Member* member = Find(sender.instance);
      member != nullptr && member->health != MemberHealth::kCandidate) {
    newer.incarnation = member->record.incarnation;
    newer.counter = member->record.counter;
  } else {
    const RemovedMember& removed = m_removed.at(sender.instance);
    newer.incarnation = removed.incarnation;
    newer.counter = removed.counter;
  }
  if (newer.incarnation > sender.incarnation) {
    context.SendTo(sender.instance, sender.peer_address,
                   Gossip{{Self().record, newer},
                          context.Catalogue().Revision(),
                          context.Catalogue().Digest()});
  }
}

void MemberTable::RecordProgress(Context& context,
                                 Member& member,
                                 bool direct,
                                 bool new_incarnation) {
  const MonotonicTime now = context.Now();
  const MonotonicTime origin = now - Milliseconds(member.record.counter);
  Duration delay{0};
  if (new_incarnation) {
    member.counter_origin = origin;
    // The delay of a first record that another instance forwarded is unknown.
    delay = direct ? Duration{0} : kMaxRelayDelay;
    if (!direct && m_pending_direct_heartbeats.size() < kMaxMembers) {
      m_pending_direct_heartbeats.push_back(member.record.instance);
    }
  } else {
    member.counter_origin += (now - member.last_progress) / kDriftDivisor;
    delay = origin - member.counter_origin;
    if (delay < Duration{0} || delay > kMaxPlausibleDelay) {
      member.counter_origin = origin;
      delay = Duration{0};
    }
  }
  member.last_progress =
      std::max(member.last_progress, now - std::min(delay, kMaxRelayDelay));
  SetHealth(context, member, MemberHealth::kLive);
}

void MemberTable::MergeOwnRecord(Context& context, const MemberRecord& record) {
  Member& self = Self();
  if (std::tie(record.incarnation, record.counter) <=
      std::tie(self.record.incarnation, self.record.counter)) {
    return;
  }
  // An earlier incarnation of this instance had a clock that was ahead.
  context.RaiseIncarnation(record.incarnation + 1);
  self.record.incarnation = record.incarnation + 1;
  context.Record("incarnation_raised", m_self.Text(),
                 {{"incarnation", std::to_string(self.record.incarnation)}});
  AdvanceOwnRecord(context);
  ++m_membership_version;
}

void MemberTable::UpdateLeavingFlag(Member& member) {
  const bool served = member.IsServing();
  const auto leaving = m_leaving_incarnations.find(member.record.instance);
  if (leaving == m_leaving_incarnations.end()) {
    member.listed_leaving = false;
  } else {
    if (leaving->second == 0) {
      leaving->second = member.record.incarnation;
    }
    // The list lags: a flag for the predecessor doesn't apply to a replacement
    // with the same id.
    member.listed_leaving = member.record.incarnation <= leaving->second;
  }
  if (served != member.IsServing()) {
    ++m_membership_version;
  }
}

void MemberTable::AddCandidate(Context& context, const ListedInstance& listed) {
  if (listed.instance.IsEmpty() || listed.instance == m_self) {
    return;
  }
  const auto found = m_members.find(listed.instance);
  if (found != m_members.end()) {
    MemberRecord& record = found->second.record;
    if (found->second.health == MemberHealth::kDead ||
        found->second.health == MemberHealth::kCandidate) {
      // A replacement may have a different address from its predecessor.
      record.peer_address = listed.peer_address;
    }
    return;
  }
  if (!MakeRoom(context)) {
    return;
  }
  Member member;
  member.record.instance = listed.instance;
  member.record.region = listed.region;
  member.record.zone = listed.zone;
  member.record.caller_address = listed.caller_address;
  member.record.peer_address = listed.peer_address;
  m_members.emplace(listed.instance, std::move(member));
}

void MemberTable::AdvanceOwnRecord(Context& context) {
  MemberRecord& record = Self().record;
  record.counter =
      std::max(record.counter + 1, CounterAt(m_started, context.Now()));
  record.catalogue_revision = context.Catalogue().Revision();
  Self().last_progress = context.Now();
}

std::vector<InstanceId> MemberTable::HeartbeatTargets(Context& context) {
  std::vector<InstanceId> ring;
  std::vector<InstanceId> in_region;
  std::vector<InstanceId> elsewhere;
  std::vector<InstanceId> candidates;
  std::vector<InstanceId> dead;
  const RegionName& region = context.Self().region;
  // The ring is the order of ids, starting after this instance.
  const auto collect = [&](auto begin, auto end) {
    for (auto it = begin; it != end; ++it) {
      const Member& member = it->second;
      if (member.health == MemberHealth::kCandidate) {
        candidates.push_back(it->first);
      } else if (member.health == MemberHealth::kDead) {
        dead.push_back(it->first);
      } else if (member.record.region != region) {
        elsewhere.push_back(it->first);
      } else if (ring.size() < kRingSuccessors) {
        ring.push_back(it->first);
      } else {
        in_region.push_back(it->first);
      }
    }
  };
  const auto self = m_members.find(m_self);
  collect(std::next(self), m_members.end());
  collect(m_members.begin(), self);
  Random& random = context.RandomNumbers();
  std::vector<InstanceId> targets = std::move(ring);
  AppendRandom(random, std::move(in_region), kRandomInRegion, targets);
  AppendRandom(random, std::move(elsewhere), 1, targets);
  AppendRandom(random, std::move(candidates), kCandidatesPerRound, targets);
  AppendRandom(random, std::move(dead), kDeadPerRound, targets);
  for (std::size_t count = 0; count < kDirectHeartbeatsPerRound &&
                              !m_pending_direct_heartbeats.empty();
       ++count) {
    targets.push_back(std::move(m_pending_direct_heartbeats.back()));
    m_pending_direct_heartbeats.pop_back();
  }
  return targets;
}

Gossip MemberTable::MakeGossip(Context& context) {
  Gossip gossip;
  gossip.catalogue_revision = context.Catalogue().Revision();
  gossip.catalogue_digest = context.Catalogue().Digest();
  gossip.records.push_back(Self().record);
  // Only records of live members are included: a receiver that doesn't have the
  // member yet would treat an old record as progress.
  auto it = m_members.upper_bound(m_gossip_cursor);
  for (std::size_t visited = 0;
       visited < m_members.size() && gossip.records.size() < kMaxGossipRecords;
       ++visited, ++it) {
    if (it == m_members.end()) {
      it = m_members.begin();
    }
    m_gossip_cursor = it->first;
    if (it->first != m_self && it->second.health == MemberHealth::kLive) {
      gossip.records.push_back(it->second.record);
    }
  }
  return gossip;
}

}  // namespace kumquatcove
