#include "registry/registry_sync.h"

#include <utility>

namespace kumquatcove {
namespace {

// Calls are priced; a burst of registrations costs one for each pause. It adds
// to the time until a draining upstream gets no more work, of which this part
// may pass; the rest is for the call, once more if it fails.
constexpr double kUpstreamPauseShare = 0.4;
// Changes by the operator are rare and must be in force soon.
constexpr Duration kNoPause = Duration(0);

}  // namespace

/** Turns a record into a change. */
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
    sync.m_changes.push_back(RoutesChanged{sync.m_routes});
  }

  void operator()(ZoneEvacuation& evacuation) const {
    context.Record("zone_evacuated", evacuation.zone.Text());
    sync.m_changes.push_back(
        EvacuationChanged{std::move(evacuation.zone), true});
  }

  void operator()(UpstreamRegistration& registration) const {
    const std::pair position(registration.started_ms, registration.sequence);
    const auto [newest, inserted] =
        sync.m_newest.try_emplace(registration.id, position);
    if (!inserted && position < newest->second) {
      context.Record("upstream_row_outdated", registration.id.Text(),
                     {{"sequence", std::to_string(registration.sequence)}});
      return;
    }
    newest->second = position;
    sync.m_lapsed.erase(registration.id);
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
    // What the row said before no longer holds either.
    if (table == RegistryTable::kUpstreams) {
      sync.OnRowGone(context, table, row);
    }
  }
};

RegistrySync::RegistrySync(const RegistryCodec& codec, Duration drain_limit)
    : m_codec(codec), m_routes(std::make_shared<const RouteTable>()) {
  const auto add = [this](RegistryTable table, std::optional<Duration> pause) {
    m_tables.emplace(table, TableFollower(m_codec.KeyPrefix(table), pause));
  };
  add(RegistryTable::kOperator, kNoPause);
  add(RegistryTable::kUpstreams, kNoPause);
  // Instances that start later make themselves known by heartbeats.
  add(RegistryTable::kEntries, std::nullopt);
  SetDrainLimit(drain_limit);
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
    m_mass_lapse =
        table == RegistryTable::kUpstreams && IsMassLapse(context, before);
    for (const StoreRow& row : follower.TakeChanges()) {
      if (row.deleted) {
        OnRowGone(context, table, row);
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

void RegistrySync::OnRowGone(Context& context,
                             RegistryTable table,
                             const StoreRow& row) {
  const std::string name = row.key.substr(m_codec.KeyPrefix(table).size());
  switch (table) {
    case RegistryTable::kOperator: {
      // The value of a deleted row is gone, but the key names the zone.
      RegistryRecord record = m_codec.Read(table, row);
      if (auto* evacuation = std::get_if<ZoneEvacuation>(&record)) {
        context.Record("zone_taken_back", evacuation->zone.Text());
        m_changes.push_back(
            EvacuationChanged{std::move(evacuation->zone), false});
      }
      return;
    }
    case RegistryTable::kUpstreams:
      OnUpstreamRowGone(context, UpstreamId(name));
      return;
    case RegistryTable::kEntries:
      m_changes.push_back(EntryGone{InstanceId(name)});
      return;
  }
}

void RegistrySync::OnUpstreamRowGone(Context& context, const UpstreamId& id) {
  const TableFollower& follower = m_tables.at(RegistryTable::kUpstreams);
  if (m_mass_lapse) {
    m_lapsed.emplace(id, *follower.RegainedAt() + kReturnTime);
    context.Record("upstream_lapsed", id.Text());
    return;
  }
  context.Record("upstream_gone", id.Text());
  m_changes.push_back(UpstreamGone{id});
}

bool RegistrySync::IsMassLapse(const Context& context,
                               std::size_t before) const {
  const TableFollower& follower = m_tables.at(RegistryTable::kUpstreams);
  const std::optional<MonotonicTime> regained = follower.RegainedAt();
  return regained && context.Now() < *regained + kReturnTime &&
         static_cast<double>(follower.Rows().size()) <
             kMinRemaining * static_cast<double>(before);
}

void RegistrySync::ExpireLapsed(Context& context) {
  if (!IsStoreReachable()) {
    // The rows can't come back before the store does.
    for (auto& [id, until] : m_lapsed) {
      until = context.Now() + kReturnTime;
    }
    return;
  }
  for (auto entry = m_lapsed.begin(); entry != m_lapsed.end();) {
    if (context.Now() < entry->second) {
      ++entry;
      continue;
    }
    context.Record("upstream_gone", entry->first.Text(),
                   {{"reason", "not renewed after an outage of the store"}});
    m_changes.push_back(UpstreamGone{entry->first});
    entry = m_lapsed.erase(entry);
  }
}

SeenVersions RegistrySync::Seen() const {
  return {m_tables.at(RegistryTable::kOperator).NewestRow(),
          m_tables.at(RegistryTable::kUpstreams).NewestRow()};
}

void RegistrySync::OnPeerSeen(const SeenVersions& versions, MonotonicTime now) {
  m_tables.at(RegistryTable::kOperator).OnVersionSeen(versions.operators, now);
  m_tables.at(RegistryTable::kUpstreams).OnVersionSeen(versions.upstreams, now);
}

void RegistrySync::OnPeerConfiguration(std::int64_t version,
                                       MonotonicTime now) {
  if (version > m_routes->Version()) {
    m_tables.at(RegistryTable::kOperator).OnBehind(now);
  }
}

void RegistrySync::OnTick(Context& context) {
  for (auto& [table, follower] : m_tables) {
    follower.OnTick(context);
  }
  ExpireLapsed(context);
}

std::vector<RegistryChange> RegistrySync::TakeChanges() {
  return std::exchange(m_changes, {});
}

bool RegistrySync::IsReady() const {
  return m_has_routes && m_tables.at(RegistryTable::kUpstreams).IsLoaded();
}

bool RegistrySync::HasReadEntries() const {
  return m_tables.at(RegistryTable::kEntries).IsLoaded();
}

bool RegistrySync::IsStoreReachable() const {
  return !m_tables.at(RegistryTable::kUpstreams).IsLost();
}

}  // namespace kumquatcove
