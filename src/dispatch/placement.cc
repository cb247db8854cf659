#include "dispatch/placement.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

#include "dispatch/region_plan.h"

namespace kumquatcove {
namespace {

// Probability that an upstream on which an object is kept has it at hand, by
// its rank among those, if nobody here knows that it has handled it: this
// instance may have missed that, or another region may have sent it there.
constexpr std::array<double, Placement::kCopies + Placement::kOverflowCopies>
    kUnseenFamiliarity = {0.6, 0.2, 0.1};
// From this probability on an upstream counts as one that has the object.
constexpr double kSureFamiliarity = 0.5;

// What a rejected send costs: the way there and back, and a place in the resend
// budget.
constexpr Duration kRejectionCost = Milliseconds(120);
constexpr double kMaxFailureShare = 0.9;

// A cold upstream works at about half its usual speed.
constexpr double kColdSlowness = 2;

// Candidates closer than this are alike; the random part keeps instances from
// all choosing the same one.
constexpr double kSpreadMicroseconds = 3'000;

// An upstream that is new gets a request for this much advantage, so that its
// speed becomes known and its object cache fills.
constexpr Duration kTrialAdvantage = Milliseconds(400);

// Share of the work time that the last free slots cost, since requests of other
// instances may be on their way.
constexpr double kCrowdingCost = 0.15;

// Work without the object at hand takes slots from other requests and displaces
// another object, which is missing then, and all that wait are served later: so
// many times its extra time, if the slots of the region are in use.
constexpr double kMissCost = 4;
// Load of a region's slots up to which that costs nothing, and from which on it
// costs all.
constexpr double kFreeLoad = 0.4;
constexpr double kFullLoad = 0.8;

bool Contains(const std::vector<UpstreamId>& ids, const UpstreamId& id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

}  // namespace

bool Placement::IsAtHome(const TrackedUpstream& upstream,
                         const PlacementRequest& request) {
  const std::vector<RegionName>& homes = request.home_regions;
  return homes.empty() ||
         std::find(homes.begin(), homes.end(), upstream.region) != homes.end();
}

bool Placement::IsAllowed(const TrackedUpstream& upstream,
                          const PlacementRequest& request,
                          MonotonicTime now) const {
  return IsAtHome(upstream, request) && m_upstreams.IsOpen(upstream, now) &&
         !Contains(request.excluded, upstream.registration.id);
}

bool Placement::HasRoom(const TrackedUpstream& upstream,
                        const PlacementRequest& request,
                        bool keeper,
                        MonotonicTime now) const {
  if (m_upstreams.IsCold(upstream, now) &&
      (upstream.region != m_region || !request.cold_window ||
       !upstream.pacer.IsDue(*request.cold_window))) {
    return false;
  }
  const double most = keeper
                          ? upstream.registration.slots * (1 + kMaxWaitingShare)
                          : kMaxStrayOccupancy;
  return UpstreamTable::EstimateOccupancy(upstream, now) < most;
}

Placement::Plan Placement::MakePlan(const PlacementRequest& request,
                                    MonotonicTime now) const {
  Plan plan;
  // Cold and failing upstreams keep objects too: these must not move for their
  // sake.
  std::vector<const TrackedUpstream*> staying;
  for (const UpstreamId& id : m_upstreams.OfService(request.service)) {
    const TrackedUpstream& upstream = *m_upstreams.Find(id);
    if (m_upstreams.IsStaying(upstream) && IsAtHome(upstream, request)) {
      staying.push_back(&upstream);
    }
    if (upstream.region == m_region && IsAllowed(upstream, request, now)) {
      plan.region = m_region;
    }
  }
  if (!staying.empty() && request.object != 0) {
    AddKeepers(request, staying, now, plan);
  }
  return plan;
}

void Placement::AddKeepers(const PlacementRequest& request,
                           const std::vector<const TrackedUpstream*>& upstreams,
                           MonotonicTime now,
                           Plan& plan) const {
  RegionSlots slots;
  for (const TrackedUpstream* upstream : upstreams) {
    slots[upstream->region] += upstream->registration.slots;
  }
  const RegionShares shares = PlanRegions(m_region, slots);
  std::vector<ObjectKeeper> keepers;
  keepers.reserve(upstreams.size());
  for (const TrackedUpstream* upstream : upstreams) {
    keepers.push_back(
        {upstream->registration.id, upstream->registration.slots *
                                        shares.at(upstream->region) /
                                        slots[upstream->region]});
  }
  plan.keepers = ChooseKeepers(request.object, keepers, kCopies);
  for (const UpstreamId& id : plan.keepers) {
    const TrackedUpstream& keeper = *m_upstreams.Find(id);
    if (IsAllowed(keeper, request, now)) {
      plan.region = keeper.region;
      break;
    }
  }
  std::vector<ObjectKeeper> overflow;
  for (const TrackedUpstream* upstream : upstreams) {
    if (upstream->region != plan.region) {
      overflow.push_back({upstream->registration.id,
                          static_cast<double>(upstream->registration.slots)});
    }
  }
  for (const UpstreamId& id :
       ChooseKeepers(request.object, overflow, kOverflowCopies)) {
    if (!Contains(plan.keepers, id)) {
      plan.keepers.push_back(id);
    }
  }
}

double Placement::EstimateFamiliarity(const PlacementRequest& request,
                                      std::optional<std::size_t> object_place,
                                      std::size_t rank) const {
  if (request.object == 0) {
    return 1;
  }
  if (object_place) {
    return m_recall.Estimate(request.service, *object_place);
  }
  return rank < kUnseenFamiliarity.size() ? kUnseenFamiliarity[rank] : 0;
}

bool Placement::HasObject(const TrackedUpstream& upstream,
                          const PlacementRequest& request) const {
  const std::optional<std::size_t> place =
      upstream.objects.FindPlace(request.object);
  return place && m_recall.Estimate(request.service, *place) > kSureFamiliarity;
}

Placement::Candidate Placement::Judge(const TrackedUpstream& upstream,
                                      const PlacementRequest& request,
                                      std::size_t rank,
                                      double region_load,
                                      MonotonicTime now) const {
  const std::optional<std::size_t> object_place =
      upstream.objects.FindPlace(request.object);
  const double familiarity = EstimateFamiliarity(request, object_place, rank);
  const auto familiar_time = static_cast<double>(
      m_times.Expect(request.service, ObjectFamiliarity::kFamiliar).count());
  const auto unknown_time = static_cast<double>(
      m_times.Expect(request.service, ObjectFamiliarity::kUnknown).count());
  const bool cold = m_upstreams.IsCold(upstream, now);
  const double slowness = UpstreamTable::EstimateSlowness(upstream, now) *
                          (cold ? kColdSlowness : 1);
  const double work =
      (familiarity * familiar_time + (1 - familiarity) * unknown_time) *
      slowness;

  const auto slots =
      static_cast<double>(std::max(upstream.registration.slots, 1));
  const double occupancy = UpstreamTable::EstimateOccupancy(upstream, now);
  const double waiting =
      (upstream.awaited + upstream.peers_awaited) * request.waiting_ratio;
  const double wait = std::max(0.0, occupancy + waiting + 1 - slots) *
                      (familiar_time * slowness) / slots;
  const double crowding =
      kCrowdingCost * work * std::pow(std::min(occupancy / slots, 1.0), 2);
  const double failing = std::min(
      UpstreamTable::EstimateFailureShare(upstream, now), kMaxFailureShare);
  const double rejection =
      failing / (1 - failing) * static_cast<double>(kRejectionCost.count());
  const ZoneName& zone = upstream.registration.zone;
  const auto round_trip =
      static_cast<double>(m_distances.RoundTrip(zone).count());

  Candidate candidate;
  candidate.choice.upstream = upstream.registration.id;
  candidate.choice.object_place = object_place;
  candidate.choice.familiarity = familiarity > kSureFamiliarity
                                     ? ObjectFamiliarity::kFamiliar
                                     : ObjectFamiliarity::kUnknown;
  candidate.choice.occupancy = occupancy;
  candidate.choice.work_time = Duration(std::llround(work));
  candidate.choice.completion =
      Duration(std::llround(round_trip + wait + work));
  const double miss =
      (1 - familiarity) * kMissCost *
      std::max(0.0, unknown_time - familiar_time) *
      std::clamp((region_load - kFreeLoad) / (kFullLoad - kFreeLoad), 0.0, 1.0);
  candidate.cost_us =
      round_trip + wait + work + crowding + rejection + miss +
      static_cast<double>(m_distances.CrossingCost(zone).count());
  if (request.object == 0 && upstream.sent == 0 && !upstream.has_report &&
      upstream.region == m_region) {
    candidate.cost_us -= static_cast<double>(kTrialAdvantage.count());
  }
  return candidate;
}

std::map<RegionName, double> Placement::EstimateLoads(
    const ServiceName& service,
    MonotonicTime now) const {
  struct Sums {
    double requests = 0;
    double slots = 0;
  };
  std::map<RegionName, Sums> sums;
  for (const UpstreamId& id : m_upstreams.OfService(service)) {
    const TrackedUpstream& upstream = *m_upstreams.Find(id);
    Sums& region = sums[upstream.region];
    if (m_upstreams.IsOpen(upstream, now)) {
      region.requests += UpstreamTable::EstimateOccupancy(upstream, now);
      region.slots += upstream.registration.slots;
    }
  }
  std::map<RegionName, double> loads;
  for (const auto& [region, sum] : sums) {
    loads[region] = sum.slots > 0 ? sum.requests / sum.slots : 0;
  }
  return loads;
}

std::optional<PlacementChoice> Placement::Choose(
    const PlacementRequest& request,
    MonotonicTime now,
    Random& random) const {
  const Plan plan = MakePlan(request, now);
  const std::map<RegionName, double> loads =
      EstimateLoads(request.service, now);
  std::optional<Candidate> best;
  std::optional<Candidate> best_planned;
  for (const UpstreamId& id : m_upstreams.OfService(request.service)) {
    const TrackedUpstream& upstream = *m_upstreams.Find(id);
    const auto place = std::find(plan.keepers.begin(), plan.keepers.end(), id);
    const bool keeper = request.object == 0 || place != plan.keepers.end() ||
                        HasObject(upstream, request);
    const bool has_room = HasRoom(upstream, request, keeper, now);
    if (!IsAllowed(upstream, request, now) || (!keeper && !has_room)) {
      continue;
    }
    const std::size_t rank =
        place == plan.keepers.end()
            ? kUnseenFamiliarity.size()
            : static_cast<std::size_t>(place - plan.keepers.begin());
    Candidate candidate =
        Judge(upstream, request, rank, loads.at(upstream.region), now);
    candidate.choice.has_room = has_room;
    candidate.choice.overflow =
        !plan.region.IsEmpty() && upstream.region != plan.region;
    candidate.cost_us += random.NextFraction() * kSpreadMicroseconds;
    if (!candidate.choice.overflow) {
      KeepCheaper(best_planned, candidate);
    }
    KeepCheaper(best, candidate);
  }
  const bool denied = best && best->choice.overflow && !request.may_overflow;
  const std::optional<Candidate>& chosen = denied ? best_planned : best;
  if (!chosen) {
    return std::nullopt;
  }
  PlacementChoice choice = chosen->choice;
  choice.overflow_denied = denied;
  return choice;
}

void Placement::KeepCheaper(std::optional<Candidate>& best,
                            const Candidate& candidate) {
  if (!best || candidate.cost_us < best->cost_us) {
    best = candidate;
  }
}

bool Placement::HasCandidate(const PlacementRequest& request,
                             MonotonicTime now) const {
  const std::vector<UpstreamId>& ids = m_upstreams.OfService(request.service);
  return std::any_of(ids.begin(), ids.end(), [&](const UpstreamId& id) {
    return IsAllowed(*m_upstreams.Find(id), request, now);
  });
}

}  // namespace kumquatcove
