#ifndef DISPATCH_UPSTREAM_RATE_LIMITER_H_
#define DISPATCH_UPSTREAM_RATE_LIMITER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/clock_reading.h"
#include "base/name.h"
#include "dispatch/permit_issuer.h"
#include "dispatch/upstream_table.h"
#include "protocol/context.h"
#include "protocol/event.h"
#include "protocol/peer_message.h"
#include "registry/entry_presence.h"

namespace kumquatcove {

/**
 * Keeps the requests of all instances within the rate limits that upstreams
 * state.
 *
 * A limit applies to the sum over all instances, each of which sees a small
 * part of it and often wants less than one request per second. So each send to
 * such an upstream needs a permit, and one instance of the upstream's region
 * issues all permits of it (PermitIssuer): the coordinator of EntryPresence for
 * the hash of its id. Instances request as many as they have waiting requests.
 * If no instance of that region answers, a deputy in another region issues part
 * of them. Without any issuer the time slots of TimeSlotPacer divide the limit
 * among the instances of the upstream's region, and others don't send. Limits
 * are learned from answers, and from the digests and permit messages of other
 * instances. Nothing is stored. Thread safety: none; owned by one reducer.
 */
class UpstreamRateLimiter {
 public:
  /** Rate at which an upstream that states a lower limit gets requests, per
   * second. Without any, the end of its limit would never be known. */
  static constexpr double kMinRate = 0.25;

  /** Share of the rate that a deputy issues. The instances of the upstream's
   * region may be alive and only unreachable from the deputy's; the platform
   * allows this excess. */
  static constexpr double kDeputyShare = 0.5;

  /** `table` must outlive this object. */
  explicit UpstreamRateLimiter(UpstreamTable& table) : m_table(table) {}

  /** Returns the requests per second that an upstream may get from all
   * instances, at least kMinRate; `std::nullopt` if it states no limit. */
  static std::optional<double> FindRate(const UpstreamRateState& upstream);

  /** Returns whether any upstream states a rate limit, or did lately. */
  bool HasLimits() const { return !m_limited.empty(); }

  /** Records that the row of an upstream was read; its rate limit may be known
   * already. Precondition: the upstream is registered in the table. */
  void OnRegistered(Context& context, const UpstreamId& id);

  /** Applies an answer of an upstream to a request that was sent to it at
   * `sent`. */
  void OnAnswer(Context& context,
                const UpstreamId& id,
                RequestId request,
                const UpstreamAnswered& event,
                MonotonicTime sent);

  /** Applies what another instance knows of the limits of upstreams. */
  void OnPeerLimits(Context& context,
                    const InstanceId& sender,
                    const std::vector<UpstreamLimit>& limits);

  /** Applies the waits for permits that another instance was told. */
  void OnPeerForecasts(const std::vector<PermitForecast>& forecasts,
                       MonotonicTime now);

  /** Returns the limits that upstreams have stated to this instance since
   * `since`, and the limits that have ended recently; those that the other
   * instances have been told lately are left out. */
  std::vector<UpstreamLimit> TakeLimitReports(MonotonicTime since,
                                              MonotonicTime now);
  /** Returns the long waits for permits that this instance was told since
   * `since`, unless another one has told it a wait for that upstream lately. */
  std::vector<PermitForecast> ListForecasts(MonotonicTime since,
                                            MonotonicTime now) const;

  /** Handles another instance's demand for permits; Exchange() answers it. */
  void OnPermitRequest(Context& context,
                       const InstanceId& sender,
                       const PermitRequest& request);

  /** Adds the permits that another instance has issued. */
  void OnPermitGrant(Context& context,
                     const InstanceId& sender,
                     const PermitGrant& grant);

  /** Records that a message of another instance has arrived. */
  void OnPeerContact(const InstanceId& sender) { m_silent.erase(sender); }

  /** Records that the number of requests which wait for an upstream has
   * changed. */
  void OnAwaitedChanged(const UpstreamId& id) {
    if (m_limited.contains(id)) {
      m_changed.insert(id);
    }
  }

  /** Requests and issues permits as far as due; to be called after each event
   * and at least every 10 ms. */
  void Exchange(Context& context, const EntryPresence& presence);

  /** Returns the upstreams for which permits were received since the last call.
   */
  std::set<UpstreamId> TakeGranted() { return std::exchange(m_granted, {}); }

 private:
  /** This instance's demand for the permits of one upstream. */
  struct Demand {
    /** Instance that the last request was sent to; this one if it issues. */
    InstanceId issuer;
    int wanted = 0;
    std::optional<MonotonicTime> last_sent;
    std::optional<MonotonicTime> unanswered_since;
    /** Issuer according to the last one asked, until `redirected_until`. */
    InstanceId redirected_to;
    MonotonicTime redirected_until;
    /** No request is sent until then. */
    MonotonicTime paused_until;
  };

  void OnChanged(Context& context,
                 std::uint64_t upstream_hash,
                 std::optional<double> previous,
                 const std::string& source);
  /** Discards the demands for upstreams whose limit has ended. */
  void DropEnded(MonotonicTime now);
  /** Requests permits of these upstreams as far as due. */
  void RequestPermits(Context& context,
                      const EntryPresence& presence,
                      const std::set<UpstreamId>& upstreams);
  /** Updates the demand for one upstream, and adds it to `requests` if it is to
   * be sent now. */
  void UpdateDemand(Context& context,
                    const EntryPresence& presence,
                    TrackedUpstream& upstream,
                    std::map<InstanceId, PermitRequest>& requests);
  std::optional<InstanceId> FindIssuer(Context& context,
                                       const EntryPresence& presence,
                                       const TrackedUpstream& upstream,
                                       Demand& demand);
  void LoseIssuer(Context& context, TrackedUpstream& upstream, Demand& demand);
  /** Issues the permits of these upstreams, given by the StableHash of their
   * ids, and answers the demands for them. */
  void IssuePermits(Context& context,
                    const EntryPresence& presence,
                    const std::set<std::uint64_t>& upstreams);
  /** Discards the demands for an upstream, whose permits `successor` issues, or
   * nobody that is known. */
  void StopIssuing(Context& context,
                   std::uint64_t upstream_hash,
                   const std::string& successor);
  /** Returns the id of an upstream for the log, or its hash if it isn't
   * registered. */
  std::string FormatUpstream(std::uint64_t upstream_hash);
  void AddGrant(Context& context,
                const EntryPresence& presence,
                const InstanceId& instance,
                std::uint64_t upstream_hash,
                int count);
  void SendGrants(Context& context, const EntryPresence& presence);
  std::set<InstanceId> ListSilent(MonotonicTime now);
  /** Returns the region whose coordinator stands in for that of `region`; empty
   * if there is no other region. */
  static RegionName FindDeputyRegion(const Context& context,
                                     const EntryPresence& presence,
                                     const RegionName& region,
                                     std::uint64_t upstream_hash);
  /** Returns the instance that issues the permits of an upstream of `region`
   * for this instance's region; the result may be up to kCoordinatorCacheTime
   * old. */
  std::optional<InstanceId> FindOwnIssuer(const Context& context,
                                          const EntryPresence& presence,
                                          const RegionName& region,
                                          std::uint64_t upstream_hash);

  /** What this instance has last told the others of a limit. */
  struct LimitReport {
    std::optional<double> rate;
    MonotonicTime sent;
  };

  struct CachedCoordinator {
    std::optional<InstanceId> instance;
    MonotonicTime found;
  };

  UpstreamTable& m_table;
  PermitIssuer m_issuer;
  /** Upstreams with a limit, or whose limit has ended recently. */
  std::set<UpstreamId> m_limited;
  /** Limited upstreams whose demand may have changed since the last
   * Exchange(). */
  std::set<UpstreamId> m_changed;
  /** Limited upstreams for which requests wait here, or for whose permits this
   * instance has a demand. */
  std::set<UpstreamId> m_wanted;
  /** Upstreams for whose permits demands have arrived since the last
   * Exchange(). */
  std::set<std::uint64_t> m_demanded;
  /** Last time at which all demands were checked. */
  MonotonicTime m_checked;
  /** Last call of DropEnded(). */
  MonotonicTime m_dropped;
  std::map<UpstreamId, Demand> m_demands;
  std::map<UpstreamId, LimitReport> m_reports;
  /** Instances that didn't answer a permit request, until these times. */
  std::map<InstanceId, MonotonicTime> m_silent;
  /** Demands that are to be answered even without permits. */
  std::set<std::pair<InstanceId, std::uint64_t>> m_unanswered;
  std::map<InstanceId, PermitGrant> m_grants;
  /** Upstreams whose permits this instance issues. */
  std::set<std::uint64_t> m_issuing;
  std::set<UpstreamId> m_granted;
  std::map<std::uint64_t, CachedCoordinator> m_coordinators;
};

}  // namespace kumquatcove

#endif  // DISPATCH_UPSTREAM_RATE_LIMITER_H_
