#ifndef REGISTRY_REGISTRY_SYNC_H_
#define REGISTRY_REGISTRY_SYNC_H_

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "protocol/context.h"
#include "registry/registry_codec.h"
#include "registry/registry_record.h"
#include "registry/route_table.h"
#include "registry/table_follower.h"

namespace kumquatcove {

/** A newer configuration has taken effect. */
struct RoutesChanged {
  std::shared_ptr<const RouteTable> routes;
};
/** An upstream has registered or has changed its row. */
struct UpstreamRegistered {
  UpstreamRegistration registration;
};
/** An upstream's row has been removed or has expired. */
struct UpstreamRemoved {
  UpstreamId id;
};
/** An availability zone has been evacuated, or its evacuation has ended. */
struct EvacuationChanged {
  ZoneName zone;
  bool evacuated = false;
};
struct EntryRegistered {
  EntryRegistration registration;
};
struct EntryRemoved {
  InstanceId instance;
};
/** The store was restored from an older copy: what this instance has written
 * may be lost. */
struct StoreRestored {
  std::int64_t era = 0;
};
using RegistryChange = std::variant<RoutesChanged,
                                    UpstreamRegistered,
                                    UpstreamRemoved,
                                    EvacuationChanged,
                                    EntryRegistered,
                                    EntryRemoved,
                                    StoreRestored>;

/** Versions of the newest rows of the watched tables, in one era of the store.
 */
struct NewestRowVersions {
  std::int64_t operators = 0;
  std::int64_t upstreams = 0;
  std::int64_t era = 0;
};

/**
 * Follows the tables that describe the deployment and returns the changes.
 *
 * The configuration version never decreases. While the store is unavailable,
 * the last known state stays in effect. Upstreams can't renew their rows during
 * an outage, so many rows expire together. Such upstreams are removed only if
 * they have not renewed their rows within kRenewalGracePeriod after the store
 * is available again. If only a few rows are missing after an outage, this
 * instance alone was disconnected, and the upstreams are removed at once.
 * Thread safety: none; owned by one reducer.
 */
class RegistrySync {
 public:
  /** Time that upstreams have to renew rows that expired while the store was
   * unavailable; the platform specifies about two seconds. */
  static constexpr Duration kRenewalGracePeriod = Milliseconds(2200);

  /** Time that the operator has to write its rows again after a restore of the
   * store. */
  static constexpr Duration kOperatorRewriteTime = Seconds(10);
  /** Time for which a removed upstream is remembered, well above the age of the
   * copies that the platform restores. */
  static constexpr Duration kRemovedMemory = Seconds(600);

  /** Time from its start for which an instance doesn't serve an older
   * configuration than others do; after that the store's content counts. */
  static constexpr Duration kMaxCatchUpTime = kOperatorRewriteTime;
  /** Time for which a starting instance may be behind before it stops serving:
   * a change reaches some instances a little earlier than others. */
  static constexpr Duration kCatchUpDelay = Milliseconds(300);

  /** Share of the upstreams that must remain after an outage for the missing
   * ones to be treated as removed. Below it, their rows are assumed to have
   * expired because of the outage. */
  static constexpr double kMinRemainingShare = 0.72;

  /** `codec` must outlive this object. `drain_limit` is the time after which a
   * draining upstream must receive no more work. */
  RegistrySync(const RegistryCodec& codec, Duration drain_limit);

  void SetDrainLimit(Duration drain_limit);

  /** Enables short watches, with which this instance detects stalled store
   * connections. Other instances detect theirs from the versions that it
   * announces, so one instance per region is enough. */
  void SetShortWatches(bool short_watches);

  /** Reads and then watches the operator and upstream tables. Call it at
   * startup and after this process was paused. */
  void Restart(Context& context);
  /** Reads the table of entry instances. Call it after this instance has been
   * registered, so that of two instances that start together at least one finds
   * the other. */
  void ReadEntries(Context& context);
  /** Handles a reply to one of this object's calls; ignores other replies. */
  void OnReply(Context& context, StoreRequestId id, const StoreReply& reply);
  void OnTick(Context& context);

  /** Returns the versions of the newest rows received. */
  NewestRowVersions NewestVersions() const;
  /** Records the newest row versions received by another instance. */
  void OnPeerVersions(const NewestRowVersions& versions, MonotonicTime now);
  /** Records the version of the configuration that is in effect at another
   * instance. */
  void OnPeerConfigurationVersion(std::int64_t version, MonotonicTime now);

  /** Returns and clears the changes since the last call, in order. */
  std::vector<RegistryChange> TakeChanges();

  /** Returns whether a configuration and the upstreams have been read. A
   * restored store may hold an older configuration than other instances serve;
   * an instance that starts then waits until it is written again. */
  bool IsReady(MonotonicTime now) const;

  /** Returns whether the table of entry instances has been read. */
  bool HasReadEntries() const;

  /** Returns whether the store answered the last call for the upstream table.
   */
  bool IsStoreReachable() const;

  std::shared_ptr<const RouteTable> Routes() const { return m_routes; }

 private:
  struct Visitor;

  /** The newest row of an upstream. Rows that were written before it, and those
   * of a restored store that tell of an upstream that has been removed since,
   * are no news. */
  struct KnownUpstream {
    UpstreamRegistration registration;
    /** Era of the store and time of the removal, if it has been removed. */
    std::optional<std::int64_t> removed_in_era;
    MonotonicTime removed_at;
  };

  /** Returns whether a row is news compared with the known one. */
  bool IsNews(Context& context,
              const KnownUpstream& known,
              const UpstreamRegistration& registration) const;
  void DetectRestore(std::int64_t era);
  void RecordRemoval(Context& context, const UpstreamId& id);
  void ForgetRemoved(MonotonicTime now);
  void ApplyRow(Context& context, RegistryTable table, const StoreRow& row);
  void OnRowRemoved(Context& context, RegistryTable table, const StoreRow& row);
  void OnUpstreamRowRemoved(Context& context, const UpstreamId& id);
  /** Returns whether rows missing from the current reply expired because of an
   * outage. `before` is the number of upstreams before the reply. */
  bool IsMassExpiry(const Context& context, std::size_t before) const;
  void RemoveExpired(Context& context);

  const RegistryCodec& m_codec;
  std::map<RegistryTable, TableFollower> m_tables;
  std::vector<RegistryChange> m_changes;
  std::shared_ptr<const RouteTable> m_routes;
  /** Upstreams whose row expired in an outage of the store, with the time at
   * which each is removed unless its row is renewed. */
  std::map<UpstreamId, MonotonicTime> m_expired;
  std::map<UpstreamId, KnownUpstream> m_known;
  /** Highest era of the store in any of the tables. */
  std::int64_t m_era = 0;
  /** Start of this instance, and the time since which others are known to serve
   * a newer configuration. */
  std::optional<MonotonicTime> m_started;
  std::optional<MonotonicTime> m_outdated_since;
  std::int64_t m_peer_configuration = 0;
  bool m_has_routes = false;
  bool m_mass_expiry = false;
};

}  // namespace kumquatcove

#endif  // REGISTRY_REGISTRY_SYNC_H_
