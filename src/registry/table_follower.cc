#include "registry/table_follower.h"

#include <algorithm>
#include <utility>

namespace kumquatcove {
namespace {

// Calls are priced, so that a watch lasts long; a silent connection is found by
// keep-alive probes long before.
constexpr Duration kWatchPatience = Seconds(25);
// Short watches end after this time, so that a silent connection is found
// within the time after an outage for which the platform's bounds don't hold.
constexpr Duration kShortPatience = Milliseconds(1'500);
constexpr Duration kShortMargin = Milliseconds(700);
// Longest time that a reply may take after the patience of a watch, or after a
// read was sent, while the store is slow.
constexpr Duration kReplyMargin = Seconds(2);
// A watch brings a change within the way to the store and back. If another
// instance has had it for this long, the connection has gone silent: the server
// may leave one open and answer nothing on it, which no probe of the kernel
// shows.
constexpr Duration kSilenceLimit = Milliseconds(500);
// Rows may get new versions that a watch doesn't tell, so that a watch isn't
// renewed more often than this.
constexpr Duration kMinRenewal = Seconds(5);
constexpr Duration kFirstRetryDelay = Milliseconds(100);
constexpr Duration kMaxRetryDelay = Milliseconds(800);
// Retries double up to the maximum after this many.
constexpr int kMaxDoublings = 3;

}  // namespace

void TableFollower::Restart(Context& context) {
  m_started = true;
  m_scanning = true;
  m_scan.clear();
  m_scan_after.clear();
  m_call.reset();
  m_due = context.Now();
  Call(context);
}

bool TableFollower::OnReply(Context& context,
                            StoreRequestId id,
                            const StoreReply& reply) {
  if (!m_call || *m_call != id) {
    return false;
  }
  m_call.reset();
  if (reply.status != StoreStatus::kOk) {
    OnFailed(context, reply.status);
    return true;
  }
  if (m_failures > 0) {
    m_regained = context.Now();
    context.Record("store_regained", m_prefix,
                   {{"failures", std::to_string(m_failures)}});
    m_failures = 0;
  }
  if (m_scanning) {
    OnScanned(context, reply);
  } else {
    OnWatched(context, reply);
  }
  return true;
}

void TableFollower::OnScanned(Context& context, const StoreReply& reply) {
  if (m_scan_after.empty()) {
    m_scan_version = reply.version;
  }
  for (const StoreRow& row : reply.rows) {
    m_newest_row = std::max(m_newest_row, row.version);
    m_scan[row.key] = row;
  }
  m_behind.reset();
  if (reply.more && !reply.rows.empty()) {
    m_scan_after = reply.rows.back().key;
    Call(context);
    return;
  }
  std::vector<StoreRow> gone;
  for (const auto& [key, row] : m_rows) {
    if (!m_scan.contains(key)) {
      gone.push_back({key, m_scan_version, "", true});
    }
  }
  for (const StoreRow& row : gone) {
    Apply(row);
  }
  for (const auto& [key, row] : m_scan) {
    Apply(row);
  }
  m_scan.clear();
  m_scan_after.clear();
  m_scanning = false;
  m_loaded = true;
  m_version = m_scan_version;
  if (m_pause) {
    Call(context);
  }
}

void TableFollower::OnWatched(Context& context, const StoreReply& reply) {
  for (const StoreRow& row : reply.rows) {
    m_newest_row = std::max(m_newest_row, row.version);
    Apply(row);
  }
  m_behind.reset();
  m_version = std::max(m_version, reply.version);
  if (reply.rows.empty()) {
    Call(context);
  } else {
    m_due = context.Now() + *m_pause;
  }
}

void TableFollower::OnVersionSeen(std::int64_t version, MonotonicTime now) {
  // A watch or scan that has covered the version has brought its row, unless it
  // was a deletion or has been replaced since.
  if (version > std::max(m_newest_row, m_version)) {
    OnBehind(now);
  }
}

void TableFollower::OnBehind(MonotonicTime now) {
  if (!m_behind) {
    m_behind = now;
  }
}

void TableFollower::RenewIfSilent(Context& context) {
  const MonotonicTime now = context.Now();
  if (!m_call || m_scanning) {
    return;
  }
  // The watch may have begun before short ones were asked for.
  const bool too_long = m_short_watches && m_watch_patience > kShortPatience;
  const bool overdue =
      m_short_watches && now - m_watch_began >= m_watch_patience + kShortMargin;
  // A watch that began after a pause gets the whole limit.
  const bool behind =
      m_behind && now - std::max(*m_behind, m_watch_began) >= kSilenceLimit &&
      (!m_renewed || now - *m_renewed >= kMinRenewal);
  if (!overdue && !behind) {
    if (too_long) {
      m_call.reset();
      Call(context);
    }
    return;
  }
  context.Record("watch_silent", m_prefix,
                 {{"version", std::to_string(m_version)},
                  {"cause", behind ? "another instance is ahead" : "overdue"}});
  m_renewed = now;
  m_behind.reset();
  m_call.reset();
  Call(context, /*fresh_connection=*/true);
}

void TableFollower::Apply(const StoreRow& row) {
  const auto found = m_rows.find(row.key);
  const bool known = found != m_rows.end();
  if (known && found->second.version >= row.version) {
    return;
  }
  if (row.deleted) {
    if (!known) {
      return;
    }
    m_rows.erase(found);
  } else {
    m_rows[row.key] = row;
  }
  m_changes.push_back(row);
}

void TableFollower::OnFailed(Context& context, StoreStatus status) {
  if (status == StoreStatus::kHistoryLost) {
    context.Record("store_history_lost", m_prefix,
                   {{"version", std::to_string(m_version)}});
    Restart(context);
    return;
  }
  if (m_failures == 0) {
    context.Record("store_lost", m_prefix,
                   {{"status", std::string(ToString(status))},
                    {"version", std::to_string(m_version)}});
  }
  const int doublings = std::min(m_failures, kMaxDoublings);
  ++m_failures;
  const Duration delay =
      std::min(kFirstRetryDelay * (1 << doublings), kMaxRetryDelay);
  // Instances that lost the store together must not come back together.
  m_due = context.Now() +
          std::chrono::duration_cast<Duration>(
              delay * (0.5 + context.RandomNumbers().NextFraction()));
}

void TableFollower::OnTick(Context& context) {
  RenewIfSilent(context);
  const bool wanted = m_started && (m_pause || m_scanning);
  if (wanted && !m_call && context.Now() >= m_due) {
    Call(context);
  }
}

void TableFollower::Call(Context& context, bool fresh_connection) {
  const StoreClientModule module = StoreClientModule::kRegistry;
  if (m_scanning) {
    m_call = context.CallStoreFor(module, StoreScan{m_prefix, m_scan_after},
                                  kReplyMargin);
  } else {
    const Duration patience = m_short_watches ? kShortPatience : kWatchPatience;
    m_watch_began = context.Now();
    m_watch_patience = patience;
    m_call =
        context.CallStoreFor(module, StoreWatch{m_prefix, m_version, patience},
                             patience + kReplyMargin, fresh_connection);
  }
}

std::vector<StoreRow> TableFollower::TakeChanges() {
  return std::exchange(m_changes, {});
}

}  // namespace kumquatcove
