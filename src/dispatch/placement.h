#ifndef DISPATCH_PLACEMENT_H_
#define DISPATCH_PLACEMENT_H_

#include <map>
#include <optional>
#include <vector>

#include "base/clock_reading.h"
#include "base/name.h"
#include "base/random.h"
#include "dispatch/object_memory.h"
#include "dispatch/object_recall.h"
#include "dispatch/service_times.h"
#include "dispatch/upstream_table.h"
#include "dispatch/zone_distances.h"

namespace kumquatcove {

/** A request that is to be placed on an upstream. */
struct PlacementRequest {
  ServiceName service;
  /** 0 if upstreams handle all objects alike. */
  ObjectHash object = 0;
  /** Upstreams that have had the request. */
  std::vector<UpstreamId> excluded;
  /** Regions that it may run in; empty for all. */
  std::vector<RegionName> home_regions;
  /** Start of the time in which this instance may send a request to each cold
   * upstream of its own region; nothing at other times. */
  std::optional<WallTime> cold_window;
  /** It may run in another region than the planned one. */
  bool may_overflow = true;
  /** Requests that wait for an upstream in all, in relation to those that are
   * known here to wait for it. */
  double waiting_ratio = 1;
};

/** Where a request goes, and what is expected there. */
struct PlacementChoice {
  UpstreamId upstream;
  ObjectFamiliarity familiarity = ObjectFamiliarity::kUnknown;
  /** Number of objects that it is known to have handled after the request's;
   * nothing if it isn't known to have handled that one. */
  std::optional<std::size_t> object_place;
  /** Expected time from now to the answer. */
  Duration completion{0};
  /** Expected time at the upstream, without network and waiting. */
  Duration work_time{0};
  /** Requests that the upstream is believed to have already. */
  double occupancy = 0;
  /** The upstream can take the request now; otherwise it is best to wait for
   * it.
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
 * Answers the load of many small upstreams that differ in distance, in the
 * objects that they have handled lately, and in the speed of their machines at
 * the moment: each candidate is charged its round trip, the wait for a slot,
 * the work with or without the object at hand, and the risk of a rejection;
 * crossing to another zone or region costs extra, since its bytes do. Objects
 * are kept on few upstreams of each region, alike at all instances. Thread
 * safety: none.
 */
class Placement {
 public:
  /** Requests beyond its slots that an upstream may get, as a share of the
   * slots. What others send isn't known exactly, and an idle slot costs more
   * than a short wait. */
  static constexpr double kMaxWaitingShare = 0.35;
  /** Requests that an upstream may have when it gets one whose object isn't
   * kept there: none, but for what is left of old load reports. Work without
   * the object at hand takes a slot several times as long and displaces another
   * object, so that under load it would cost more capacity than it uses. */
  static constexpr double kMaxStrayOccupancy = 0.05;

  /** Upstreams of the planned regions on which an object is kept. One would
   * bear its load; another allows to avoid one that is slow or full at the
   * moment. */
  static constexpr std::size_t kCopies = 2;
  /** Upstreams of other regions on which it is kept while the first are full.
   */
  static constexpr std::size_t kOverflowCopies = 1;

  /** The references must outlive this object. */
  Placement(const UpstreamTable& upstreams,
            const ServiceTimes& times,
            const ObjectRecall& recall,
            const ZoneDistances& distances,
            RegionName region)
      : m_upstreams(upstreams),
        m_times(times),
        m_recall(recall),
        m_distances(distances),
        m_region(std::move(region)) {}

  /** Returns the best upstream, which may have no room yet; nothing if none is
   * permitted. */
  std::optional<PlacementChoice> Choose(const PlacementRequest& request,
                                        MonotonicTime now,
                                        Random& random) const;

  /** Returns whether some upstream could take the request once it has room. */
  bool HasCandidate(const PlacementRequest& request, MonotonicTime now) const;

  /** Returns whether an upstream on which the request's object is kept has room
   * now. */
  bool HasRoom(const TrackedUpstream& upstream,
               const PlacementRequest& request,
               bool keeper,
               MonotonicTime now) const;

 private:
  struct Candidate {
    PlacementChoice choice;
    double cost_us = 0;
  };

  /** Upstreams on which the request's object is kept, and the region in which
   * it is to run; empty if every region will do. */
  struct Plan {
    std::vector<UpstreamId> keepers;
    RegionName region;
  };

  /** Returns whether the request may run in the upstream's region. */
  static bool IsAtHome(const TrackedUpstream& upstream,
                       const PlacementRequest& request);
  bool IsAllowed(const TrackedUpstream& upstream,
                 const PlacementRequest& request,
                 MonotonicTime now) const;
  Plan MakePlan(const PlacementRequest& request, MonotonicTime now) const;
  void AddKeepers(const PlacementRequest& request,
                  const std::vector<const TrackedUpstream*>& upstreams,
                  MonotonicTime now,
                  Plan& plan) const;
  /** `object_place` is that of PlacementChoice, `rank` the upstream's place
   * among the keepers, or their number. */
  double EstimateFamiliarity(const PlacementRequest& request,
                             std::optional<std::size_t> object_place,
                             std::size_t rank) const;
  /** Returns whether an upstream is likely to have the request's object. */
  bool HasObject(const TrackedUpstream& upstream,
                 const PlacementRequest& request) const;
  /** `region_load` is the number of requests of the upstream's region for each
   * of its slots. */
  Candidate Judge(const TrackedUpstream& upstream,
                  const PlacementRequest& request,
                  std::size_t rank,
                  double region_load,
                  MonotonicTime now) const;
  /** Returns the number of requests that the upstreams of a service have for
   * each of their slots, by region. */
  std::map<RegionName, double> EstimateLoads(const ServiceName& service,
                                             MonotonicTime now) const;

  static void KeepCheaper(std::optional<Candidate>& best,
                          const Candidate& candidate);

  const UpstreamTable& m_upstreams;
  const ServiceTimes& m_times;
  const ObjectRecall& m_recall;
  const ZoneDistances& m_distances;
  RegionName m_region;
};

}  // namespace kumquatcove

#endif  // DISPATCH_PLACEMENT_H_
