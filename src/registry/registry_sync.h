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

/** A newer configuration is in force. */
struct RoutesChanged {
  std::shared_ptr<const RouteTable> routes;
};
/** An upstream has registered or has changed its row. */
struct UpstreamRegistered {
  UpstreamRegistration registration;
};
/** An upstream's row is gone. */
struct UpstreamGone {
  UpstreamId id;
};
/** An availability zone is evacuated, or taken back. */
struct EvacuationChanged {
  ZoneName zone;
  bool evacuated = false;
};
struct EntryRegistered {
  EntryRegistration registration;
};
struct EntryGone {
  InstanceId instance;
};
using RegistryChange = std::variant<RoutesChanged,
                                    UpstreamRegistered,
                                    UpstreamGone,
                                    EvacuationChanged,
                                    EntryRegistered,
                                    EntryGone>;

/** Versions of the newest rows of the tables that are watched. */
struct SeenVersions {
  std::int64_t operators = 0;
  std::int64_t upstreams = 0;
};

/**
 * Follows the tables that describe the deployment and gives the changes.
 *
 * Versions of the configuration never go back. While the store is away the last
 * state holds. Upstreams can't renew their rows then, so that many rows lapse
 * together; these count as gone only once kReturnTime has passed since the
 * store is back. Where few rows are missing after an outage, it was this
 * instance that was cut off, and they are gone. Thread safety: none; owned by
 * one reducer.
 */
class RegistrySync {
 public:
  /** Time that upstreams have to renew rows that lapsed while the store was
   * away; the platform states about two seconds. */
  static constexpr Duration kReturnTime = Milliseconds(2200);

  /** Upstreams that are left after an outage, as a share of those before it,
   * from which on the others are taken to be gone and not to have lapsed. */
  static constexpr double kMinRemaining = 0.72;

  /** `codec` must outlive this object. `drain_limit` is the time within which
   * an upstream that leaves must get no more work. */
  RegistrySync(const RegistryCodec& codec, Duration drain_limit);

  void SetDrainLimit(Duration drain_limit);

  /** Lets this instance look after silent connections to the store, for itself
   * and for those that learn from it; one of a region is enough. */
  void SetShortWatches(bool short_watches);

  /** Reads the operator's table and that of upstreams, at the start or after
   * this process stood still, and goes on to watch them. */
  void Restart(Context& context);
  /** Reads the table of entry instances; to be called once this instance is in
   * it, so that of two that start together one finds the other. */
  void ReadEntries(Context& context);
  /** Takes a reply to one of its calls; others are ignored. */
  void OnReply(Context& context, StoreRequestId id, const StoreReply& reply);
  void OnTick(Context& context);

  /** Returns the versions of the newest rows that have been seen. */
  SeenVersions Seen() const;
  /** Notes what another instance has seen. */
  void OnPeerSeen(const SeenVersions& versions, MonotonicTime now);
  /** Notes the version of the configuration that is in force at another
   * instance. */
  void OnPeerConfiguration(std::int64_t version, MonotonicTime now);

  /** Returns the changes since the last call, in order. */
  std::vector<RegistryChange> TakeChanges();

  /** Returns whether a configuration and the upstreams have been read. */
  bool IsReady() const;

  /** Returns whether the table of entry instances has been read. */
  bool HasReadEntries() const;

  /** Returns whether the tables of the platform can be followed at present. */
  bool IsStoreReachable() const;

  std::shared_ptr<const RouteTable> Routes() const { return m_routes; }

 private:
  struct Visitor;

  void ApplyRow(Context& context, RegistryTable table, const StoreRow& row);
  void OnRowGone(Context& context, RegistryTable table, const StoreRow& row);
  void OnUpstreamRowGone(Context& context, const UpstreamId& id);
  /** Returns whether rows that vanish now have lapsed in an outage. `before` is
   * the number of upstreams before the reply. */
  bool IsMassLapse(const Context& context, std::size_t before) const;
  void ExpireLapsed(Context& context);

  const RegistryCodec& m_codec;
  std::map<RegistryTable, TableFollower> m_tables;
  std::vector<RegistryChange> m_changes;
  std::shared_ptr<const RouteTable> m_routes;
  /** Upstreams whose row lapsed around an outage of the store. */
  std::map<UpstreamId, MonotonicTime> m_lapsed;
  /** Start and sequence of the newest row of each upstream: a write that was
   * delayed must not undo a later one. */
  std::map<UpstreamId, std::pair<std::int64_t, std::int64_t>> m_newest;
  bool m_has_routes = false;
  bool m_mass_lapse = false;
};

}  // namespace kumquatcove

#endif  // REGISTRY_REGISTRY_SYNC_H_
