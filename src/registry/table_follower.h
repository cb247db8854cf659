#ifndef REGISTRY_TABLE_FOLLOWER_H_
#define REGISTRY_TABLE_FOLLOWER_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock_reading.h"
#include "protocol/context.h"
#include "protocol/store_operation.h"

namespace kumquatcove {

/**
 * Keeps a copy of one table of the store: reads all rows, then, if wanted,
 * watches for changes, and reads again when the history was lost.
 *
 * Thread safety: none; owned by one reducer.
 */
class TableFollower {
 public:
  /** Follows the rows whose key starts with `prefix`. After a change the next
   * watch starts only `pause` later, so that one call takes a burst; without a
   * pause the rows are read once, after each Restart. */
  TableFollower(std::string prefix, std::optional<Duration> pause)
      : m_prefix(std::move(prefix)), m_pause(pause) {}

  /** Makes this instance find out by itself whether its watch has gone silent,
   * by watches that last a short time, or leave that to another one. */
  void SetShortWatches(bool short_watches) { m_short_watches = short_watches; }

  /** Changes the pause. Precondition: the table is watched. */
  void SetPause(Duration pause) { m_pause = pause; }

  /** Starts, or reads all rows again, for instance after this process stood
   * still. A reply to an earlier call is ignored. */
  void Restart(Context& context);

  /** Takes a reply; returns false if it belongs to another caller. */
  bool OnReply(Context& context, StoreRequestId id, const StoreReply& reply);

  /** Starts calls that are due. */
  void OnTick(Context& context);

  /** Returns the changed rows since the last call, in order; `deleted` marks
   * those that are gone. */
  std::vector<StoreRow> TakeChanges();

  /** Notes that another instance has seen a row of this version. A watch that
   * doesn't bring it soon is taken to have gone silent and is started anew. */
  void OnVersionSeen(std::int64_t version, MonotonicTime now);

  /** Notes that another instance has seen a newer row of unknown version, with
   * the same effect. */
  void OnBehind(MonotonicTime now);

  /** Returns the version of the newest row that has been seen; 0 if none. */
  std::int64_t NewestRow() const { return m_newest_row; }

  /** Returns whether all rows have been read once. */
  bool IsLoaded() const { return m_loaded; }

  /** Returns whether the last call failed. */
  bool IsLost() const { return m_failures > 0; }

  /** Returns the time since which a failed call has been followed by an answer;
   * nothing if none has failed yet. */
  std::optional<MonotonicTime> RegainedAt() const { return m_regained; }

  const std::map<std::string, StoreRow>& Rows() const { return m_rows; }

 private:
  void Call(Context& context, bool fresh_connection = false);
  void OnScanned(Context& context, const StoreReply& reply);
  void OnWatched(Context& context, const StoreReply& reply);
  void OnFailed(Context& context, StoreStatus status);
  void Apply(const StoreRow& row);
  /** Starts a watch anew that is silent or should be a short one. */
  void RenewIfSilent(Context& context);

  std::string m_prefix;
  std::optional<Duration> m_pause;
  /** Restart has been called. */
  bool m_started = false;
  std::map<std::string, StoreRow> m_rows;
  std::vector<StoreRow> m_changes;
  /** Rows of the scan in progress. */
  std::map<std::string, StoreRow> m_scan;
  std::string m_scan_after;
  std::int64_t m_scan_version = 0;
  bool m_scanning = true;
  bool m_loaded = false;
  std::int64_t m_version = 0;
  std::int64_t m_newest_row = 0;
  bool m_short_watches = false;
  /** When the watch in progress began, if there is one, and how long the store
   * may wait with its reply. */
  MonotonicTime m_watch_began;
  Duration m_watch_patience{0};
  /** Since when another instance is known to have seen a newer row. */
  std::optional<MonotonicTime> m_behind;
  /** When a silent watch was last started anew. */
  std::optional<MonotonicTime> m_renewed;
  std::optional<StoreRequestId> m_call;
  /** When to call next, if no call runs. */
  MonotonicTime m_due;
  int m_failures = 0;
  std::optional<MonotonicTime> m_regained;
};

}  // namespace kumquatcove

#endif  // REGISTRY_TABLE_FOLLOWER_H_
