#ifndef DISPATCH_UPSTREAM_TABLE_H_
#define DISPATCH_UPSTREAM_TABLE_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "base/clock_reading.h"
#include "base/name.h"
#include "dispatch/recent_objects.h"
#include "dispatch/send_permits.h"
#include "dispatch/stated_rate_limit.h"
#include "dispatch/time_slot_pacer.h"
#include "protocol/event.h"
#include "protocol/peer_message.h"
#include "registry/registry_record.h"

namespace kumquatcove {

/**
 * What this instance knows of the rate of requests that an upstream accepts
 * from all instances, and of its own part in it.
 *
 * Only answers of the upstream change its rate limit, so this state outlasts
 * the upstream's row and its process.
 */
struct UpstreamRateState {
  /** Region of its zone; empty if its row was never read. */
  RegionName region;
  StatedRateLimit rate_limit;
  /** Last answer to this instance that stated the limit, or its end. */
  MonotonicTime limit_answered;
  SendPermits permits;
  TimeSlotPacer pacer;
};

/** State of one upstream as tracked by this instance. */
struct TrackedUpstream : UpstreamRateState {
  UpstreamRegistration registration;
  MonotonicTime registered;
  /** Requests of this instance in flight at it, or waiting for a connection. */
  int in_flight = 0;
  /** Requests of this instance that wait for it to have room. */
  int awaited = 0;
  /** Requests that this instance has sent to this incarnation. */
  int sent = 0;
  /** It is draining, or its row was removed: no new work. */
  bool leaving = false;
  bool removed = false;
  /** Its address was found to belong to another upstream. */
  bool displaced = false;

  /** Requests of the instances that send digests, as of their last digests, see
   * SharedLoad: those in flight at it, and those that wait for it. */
  int peers_in_flight = 0;
  int peers_awaited = 0;
  /** Requests of the other instances as of its last report, and the time of
   * that report. */
  double others_reported = 0;
  double others_average = 0;
  MonotonicTime reported;
  bool has_report = false;
  /** The last report was received by this instance, not by another one. */
  bool own_report = false;
  double work_time_ratio = 1;

  /** Recent share of sends that it rejected or failed. */
  double failure_share = 0;
  /** Recent ratio of answer times to the expected ones. */
  double slowness = 1;
  MonotonicTime evaluated;
  /** Last time it answered an instance of the region or accepted a connection.
   */
  MonotonicTime last_contact;
  /** It was unreachable and gets no requests until then. */
  MonotonicTime avoid_until;
  int connect_failures = 0;

  MonotonicTime cold_until;
  RecentObjects objects;
};

/** How a send to an upstream ended. */
enum class SendResult {
  kAnswered,
  /** The upstream reported that it didn't execute the request. */
  kRejected,
  /** An error answer, or the connection broke. */
  kFailed,
  /** Cancelled by this instance or its caller; no evidence on the upstream's
     state. */
  kAbandoned,
};

/**
 * The upstreams of the deployment, with the state that this instance tracks of
 * each.
 *
 * Thread safety: none; owned by one reducer.
 */
class UpstreamTable {
 public:
  /** Time for which the rate state of an upstream without a row is kept, well
   * above the length of outages of the store. */
  static constexpr Duration kRateMemory = Seconds(600);

  /** Adds an upstream or applies its new row. `region` is that of its zone. */
  void OnRegistered(const UpstreamRegistration& registration,
                    const RegionName& region,
                    MonotonicTime now);
  /** Marks an upstream as removed, and erases it once it has no request in
   * flight. Its rate state is kept for kRateMemory. */
  void MarkRemoved(const UpstreamId& id, MonotonicTime now);
  void SetEvacuated(const ZoneName& zone, bool evacuated);

  /** Returns an upstream, or null. The pointer is valid until the next call
   * that isn't const. */
  TrackedUpstream* Find(const UpstreamId& id);
  const TrackedUpstream* Find(const UpstreamId& id) const;
  /** Returns the upstream with this StableHash of its id, or null. */
  TrackedUpstream* FindByHash(std::uint64_t upstream_hash);
  /** Returns the rate state of the upstream with this StableHash of its id,
   * whether or not it is registered. The reference is valid until the next call
   * that isn't const. */
  UpstreamRateState& RateState(std::uint64_t upstream_hash, MonotonicTime now);
  /** Discards the retained rate states that are older than kRateMemory. */
  void ForgetRates(MonotonicTime now);

  /** Returns a service's upstreams, sorted by id. The reference and the
   * pointers are valid until the next call that isn't const. */
  const std::vector<const TrackedUpstream*>& OfService(
      const ServiceName& service) const;

  /** Returns whether an upstream may get new work as far as its own state and
   * its zone go; it may still be cold or full. */
  bool IsOpen(const TrackedUpstream& upstream, MonotonicTime now) const;

  /** Returns whether an upstream is eligible for work, even if it can't accept
   * any at the moment. */
  bool IsEligible(const TrackedUpstream& upstream) const {
    return !upstream.leaving && !upstream.displaced &&
           !m_evacuated.contains(upstream.registration.zone);
  }

  bool IsCold(const TrackedUpstream& upstream, MonotonicTime now) const {
    return now < upstream.cold_until;
  }

  /** Changes the number of requests that wait for an upstream. */
  void OnAwaited(const UpstreamId& id, int change);
  /** Records a request for an upstream when the upstream is chosen. */
  void OnStarted(const UpstreamId& id);
  /** Records the end of a request. */
  void OnEnded(const UpstreamId& id, SendResult result, MonotonicTime now);
  /** Records the load reported in an answer; to be called after OnEnded(). */
  void OnLoadReport(const UpstreamId& id,
                    const UpstreamLoadReport& report,
                    MonotonicTime now);
  /** Adds to the load caused by other instances; unknown upstreams are ignored.
   */
  void AddPeerLoad(std::uint64_t upstream_hash, int in_flight, int awaited);
  /** Applies a report that another instance received, if it is newer. */
  void OnSharedReport(const UpstreamLoad& load, MonotonicTime now);
  /** Records an object that an upstream handled for another instance. */
  void OnSharedObject(const HandledObject& handled);
  /** Returns the loads of the upstreams that have requests of this instance, or
   * have sent it a report since `since`. */
  std::vector<UpstreamLoad> ListOwnLoads(MonotonicTime since,
                                         MonotonicTime now) const;

  /** Records the ratio of an answer's time to the expected one. */
  void OnAnswerTime(const UpstreamId& id, double ratio, MonotonicTime now);
  void OnConnected(const UpstreamId& id, MonotonicTime now);
  void OnConnectFailed(const UpstreamId& id, MonotonicTime now);
  /** Marks an upstream whose address belongs to another one, until its row
   * changes. */
  void OnDisplaced(const UpstreamId& id);

  /** Returns the estimated current number of requests at the upstream, of all
   * instances. */
  static double EstimateOccupancy(const TrackedUpstream& upstream,
                                  MonotonicTime now);
  /** Returns the estimated current ratio of work time to the usual one. */
  static double EstimateSlowness(const TrackedUpstream& upstream,
                                 MonotonicTime now);
  /** Returns the estimated current share of sends that the upstream rejects or
   * fails. */
  static double EstimateFailureShare(const TrackedUpstream& upstream,
                                     MonotonicTime now);

 private:
  void SetReport(TrackedUpstream& upstream,
                 double others,
                 std::int32_t work_time_percent,
                 MonotonicTime reported);
  void RemoveIfUnused(const UpstreamId& id, MonotonicTime now);
  /** Removes and returns the retained rate state of an upstream, or an empty
   * one. */
  UpstreamRateState TakeRetainedRate(const UpstreamId& id);
  void RemoveFromService(const ServiceName& service, const UpstreamId& id);

  std::map<UpstreamId, TrackedUpstream> m_upstreams;
  /** Pointers into m_upstreams. */
  absl::flat_hash_map<ServiceName, std::vector<const TrackedUpstream*>>
      m_services;
  /** Upstreams by StableHash of their id. */
  absl::flat_hash_map<std::uint64_t, UpstreamId> m_by_hash;
  /** Rate state of an upstream that isn't registered. */
  struct RetainedRate {
    UpstreamRateState state;
    MonotonicTime since;
  };

  /** By StableHash of the upstream's id. */
  absl::flat_hash_map<std::uint64_t, RetainedRate> m_retained_rates;
  std::set<ZoneName> m_evacuated;
};

}  // namespace kumquatcove

#endif  // DISPATCH_UPSTREAM_TABLE_H_
