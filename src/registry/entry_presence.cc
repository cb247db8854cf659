#include "registry/entry_presence.h"

#include <algorithm>
#include <utility>

#include <boost/json/serialize.hpp>

#include "base/hash.h"
#include "base/json_codec.h"

namespace kumquatcove {
namespace {

constexpr Duration kRegistrationTimeout = Seconds(2);
constexpr Duration kRegistrationRetry = Milliseconds(500);

// A caller with only one address can't send requests until its lookup answer
// expires if that instance fails.
constexpr std::size_t kMinAddresses = 2;
// Maximum number of addresses that callers accept in one answer.
constexpr std::size_t kMaxAddresses = 64;

}  // namespace

EntryPresence::EntryPresence(std::string key_prefix)
    : m_key_prefix(std::move(key_prefix)) {}

void EntryPresence::SetPhase(Context& context, InstancePhase phase) {
  if (m_phase == phase) {
    return;
  }
  m_phase = phase;
  if (phase == InstancePhase::kServing) {
    m_serving_since = context.Now();
  } else if (phase == InstancePhase::kLeaving) {
    m_is_row_current = false;
    m_next_row_write = context.Now();
  }
  context.Record("phase_changed", context.Self().instance.Text(),
                 {{"phase", std::string(ToString(phase))}});
  SendHeartbeats(context, /*to_all=*/false);
}

void EntryPresence::SetConfiguration(Context& context, std::int64_t version) {
  m_configuration_version = version;
  SendHeartbeats(context, /*to_all=*/true);
}

void EntryPresence::OnRegistered(Context& context,
                                 const EntryRegistration& entry) {
  if (entry.instance == context.Self().instance) {
    return;
  }
  const bool exists = m_entries.contains(entry.instance);
  m_entries[entry.instance].registration = entry;
  if (!exists) {
    context.Record(
        "entry_registered", entry.instance.Text(),
        {{"zone", entry.zone.Text()}, {"address", entry.caller_address}});
    context.SendTo(entry.instance, entry.peer_address, MakeHeartbeat(context));
  }
}

void EntryPresence::OnRemoved(const InstanceId& instance) {
  m_entries.erase(instance);
}

void EntryPresence::OnHeartbeat(Context& context, const Gossip& gossip) {
  for (const MemberRecord& record : gossip.records) {
    if (record.instance == context.Self().instance) {
      continue;
    }
    Entry& entry = m_entries[record.instance];
    const bool is_new_run = record.incarnation > entry.incarnation;
    if (std::pair(record.incarnation, record.counter) <=
        std::pair(entry.incarnation, entry.counter)) {
      continue;
    }
    if (!IsUsable(context, entry) || entry.phase != record.phase) {
      context.Record("entry_heard", record.instance.Text(),
                     {{"phase", std::string(ToString(record.phase))}});
    }
    entry.registration = {record.instance, record.region, record.zone,
                          record.caller_address, record.peer_address};
    entry.phase = record.phase;
    entry.incarnation = record.incarnation;
    entry.counter = record.counter;
    entry.last_contact = context.Now();
    if (is_new_run) {
      context.SendTo(record.instance, record.peer_address,
                     MakeHeartbeat(context));
    }
  }
}

bool EntryPresence::OnReply(Context& context,
                            StoreRequestId id,
                            const StoreReply& reply) {
  if (!m_call || *m_call != id) {
    return false;
  }
  m_call.reset();
  const bool is_leaving = m_phase == InstancePhase::kLeaving;
  if (reply.status != StoreStatus::kOk) {
    m_next_row_write = context.Now() + kRegistrationRetry;
    return false;
  }
  m_is_row_current = m_call_removes == is_leaving;
  return m_is_row_current && !is_leaving;
}

void EntryPresence::OnStoreRestored(Context& context) {
  m_is_row_current = false;
  m_next_row_write =
      context.Now() +
      std::chrono::duration_cast<Duration>(
          kMaxRewriteDelay * context.RandomNumbers().NextFraction());
}

void EntryPresence::OnTick(Context& context) {
  if (!m_is_row_current && !m_call && context.Now() >= m_next_row_write) {
    WriteOwnRow(context);
  }
  if (context.Now() >= m_next_heartbeat) {
    SendHeartbeats(context, m_counter % kRemoteHeartbeatRatio == 0);
  }
}

void EntryPresence::WriteOwnRow(Context& context) {
  const Identity& self = context.Self();
  m_call_removes = m_phase == InstancePhase::kLeaving;
  StoreMutation mutation{m_key_prefix + self.instance.Text(), std::nullopt};
  if (!m_call_removes) {
    mutation.value = boost::json::serialize(
        ToJson(EntryRegistration{self.instance, self.region, self.zone,
                                 self.caller_address, self.peer_address}));
  }
  StoreTransaction transaction;
  transaction.mutations.push_back(std::move(mutation));
  m_call = context.CallStoreFor(StoreClientModule::kPresence,
                                StoreWrite{{std::move(transaction)}},
                                kRegistrationTimeout);
}

void EntryPresence::SendHeartbeats(Context& context, bool to_all) {
  m_next_heartbeat = context.Now() + kHeartbeatInterval;
  const Gossip heartbeat = MakeHeartbeat(context);
  for (const auto& [instance, entry] : m_entries) {
    if (to_all || entry.registration.region == context.Self().region) {
      context.SendTo(instance, entry.registration.peer_address, heartbeat);
    }
  }
}

Gossip EntryPresence::MakeHeartbeat(const Context& context) {
  const Identity& self = context.Self();
  Gossip gossip;
  gossip.records.push_back({self.instance, self.incarnation, ++m_counter,
                            self.region, self.zone, self.caller_address,
                            self.peer_address, m_phase,
                            m_configuration_version});
  return gossip;
}

std::vector<InstanceAddress> EntryPresence::FindLoadReceivers(
    const Context& context) const {
  // Starts after this instance in the order of ids, so that each instance
  // receives the load of as many others as it sends its own load to.
  std::vector<InstanceAddress> receivers;
  const auto add_range = [&](auto begin, auto end) {
    for (auto entry = begin; entry != end; ++entry) {
      const EntryRegistration& registration = entry->second.registration;
      if (receivers.size() < kMaxLoadReceivers &&
          registration.region == context.Self().region &&
          IsUsable(context, entry->second)) {
        receivers.push_back({entry->first, registration.peer_address});
      }
    }
  };
  const auto self = m_entries.upper_bound(context.Self().instance);
  add_range(self, m_entries.end());
  add_range(m_entries.begin(), self);
  return receivers;
}

bool EntryPresence::HasCoordinatorAge(const Context& context,
                                      std::int64_t incarnation) {
  return context.Wall().microseconds - incarnation >=
         kMinCoordinatorAge.count();
}

bool EntryPresence::MayCoordinate(const Context& context,
                                  const Entry& entry) const {
  if (entry.registration.region == context.Self().region) {
    return IsUsable(context, entry) &&
           HasCoordinatorAge(context, entry.incarnation);
  }
  if (!entry.last_contact) {
    return true;
  }
  return entry.phase == InstancePhase::kServing &&
         HasCoordinatorAge(context, entry.incarnation) &&
         context.Now() <
             *entry.last_contact + kHeartbeatTimeout * kRemoteHeartbeatRatio;
}

std::optional<InstanceAddress> EntryPresence::FindCoordinator(
    const Context& context,
    const RegionName& region,
    std::uint64_t key,
    const std::set<InstanceId>& excluded) const {
  const Identity& self = context.Self();
  std::optional<InstanceAddress> first;
  std::uint64_t first_weight = 0;
  const auto consider = [&](const InstanceId& instance,
                            const std::string& address) {
    const std::uint64_t weight = StableHash(instance.Text(), key);
    if (!first || weight > first_weight) {
      first = InstanceAddress{instance, address};
      first_weight = weight;
    }
  };
  if (region == self.region && m_phase == InstancePhase::kServing &&
      HasCoordinatorAge(context, self.incarnation)) {
    consider(self.instance, self.peer_address);
  }
  for (const auto& [instance, entry] : m_entries) {
    if (entry.registration.region == region && !excluded.contains(instance) &&
        MayCoordinate(context, entry)) {
      consider(instance, entry.registration.peer_address);
    }
  }
  return first;
}

std::set<RegionName> EntryPresence::ListRegions(const Context& context) const {
  std::set<RegionName> regions = {context.Self().region};
  for (const auto& [instance, entry] : m_entries) {
    regions.insert(entry.registration.region);
  }
  return regions;
}

std::optional<InstanceAddress> EntryPresence::FindAddress(
    const InstanceId& instance) const {
  const auto found = m_entries.find(instance);
  if (found == m_entries.end()) {
    return std::nullopt;
  }
  return InstanceAddress{instance, found->second.registration.peer_address};
}

bool EntryPresence::IsFirstOfRegion(const Context& context) const {
  if (m_phase != InstancePhase::kServing || !m_serving_since ||
      context.Now() < *m_serving_since + kDiscoveryTime) {
    return false;
  }
  return std::none_of(
      m_entries.begin(), m_entries.end(), [&](const auto& item) {
        const auto& [instance, entry] = item;
        return instance < context.Self().instance &&
               entry.registration.region == context.Self().region &&
               IsUsable(context, entry);
      });
}

void EntryPresence::Broadcast(Context& context,
                              const PeerMessage& message) const {
  for (const auto& [instance, entry] : m_entries) {
    context.SendTo(instance, entry.registration.peer_address, message);
  }
}

bool EntryPresence::IsUsable(const Context& context, const Entry& entry) const {
  return entry.phase == InstancePhase::kServing && entry.last_contact &&
         context.Now() < *entry.last_contact + kHeartbeatTimeout;
}

LookupAnswer EntryPresence::Answer(const Context& context,
                                   const ZoneName& zone,
                                   Duration time_to_live) const {
  std::vector<LookupEntry> near;
  std::vector<LookupEntry> others;
  const auto add = [&](const LookupEntry& entry) {
    (entry.zone == zone ? near : others).push_back(entry);
  };
  const Identity& self = context.Self();
  if (m_phase == InstancePhase::kServing) {
    add({self.instance, self.zone, self.caller_address});
  }
  for (const auto& [instance, entry] : m_entries) {
    if (entry.registration.region == self.region && IsUsable(context, entry)) {
      add({instance, entry.registration.zone,
           entry.registration.caller_address});
    }
  }
  LookupAnswer answer;
  answer.time_to_live = time_to_live;
  answer.entries = std::move(near);
  if (answer.entries.size() < kMinAddresses) {
    answer.entries.insert(answer.entries.end(), others.begin(), others.end());
  }
  if (answer.entries.size() > kMaxAddresses) {
    answer.entries.resize(kMaxAddresses);
  }
  if (answer.entries.empty()) {
    answer.reason = RefusalReason::kNotReady;
  }
  return answer;
}

int EntryPresence::CountRegistered(const RegionName& region) const {
  return 1 + static_cast<int>(std::count_if(
                 m_entries.begin(), m_entries.end(), [&](const auto& entry) {
                   return entry.second.registration.region == region;
                 }));
}

int EntryPresence::RankInRegion(const Identity& self) const {
  return static_cast<int>(
      std::count_if(m_entries.begin(), m_entries.end(), [&](const auto& entry) {
        return entry.second.registration.region == self.region &&
               entry.first < self.instance;
      }));
}

int EntryPresence::CountRegistered() const {
  return 1 + static_cast<int>(m_entries.size());
}

}  // namespace kumquatcove
