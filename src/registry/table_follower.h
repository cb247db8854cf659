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
 * Maintains a copy of one store table: reads all rows, then optionally watches
 * for changes, and reads all rows again if the store has lost its history or
 * was restored from an older copy. Versions are compared within one era of the
 * store only. Rows that a restored store lacks are kept until their writers
 * have had time to write them again.
 *
 * Thread safety: none; owned by one reducer.
 */
class TableFollower {
 public:
  /** Follows the rows whose key starts with `prefix`. After a change the next
   * watch starts only after `pause`, so that one call returns a burst of
   * changes. If `pause` is nullopt, the table isn't watched; its rows are read
   * once after each Restart. `rewrite_time` is the time that the writers of the
   * rows need to write them again after a restore of the store. */
  TableFollower(std::string prefix,
                std::optional<Duration> pause,
                Duration rewrite_time)
      : m_prefix(std::move(prefix)),
        m_pause(pause),
        m_rewrite_time(rewrite_time) {}

  /** Enables short watches, with which this instance detects a stalled watch by
   * itself. Otherwise it relies on the versions that other instances report. */
  void SetShortWatches(bool short_watches) { m_short_watches = short_watches; }

  /** Changes the pause. Precondition: the table is watched. */
  void SetPause(Duration pause) { m_pause = pause; }

  /** Starts reading all rows, initially or again, for instance after this
   * process was paused. Replies to earlier calls are ignored. */
  void Restart(Context& context);

  /** Handles a reply; returns false if it belongs to another caller. */
  bool OnReply(Context& context, StoreRequestId id, const StoreReply& reply);

  /** Starts the calls that are due. */
  void OnTick(Context& context);

  /** Returns and clears the rows changed since the last call, in order. Removed
   * rows have `deleted` set. */
  std::vector<StoreRow> TakeChanges();

  /** Records that another instance has received a row of this version in an era
   * of the store. A watch that doesn't return it soon, or is of an earlier era,
   * is assumed to be stalled and is restarted. */
  void RecordPeerVersion(std::int64_t version,
                         std::int64_t era,
                         MonotonicTime now);

  /** Records that another instance has received a newer row of unknown version,
   * with the same effect as RecordPeerVersion. */
  void MarkBehind(MonotonicTime now);

  /** Returns the version of the newest row received, or 0 if none. */
  std::int64_t NewestRowVersion() const { return m_newest_row; }

  /** Returns the era of the store to which the rows belong; 0 if none is known.
   */
  std::int64_t Era() const { return m_era; }

  /** Returns whether all rows have been read at least once. */
  bool IsLoaded() const { return m_loaded; }

  /** Returns whether the last call failed. */
  bool IsFailing() const { return m_failures > 0; }

  /** Returns the time of the last successful reply that followed a failed call,
   * or nullopt if there was none. */
  std::optional<MonotonicTime> RecoveryTime() const { return m_recovery_time; }

  const std::map<std::string, StoreRow>& Rows() const { return m_rows; }

 private:
  void Call(Context& context, bool fresh_connection = false);
  void OnScanned(Context& context, const StoreReply& reply);
  void OnWatched(Context& context, const StoreReply& reply);
  void OnFailed(Context& context, StoreStatus status);
  void Apply(Context& context, const StoreRow& row);
  /** Begins a new era of the store, in which no version of the earlier ones has
   * a meaning. */
  void BeginEra(Context& context, std::int64_t era);
  /** Starts reading all rows from the first one. */
  void BeginScan();
  /** Restarts the watch if it is stalled or longer than a short watch. */
  void RenewStalledWatch(Context& context);

  std::string m_prefix;
  std::optional<Duration> m_pause;
  Duration m_rewrite_time;
  /** Whether Restart has been called. */
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
  /** Era of the store to which all versions belong; 0 before the first reply.
   */
  std::int64_t m_era = 0;
  /** Another instance has reported a later era since the last reply. */
  bool m_era_outdated = false;
  /** The store was restored, and rows that it lacks are kept. */
  bool m_keeps_missing = false;
  /** Time at which all rows are read again, and those that are still missing
   * are removed. */
  std::optional<MonotonicTime> m_confirm_at;
  bool m_short_watches = false;
  /** Start of the current watch, if any, and the time for which the store may
   * delay its reply. */
  MonotonicTime m_watch_began;
  Duration m_watch_timeout{0};
  /** Time since which another instance is known to have a newer row. */
  std::optional<MonotonicTime> m_behind_since;
  /** Time at which a stalled watch was last restarted. */
  std::optional<MonotonicTime> m_last_renewal;
  std::optional<StoreRequestId> m_call;
  /** Time of the next call if no call is in progress. */
  MonotonicTime m_due;
  int m_failures = 0;
  std::optional<MonotonicTime> m_recovery_time;
};

}  // namespace kumquatcove

#endif  // REGISTRY_TABLE_FOLLOWER_H_
