#include "registry/registry_sync.h"

#include <algorithm>
#include <utility>

namespace kumquatcove {
namespace {

// Pause between watches as a share of the drain limit. Store calls have a cost,
// so a burst of registrations makes only one call per pause. The pause delays
// the time at which a draining upstream receives no more work; the rest of the
// limit is left for the call and one retry.
constexpr double kUpstreamPauseShare = 0.4;
// Changes by the operator are rare and must take effect quickly.
constexpr Duration kNoPause = Duration(0);

}  // namespace

/** Converts a record into a change. */
struct RegistrySync::Visitor {
  RegistrySync& sync;
  Context& context;
  RegistryTable table;
  const StoreRow& row;

  void operator()(RouteConfiguration& configuration) const {
    if (sync.m_has_routes &&
        configuration.version <= sync.m_routes->Version()) {
      if (configuration.version < sync.m_routes->Version()) {
        context.Record(
            "configuration_ignored", row.key,
            {{"version", std::to_string(configuration.version)},
             {"in_force", std::to_string(sync.m_routes->Version())}});
      }
      return;
    }
    context.Record("configuration_in_force", row.key,
                   {{"version", std::to_string(configuration.version)},
                    {"store_version", std::to_string(row.version)},
                    {"routes", std::to_string(configuration.routes.size())}});
    sync.m_has_routes = true;
    sync.m_routes =
        std::make_shared<const RouteTable>(std::move(configuration));
    sync.m_outdated_since.reset();
    sync.m_changes.push_back(RoutesChanged{sync.m_routes});
  }

  void operator()(ZoneEvacuation& evacuation) const {
    context.Record("zone_evacuated", evacuation.zone.Text());
    sync.m_changes.push_back(
        EvacuationChanged{std::move(evacuation.zone), true});
  }

  void operator()(UpstreamRegistration& registration) const {
    const auto [known, inserted] =
        sync.m_known.try_emplace(registration.id, KnownUpstream{registration});
    if (registration == known->second.registration &&
        !known->second.removed_in_era) {
      sync.m_expired.erase(registration.id);
    }
    if (!inserted && !sync.IsNews(context, known->second, registration)) {
      return;
    }
    known->second = KnownUpstream{registration};
    sync.m_expired.erase(registration.id);
    context.Record(
        "upstream_registered", registration.id.Text(),
        {{"service", registration.service.Text()},
         {"address", registration.address},
         {"draining", registration.draining ? "true" : "false"},
         {"cold_left_us", std::to_string(registration.cold_left.count())},
         {"store_version", std::to_string(row.version)}});
    sync.m_changes.push_back(UpstreamRegistered{std::move(registration)});
  }

  void operator()(EntryRegistration& registration) const {
    sync.m_changes.push_back(EntryRegistered{std::move(registration)});
  }

  void operator()(UnreadableRow& unreadable) const {
    context.Record("row_unreadable", row.key,
                   {{"table", std::string(ToString(table))},
                    {"problem", std::move(unreadable.problem)}});
    // The previous content of the row is no longer valid either.
    if (table == RegistryTable::kUpstreams) {
      sync.OnRowRemoved(context, table, row);
    }
  }
};

RegistrySync::RegistrySync(const RegistryCodec& codec, Duration drain_limit)
    : m_codec(codec), m_routes(std::make_shared<const RouteTable>()) {
  const auto add = [this](RegistryTable table, std::optional<Duration> pause,
                          Duration rewrite_time) {
    m_tables.emplace(
        table, TableFollower(m_codec.KeyPrefix(table), pause, rewrite_time));
  };
  add(RegistryTable::kOperator, kNoPause, kOperatorRewriteTime);
  add(RegistryTable::kUpstreams, kNoPause, kRenewalGracePeriod);
  // Instances that start later announce themselves by heartbeats.
  add(RegistryTable::kEntries, std::nullopt, Duration::zero());
  SetDrainLimit(drain_limit);
}

bool RegistrySync::IsNews(Context& context,
                          const KnownUpstream& known,
                          const UpstreamRegistration& registration) const {
  const UpstreamRegistration& newest = known.registration;
  const auto order =
      std::pair(registration.started_ms, registration.sequence) <=>
      std::pair(newest.started_ms, newest.sequence);
  const bool is_copied =
      known.removed_in_era &&
      *known.removed_in_era < m_tables.at(RegistryTable::kUpstreams).Era();
  if (order < 0 || (order == 0 && is_copied)) {
    context.Record("upstream_row_outdated", registration.id.Text(),
                   {{"sequence", std::to_string(registration.sequence)},
                    {"removed", known.removed_in_era ? "true" : "false"}});
    return false;
  }
  return known.removed_in_era || registration != newest;
}

void RegistrySync::DetectRestore(std::int64_t era) {
  if (m_era != 0 && era > m_era) {
    m_changes.emplace_back(StoreRestored{era});
  }
  m_era = std::max(m_era, era);
}

void RegistrySync::RecordRemoval(Context& context, const UpstreamId& id) {
  ForgetRemoved(context.Now());
  const auto known = m_known.find(id);
  if (known != m_known.end()) {
    known->second.removed_in_era = m_tables.at(RegistryTable::kUpstreams).Era();
    known->second.removed_at = context.Now();
  }
  m_changes.push_back(UpstreamRemoved{id});
}

void RegistrySync::ForgetRemoved(MonotonicTime now) {
  std::erase_if(m_known, [now](const auto& entry) {
    const KnownUpstream& known = entry.second;
    return known.removed_in_era && now - known.removed_at >= kRemovedMemory;
  });
}

void RegistrySync::SetDrainLimit(Duration drain_limit) {
  m_tables.at(RegistryTable::kUpstreams)
      .SetPause(std::chrono::duration_cast<Duration>(drain_limit *
                                                     kUpstreamPauseShare));
}

void RegistrySync::SetShortWatches(bool short_watches) {
  m_tables.at(RegistryTable::kOperator).SetShortWatches(short_watches);
  m_tables.at(RegistryTable::kUpstreams).SetShortWatches(short_watches);
}

void RegistrySync::Restart(Context& context) {
  if (!m_started) {
    m_started = context.Now();
  }
  m_tables.at(RegistryTable::kOperator).Restart(context);
  m_tables.at(RegistryTable::kUpstreams).Restart(context);
}

void RegistrySync::ReadEntries(Context& context) {
  m_tables.at(RegistryTable::kEntries).Restart(context);
}

void RegistrySync::OnReply(Context& context,
                           StoreRequestId id,
                           const StoreReply& reply) {
  for (auto& [table, follower] : m_tables) {
    const std::size_t before = follower.Rows().size();
    if (!follower.OnReply(context, id, reply)) {
      continue;
    }
    DetectRestore(follower.Era());
    m_mass_expiry =
        table == RegistryTable::kUpstreams && IsMassExpiry(context, before);
    for (const StoreRow& row : follower.TakeChanges()) {
      if (row.deleted) {
        OnRowRemoved(context, table, row);
      } else {
        ApplyRow(context, table, row);
      }
    }
    return;
  }
}

void RegistrySync::ApplyRow(Context& context,
                            RegistryTable table,
                            const StoreRow& row) {
  RegistryRecord record = m_codec.Read(table, row);
  std::visit(Visitor{*this, context, table, row}, record);
}

void RegistrySync::OnRowRemoved(Context& context,
                                RegistryTable table,
                                const StoreRow& row) {
  const std::string name = row.key.substr(m_codec.KeyPrefix(table).size());
  switch (table) {
    case RegistryTable::kOperator: {
      // A deleted row has no value, but its key contains the zone.
      RegistryRecord record = m_codec.Read(table, row);
      if (auto* evacuation = std::get_if<ZoneEvacuation>(&record)) {
        context.Record("zone_taken_back", evacuation->zone.Text());
        m_changes.push_back(
            EvacuationChanged{std::move(evacuation->zone), false});
      }
      return;
    }
    case RegistryTable::kUpstreams:
      OnUpstreamRowRemoved(context, UpstreamId(name));
      return;
    case RegistryTable::kEntries:
      m_changes.push_back(EntryRemoved{InstanceId(name)});
      return;
  }
}

void RegistrySync::OnUpstreamRowRemoved(Context& context,
                                        const UpstreamId& id) {
  const TableFollower& follower = m_tables.at(RegistryTable::kUpstreams);
  if (m_mass_expiry) {
    m_expired.emplace(id, *follower.RecoveryTime() + kRenewalGracePeriod);
    context.Record("upstream_lapsed", id.Text());
    return;
  }
  context.Record("upstream_gone", id.Text());
  RecordRemoval(context, id);
}

bool RegistrySync::IsMassExpiry(const Context& context,
                                std::size_t before) const {
  const TableFollower& follower = m_tables.at(RegistryTable::kUpstreams);
  const std::optional<MonotonicTime> regained = follower.RecoveryTime();
  return regained && context.Now() < *regained + kRenewalGracePeriod &&
         static_cast<double>(follower.Rows().size()) <
             kMinRemainingShare * static_cast<double>(before);
}

void RegistrySync::RemoveExpired(Context& context) {
  if (!IsStoreReachable()) {
    // Rows can't be renewed while the store is unavailable.
    for (auto& [id, until] : m_expired) {
      until = context.Now() + kRenewalGracePeriod;
    }
    return;
  }
  for (auto entry = m_expired.begin(); entry != m_expired.end();) {
    if (context.Now() < entry->second) {
      ++entry;
      continue;
    }
    context.Record("upstream_gone", entry->first.Text(),
                   {{"reason", "not renewed after an outage of the store"}});
    RecordRemoval(context, entry->first);
    entry = m_expired.erase(entry);
  }
}

NewestRowVersions RegistrySync::NewestVersions() const {
  const TableFollower& operators = m_tables.at(RegistryTable::kOperator);
  const TableFollower& upstreams = m_tables.at(RegistryTable::kUpstreams);
  NewestRowVersions versions;
  versions.era = std::max(operators.Era(), upstreams.Era());
  if (operators.Era() == versions.era) {
    versions.operators = operators.NewestRowVersion();
  }
  if (upstreams.Era() == versions.era) {
    versions.upstreams = upstreams.NewestRowVersion();
  }
  return versions;
}

void RegistrySync::OnPeerVersions(const NewestRowVersions& versions,
                                  MonotonicTime now) {
  m_tables.at(RegistryTable::kOperator)
      .RecordPeerVersion(versions.operators, versions.era, now);
  m_tables.at(RegistryTable::kUpstreams)
      .RecordPeerVersion(versions.upstreams, versions.era, now);
}

void RegistrySync::OnPeerConfigurationVersion(std::int64_t version,
                                              MonotonicTime now) {
  if (version <= m_routes->Version()) {
    return;
  }
  m_tables.at(RegistryTable::kOperator).MarkBehind(now);
  m_peer_configuration = std::max(m_peer_configuration, version);
  if (!m_outdated_since) {
    m_outdated_since = now;
  }
}

void RegistrySync::OnTick(Context& context) {
  for (auto& [table, follower] : m_tables) {
    follower.OnTick(context);
  }
  RemoveExpired(context);
}

std::vector<RegistryChange> RegistrySync::TakeChanges() {
  return std::exchange(m_changes, {});
}

bool RegistrySync::IsReady(MonotonicTime now) const {
  const bool is_starting = m_started && now < *m_started + kMaxCatchUpTime;
  const bool is_outdated = m_outdated_since &&
                           m_peer_configuration > m_routes->Version() &&
                           now >= *m_outdated_since + kCatchUpDelay;
  return m_has_routes && m_tables.at(RegistryTable::kUpstreams).IsLoaded() &&
         !(is_starting && is_outdated);
}

bool RegistrySync::HasReadEntries() const {
  return m_tables.at(RegistryTable::kEntries).IsLoaded();
}

bool RegistrySync::IsStoreReachable() const {
  return !m_tables.at(RegistryTable::kUpstreams).IsFailing();
}

}  // namespace kumquatcove
