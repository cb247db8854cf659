#ifndef DISPATCH_UPSTREAM_TABLE_H_
#define DISPATCH_UPSTREAM_TABLE_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "base/clock_reading.h"
#include "base/name.h"
#include "dispatch/cold_start_pacer.h"
#include "dispatch/object_memory.h"
#include "protocol/event.h"
#include "protocol/peer_message.h"
#include "registry/registry_record.h"

namespace kumquatcove {

/** What this instance knows of one upstream. */
struct TrackedUpstream {
  UpstreamRegistration registration;
  RegionName region;
  MonotonicTime registered;
  /** Requests of this instance that it has, or that wait for a connection. */
  int in_flight = 0;
  /** Requests of this instance that wait for it to have room. */
  int awaited = 0;
  /** Requests that this instance has sent to this incarnation. */
  int sent = 0;
  /** It is draining, or its row is gone: no new work. */
  bool leaving = false;
  bool gone = false;
  /** Its address is known to belong to another upstream. */
  bool displaced = false;

  /** Requests of the instances whose load is known, as of their last digests,
   * see SharedLoad: those that it has, and those that wait for it. */
  int peers_in_flight = 0;
  int peers_awaited = 0;
  /** Requests of the other instances by its last report, and when that was. */
  double others_reported = 0;
  double others_average = 0;
  MonotonicTime reported;
  bool has_report = false;
  /** The last report came to this instance, not to another one. */
  bool own_report = false;
  double work_time_ratio = 1;

  /** Recent share of sends that it rejected or failed. */
  double failure_share = 0;
  /** Recent time of answers in relation to what was expected. */
  double slowness = 1;
  MonotonicTime judged;
  /** When it last answered an instance of the region or took a connection. */
  MonotonicTime heard;
  /** It couldn't be reached and gets nothing until then. */
  MonotonicTime avoid_until;
  int connect_failures = 0;

  MonotonicTime cold_until;
  ColdStartPacer pacer;
  ObjectMemory objects;
};

/** How a send to an upstream ended. */
enum class SendResult {
  kAnswered,
  /** The upstream said that it didn't execute the request. */
  kRejected,
  /** An error answer, or the connection broke. */
  kFailed,
  /** Given up by this instance or its caller; says nothing of the upstream. */
  kAbandoned,
};

/**
 * The upstreams of the deployment, with what this instance has learned of each.
 *
 * Thread safety: none; owned by one reducer.
 */
class UpstreamTable {
 public:
  /** Adds an upstream or takes its new row. `region` is that of its zone. */
  void OnRegistered(const UpstreamRegistration& registration,
                    const RegionName& region,
                    MonotonicTime now);
  /** Forgets an upstream once nothing is in flight there. */
  void OnGone(const UpstreamId& id);
  void SetEvacuated(const ZoneName& zone, bool evacuated);

  /** Returns an upstream, or null. The pointer is valid until the next call
   * that isn't const. */
  TrackedUpstream* Find(const UpstreamId& id);
  const TrackedUpstream* Find(const UpstreamId& id) const;

  /** Returns the ids of a service's upstreams, sorted. */
  const std::vector<UpstreamId>& OfService(const ServiceName& service) const;

  /** Returns whether an upstream may get new work as far as its own state and
   * its zone go; it may still be cold or full. */
  bool IsOpen(const TrackedUpstream& upstream, MonotonicTime now) const;

  /** Returns whether an upstream belongs to those that will get work, even if
   * it can't at the moment. */
  bool IsStaying(const TrackedUpstream& upstream) const {
    return !upstream.leaving && !upstream.displaced &&
           !m_evacuated.contains(upstream.registration.zone);
  }

  bool IsCold(const TrackedUpstream& upstream, MonotonicTime now) const {
    return now < upstream.cold_until;
  }

  /** Notes that a request waits for an upstream, or no longer. */
  void OnAwaited(const UpstreamId& id, int change);
  /** Notes a request for an upstream, from the choice on. */
  void OnStarted(const UpstreamId& id);
  /** Notes the end of it. */
  void OnEnded(const UpstreamId& id, SendResult result, MonotonicTime now);
  /** Notes the load that an answer reported; to be called after OnEnded. */
  void OnLoadReport(const UpstreamId& id,
                    const UpstreamLoadReport& report,
                    MonotonicTime now);
  /** Adds to the load that other instances are known to cause; unknown
   * upstreams are ignored. */
  void AddPeerLoad(std::uint64_t upstream_hash, int in_flight, int awaited);
  /** Takes the report that another instance got, if it is newer. */
  void OnSharedReport(const UpstreamLoad& load, MonotonicTime now);
  /** Notes an object that another instance has had handled. */
  void OnSharedObject(const HandledObject& handled);
  /** Returns the upstreams that this instance loads, and those that have sent
   * it a report since `since`. */
  std::vector<UpstreamLoad> ListOwnLoads(MonotonicTime since,
                                         MonotonicTime now) const;

  /** Notes the time of an answer in relation to the expected one. */
  void OnAnswerTime(const UpstreamId& id, double ratio, MonotonicTime now);
  void OnConnected(const UpstreamId& id, MonotonicTime now);
  void OnConnectFailed(const UpstreamId& id, MonotonicTime now);
  /** The address belongs to another upstream until the row changes. */
  void OnDisplaced(const UpstreamId& id);

  /** Returns how many requests the upstream has now, of all instances. */
  static double EstimateOccupancy(const TrackedUpstream& upstream,
                                  MonotonicTime now);
  /** Returns how much longer than usual work takes there now. */
  static double EstimateSlowness(const TrackedUpstream& upstream,
                                 MonotonicTime now);
  /** Returns the share of sends that the upstream rejects or fails now. */
  static double EstimateFailureShare(const TrackedUpstream& upstream,
                                     MonotonicTime now);

 private:
  void SetReport(TrackedUpstream& upstream,
                 double others,
                 std::int32_t work_time_percent,
                 MonotonicTime reported);
  void RemoveIfGone(const UpstreamId& id);
  void Unlist(const ServiceName& service, const UpstreamId& id);

  std::map<UpstreamId, TrackedUpstream> m_upstreams;
  absl::flat_hash_map<ServiceName, std::vector<UpstreamId>> m_services;
  /** Upstreams by StableHash of their id. */
  absl::flat_hash_map<std::uint64_t, UpstreamId> m_by_hash;
  std::set<ZoneName> m_evacuated;
};

}  // namespace kumquatcove

#endif  // DISPATCH_UPSTREAM_TABLE_H_
