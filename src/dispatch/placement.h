#ifndef DISPATCH_PLACEMENT_H_
#define DISPATCH_PLACEMENT_H_

#include <map>
#include <optional>
#include <vector>

#include "base/clock_reading.h"
#include "base/name.h"
#include "base/random.h"
#include "dispatch/hit_probability_estimator.h"
#include "dispatch/recent_objects.h"
#include "dispatch/service_times.h"
#include "dispatch/time_slot_pacer.h"
#include "dispatch/upstream_table.h"
#include "dispatch/zone_distances.h"

namespace kumquatcove {

/** A request that is to be placed on an upstream. */
struct PlacementRequest {
  ServiceName service;
  /** 0 if upstreams handle all objects alike. */
  ObjectHash object = 0;
  /** Upstreams that the request was already sent to. */
  std::vector<UpstreamId> excluded;
  /** Regions that it may run in; empty for all. */
  std::vector<RegionName> home_regions;
  /** Requests per second that a cold upstream of the service accepts. */
  double cold_rate = 0;
  /** Share of this instance in limited rates; `std::nullopt` if the other
   * instances aren't known yet. */
  std::optional<TimeSlotShare> time_slots;
  /** End of the request's latency objective. */
  MonotonicTime useful_until;
  /** It may run in another region than the planned one. */
  bool may_overflow = true;
  /** Ratio of all requests that wait for an upstream to those that this
   * instance has records of. */
  double waiting_ratio = 1;
};

/** Selected upstream for a request, with the expected times. */
struct PlacementChoice {
  UpstreamId upstream;
  CachePrediction prediction = CachePrediction::kMiss;
  /** Number of objects that the upstream handled after the request's;
   * `std::nullopt` if it has no record of handling that one. */
  std::optional<std::size_t> recency_rank;
  /** Expected time from now to the answer. */
  Duration completion{0};
  /** Expected time at the upstream, without network and waiting. */
  Duration work_time{0};
  /** Rate limits leave no room for the request within its latency objective. */
  bool rate_exceeded = false;
  /** Estimated number of requests at the upstream. */
  double occupancy = 0;
  /** Rate limit that the upstream states, in requests per second. */
  std::optional<double> rate_limit;
  /** The upstream can accept the request now; otherwise the request should wait
   * for it.
   */
  bool has_room = false;
  /** It runs in another region than the planned one. */
  bool overflow = false;
  /** Another region would have been better, but it may not overflow. */
  bool overflow_denied = false;
};

/**
 * Chooses the upstream for a request by its expected completion.
 *
 * Designed for many small upstreams that differ in distance, in the objects
 * that they have cached and in the current speed of their machines. The cost of
 * a candidate is the sum of its round trip, the wait for a slot, the work with
 * or without the object cached, and the risk of a rejection; crossing to
 * another zone or region adds a cost, since the transferred bytes do. Each
 * object is assigned to few upstreams of each region, the same ones at all
 * instances. Thread safety: none.
 */
class Placement {
 public:
  /** Requests beyond its slots that an upstream may get, as a share of the
   * slots. The load from other instances is only estimated, and an idle slot
   * costs more than a short wait. */
  static constexpr double kMaxWaitingShare = 0.35;
  /** Maximum occupancy of an upstream that is sent a request without affinity:
   * 0, plus a tolerance for the remainder of old load reports. Work without the
   * object cached occupies a slot several times as long and evicts another
   * object, so that under load it would cost more capacity than it uses. */
  static constexpr double kMaxOccupancyWithoutAffinity = 0.05;

  /** Affinity upstreams of an object in the planned regions. One could carry
   * its load; the second is the alternative while the first is slow or full. */
  static constexpr std::size_t kAffinityUpstreams = 2;
  /** Affinity upstreams of an object in other regions, used while the first
   * ones are full.
   */
  static constexpr std::size_t kOverflowAffinityUpstreams = 1;

  /** The references must outlive this object. */
  Placement(const UpstreamTable& upstreams,
            const ServiceTimes& times,
            const HitProbabilityEstimator& hit_probabilities,
            const ZoneDistances& distances,
            RegionName region)
      : m_upstreams(upstreams),
        m_times(times),
        m_hit_probabilities(hit_probabilities),
        m_distances(distances),
        m_region(std::move(region)) {}

  /** Returns the best upstream, which may have no room yet; `std::nullopt` if
   * no upstream is permitted. */
  std::optional<PlacementChoice> Choose(const PlacementRequest& request,
                                        MonotonicTime now,
                                        Random& random) const;

  /** Returns whether any upstream could accept the request once it has room. */
  bool HasCandidate(const PlacementRequest& request, MonotonicTime now) const;

  /** Returns whether an upstream has room for the request now. The limit is
   * higher if `has_affinity` is true, i.e. the request's object is assigned to
   * or cached by the upstream. */
  bool HasRoom(const TrackedUpstream& upstream,
               const PlacementRequest& request,
               bool has_affinity,
               MonotonicTime now) const;

 private:
  struct Candidate {
    PlacementChoice choice;
    double cost_us = 0;
  };

  /** Affinity upstreams of the request's object, and the region in which it is
   * to run; the region is empty if any region is suitable. */
  struct Plan {
    std::vector<UpstreamId> affinity_upstreams;
    RegionName region;
  };

  /** Returns whether the request may run in the upstream's region. */
  static bool IsInHomeRegion(const TrackedUpstream& upstream,
                             const PlacementRequest& request);
  bool IsAllowed(const TrackedUpstream& upstream,
                 const PlacementRequest& request,
                 MonotonicTime now) const;
  /** Returns whether this instance may send one of `rate` requests per second
   * now, by the time slots of the instances of the upstream's region. */
  bool IsTimeSlotOpen(const TrackedUpstream& upstream,
                      const PlacementRequest& request,
                      double rate) const;
  /** Returns whether the upstream's rate allows a request now. */
  bool IsRateFree(const TrackedUpstream& upstream,
                  const PlacementRequest& request,
                  MonotonicTime now) const;
  /** Returns whether the upstream has a slot for a request now. */
  static bool HasSlot(const TrackedUpstream& upstream,
                      bool has_affinity,
                      MonotonicTime now);
  /** Returns the expected time until the upstream's rate limit allows the
   * request. */
  static Duration EstimateRateWait(const TrackedUpstream& upstream,
                                   const PlacementRequest& request,
                                   MonotonicTime now);
  Plan MakePlan(const PlacementRequest& request, MonotonicTime now) const;
  void AddAffinityUpstreams(
      const PlacementRequest& request,
      const std::vector<const TrackedUpstream*>& upstreams,
      MonotonicTime now,
      Plan& plan) const;
  /** `recency_rank` is that of PlacementChoice, `rank` the upstream's position
   * among the affinity upstreams, or their maximum number if it isn't one of
   * them. */
  double EstimateHitProbability(const PlacementRequest& request,
                                std::optional<std::size_t> recency_rank,
                                std::size_t rank) const;
  /** Returns whether an upstream probably has the request's object cached. */
  bool LikelyHasObjectCached(const TrackedUpstream& upstream,
                             const PlacementRequest& request) const;
  /** `region_load` is the number of requests of the upstream's region for each
   * of its slots. */
  Candidate EvaluateCandidate(const TrackedUpstream& upstream,
                              const PlacementRequest& request,
                              std::size_t rank,
                              double region_load,
                              MonotonicTime now) const;
  /** Returns the number of requests that the upstreams of a service have for
   * each of their slots, by region. */
  std::map<RegionName, double> EstimateLoads(const ServiceName& service,
                                             MonotonicTime now) const;

  /** Returns whether a wait for the upstream's rate limit makes the request
   * miss its latency objective. A queue that is longer than needed to use the
   * rate up makes all requests late and serves no more of them. */
  static bool IsRateExceeded(const PlacementRequest& request,
                             Duration rate_wait,
                             Duration completion,
                             MonotonicTime now);
  static void UpdateBest(std::optional<Candidate>& best,
                         const Candidate& candidate);

  const UpstreamTable& m_upstreams;
  const ServiceTimes& m_times;
  const HitProbabilityEstimator& m_hit_probabilities;
  const ZoneDistances& m_distances;
  RegionName m_region;
};

}  // namespace kumquatcove

#endif  // DISPATCH_PLACEMENT_H_
