#include "registry/table_follower.h"

#include <algorithm>
#include <utility>

namespace kumquatcove {
namespace {

// Store calls have a cost, so a watch lasts long. Keep-alive probes detect a
// stalled connection long before it ends.
constexpr Duration kWatchTimeout = Seconds(25);
// Duration of short watches. It is short enough to detect a stalled connection
// within the time after an outage in which the platform's bounds don't apply.
constexpr Duration kShortWatchTimeout = Milliseconds(1'500);
// Time after the end of a short watch after which it counts as stalled.
constexpr Duration kShortWatchMargin = Milliseconds(700);
// Longest time that a reply may take after the timeout of a watch, or after a
// read was sent, if the store is slow.
constexpr Duration kReplyMargin = Seconds(2);
// A watch returns a change within one round trip to the store. If another
// instance has had the change for this long, the connection is stalled: the
// server may keep it open without answering on it, which the kernel's
// keep-alive probes don't detect.
constexpr Duration kStalledWatchDelay = Milliseconds(500);
// Minimum time between restarts of a watch, since rows may get versions that a
// watch doesn't report.
constexpr Duration kMinRenewalInterval = Seconds(5);
constexpr Duration kFirstRetryDelay = Milliseconds(100);
constexpr Duration kMaxRetryDelay = Milliseconds(800);
// Number of times that the retry delay doubles.
constexpr int kMaxDoublings = 3;

// Version of a row that was read in an earlier era; below all others.
constexpr std::int64_t kNoVersion = -1;

}  // namespace

void TableFollower::Restart(Context& context) {
  m_started = true;
  BeginScan();
  m_call.reset();
  m_due = context.Now();
  Call(context);
}

void TableFollower::BeginScan() {
  m_scanning = true;
  m_scan.clear();
  m_scan_after.clear();
}

bool TableFollower::OnReply(Context& context,
                            StoreRequestId id,
                            const StoreReply& reply) {
  if (!m_call || *m_call != id) {
    return false;
  }
  m_call.reset();
  m_era_outdated = false;
  if (reply.era != 0 && reply.era < m_era) {
    // The answer was sent before the store was restored.
    m_due = context.Now();
    return true;
  }
  if (reply.era > m_era) {
    const bool is_first_page = m_scanning && m_scan_after.empty();
    BeginEra(context, reply.era);
    if (reply.status == StoreStatus::kOk && !is_first_page) {
      Call(context);
      return true;
    }
  }
  if (reply.status != StoreStatus::kOk) {
    OnFailed(context, reply.status);
    return true;
  }
  if (m_failures > 0) {
    m_recovery_time = context.Now();
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

void TableFollower::BeginEra(Context& context, std::int64_t era) {
  if (m_era != 0) {
    context.Record("store_era_changed", m_prefix,
                   {{"era", std::to_string(era)},
                    {"previous", std::to_string(m_era)},
                    {"version", std::to_string(m_version)}});
    m_keeps_missing = true;
    m_confirm_at.reset();
  }
  m_era = era;
  m_version = 0;
  m_newest_row = 0;
  m_behind_since.reset();
  for (auto& [key, row] : m_rows) {
    row.version = kNoVersion;
  }
  BeginScan();
}

void TableFollower::OnScanned(Context& context, const StoreReply& reply) {
  if (m_scan_after.empty()) {
    m_scan_version = reply.version;
  }
  for (const StoreRow& row : reply.rows) {
    m_newest_row = std::max(m_newest_row, row.version);
    m_scan[row.key] = row;
  }
  m_behind_since.reset();
  if (reply.more && !reply.rows.empty()) {
    m_scan_after = reply.rows.back().key;
    Call(context);
    return;
  }
  if (m_keeps_missing && !m_confirm_at) {
    m_confirm_at = context.Now() + m_rewrite_time;
  }
  std::vector<StoreRow> removed;
  for (const auto& [key, row] : m_rows) {
    if (!m_keeps_missing && !m_scan.contains(key)) {
      removed.push_back({key, m_scan_version, "", true});
    }
  }
  for (const StoreRow& row : removed) {
    Apply(context, row);
  }
  for (const auto& [key, row] : m_scan) {
    Apply(context, row);
  }
  BeginScan();
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
    Apply(context, row);
  }
  m_behind_since.reset();
  m_version = std::max(m_version, reply.version);
  if (reply.rows.empty()) {
    Call(context);
  } else {
    m_due = context.Now() + *m_pause;
  }
}

void TableFollower::RecordPeerVersion(std::int64_t version,
                                      std::int64_t era,
                                      MonotonicTime now) {
  // A watch or scan that covered this version has returned its row, unless the
  // row was deleted or has been replaced since.
  m_era_outdated = m_era_outdated || (m_era != 0 && era > m_era);
  if (m_era_outdated ||
      (era == m_era && version > std::max(m_newest_row, m_version))) {
    MarkBehind(now);
  }
}

void TableFollower::MarkBehind(MonotonicTime now) {
  if (!m_behind_since) {
    m_behind_since = now;
  }
}

void TableFollower::RenewStalledWatch(Context& context) {
  const MonotonicTime now = context.Now();
  if (!m_call || m_scanning) {
    return;
  }
  // The watch may have started before short watches were enabled.
  const bool too_long = m_short_watches && m_watch_timeout > kShortWatchTimeout;
  const bool overdue =
      m_short_watches &&
      now - m_watch_began >= m_watch_timeout + kShortWatchMargin;
  // A watch that started after a pause is allowed the full delay.
  const bool behind =
      m_behind_since &&
      now - std::max(*m_behind_since, m_watch_began) >= kStalledWatchDelay &&
      (!m_last_renewal || now - *m_last_renewal >= kMinRenewalInterval);
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
  m_last_renewal = now;
  m_behind_since.reset();
  m_call.reset();
  Call(context, /*fresh_connection=*/true);
}

void TableFollower::Apply(Context& context, const StoreRow& row) {
  const auto found = m_rows.find(row.key);
  const bool exists = found != m_rows.end();
  if (exists && found->second.version >= row.version) {
    if (found->second != row) {
      context.Record("row_outdated", row.key,
                     {{"version", std::to_string(row.version)},
                      {"held", std::to_string(found->second.version)},
                      {"era", std::to_string(m_era)}});
    }
    return;
  }
  if (row.deleted) {
    if (!exists) {
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
                   {{"version", std::to_string(m_version)},
                    {"era", std::to_string(m_era)}});
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
  // Instances that lost the store together must not retry at the same time.
  m_due = context.Now() +
          std::chrono::duration_cast<Duration>(
              delay * (0.5 + context.RandomNumbers().NextFraction()));
}

void TableFollower::OnTick(Context& context) {
  if (m_confirm_at && context.Now() >= *m_confirm_at && m_failures == 0) {
    m_keeps_missing = false;
    m_confirm_at.reset();
    Restart(context);
  }
  RenewStalledWatch(context);
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
    // Only an answer tells whether the store was restored, so a watch after a
    // failure, or after a report of a later era, doesn't wait for a change.
    const Duration timeout =
        m_failures > 0 || m_era_outdated
            ? Duration::zero()
            : (m_short_watches ? kShortWatchTimeout : kWatchTimeout);
    m_watch_began = context.Now();
    m_watch_timeout = timeout;
    m_call =
        context.CallStoreFor(module, StoreWatch{m_prefix, m_version, timeout},
                             timeout + kReplyMargin, fresh_connection);
  }
}

std::vector<StoreRow> TableFollower::TakeChanges() {
  return std::exchange(m_changes, {});
}

}  // namespace kumquatcove
