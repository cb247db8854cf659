#include "dispatch/placement.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

#include "dispatch/region_plan.h"
#include "dispatch/upstream_rate_limiter.h"

namespace kumquatcove {
namespace {

// Hit probability at an affinity upstream, by its rank, if this instance has no
// record that the upstream handled the object: it may have missed the record,
// or another region may have sent the object there.
constexpr std::array<double,
                     Placement::kAffinityUpstreams +
                         Placement::kOverflowAffinityUpstreams>
    kUnobservedHitProbability = {0.6, 0.2, 0.1};
// Above this probability a cache hit is predicted.
constexpr double kHitThreshold = 0.5;

// A request may always wait this long for the rate limit of an upstream: a
// permit takes a round trip.
constexpr Duration kMinRateWait = Milliseconds(100);

// Cost of a rejected send: a round trip and a unit of the resend budget.
constexpr Duration kRejectionCost = Milliseconds(120);
constexpr double kMaxFailureShare = 0.9;

// A cold upstream works at about half its usual speed.
constexpr double kColdSlowness = 2;

// Range of the random part of the cost, which prevents all instances from
// choosing the same upstream among nearly equal ones.
constexpr double kSpreadMicroseconds = 3'000;

// Cost reduction for an upstream without any requests yet, so that its speed is
// measured and its object cache fills.
constexpr Duration kTrialAdvantage = Milliseconds(400);

// Cost of the last free slots as a share of the work time, since requests of
// other instances may be in transit to them.
constexpr double kCrowdingCost = 0.15;

// Cost of a cache miss, as a multiple of its extra time while the slots of the
// region are in use: the longer work takes slots from other requests, evicts
// another object, which then misses too, and delays all waiting requests.
constexpr double kMissCost = 4;
// Load of a region's slots up to which a miss costs nothing, and from which on
// it has its full cost.
constexpr double kFreeLoad = 0.4;
constexpr double kFullLoad = 0.8;

bool Contains(const std::vector<UpstreamId>& ids, const UpstreamId& id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

}  // namespace

bool Placement::IsInHomeRegion(const TrackedUpstream& upstream,
                               const PlacementRequest& request) {
  const std::vector<RegionName>& homes = request.home_regions;
  return homes.empty() ||
         std::find(homes.begin(), homes.end(), upstream.region) != homes.end();
}

bool Placement::IsAllowed(const TrackedUpstream& upstream,
                          const PlacementRequest& request,
                          MonotonicTime now) const {
  // Without an issuer of permits only the upstream's region has time slots.
  const bool is_reachable = !upstream.rate_limit.Rate() ||
                            !upstream.permits.IsIssuerLost(now) ||
                            upstream.region == m_region;
  return is_reachable && IsInHomeRegion(upstream, request) &&
         m_upstreams.IsOpen(upstream, now) &&
         !Contains(request.excluded, upstream.registration.id);
}

bool Placement::IsTimeSlotOpen(const TrackedUpstream& upstream,
                               const PlacementRequest& request,
                               double rate) const {
  return upstream.region == m_region && request.time_slots &&
         upstream.pacer.IsDue(rate, *request.time_slots);
}

bool Placement::IsRateFree(const TrackedUpstream& upstream,
                           const PlacementRequest& request,
                           MonotonicTime now) const {
  if (m_upstreams.IsCold(upstream, now) &&
      !IsTimeSlotOpen(upstream, request, request.cold_rate)) {
    return false;
  }
  const std::optional<double> rate = UpstreamRateLimiter::FindRate(upstream);
  return !rate || upstream.permits.CountValid(now) > 0 ||
         (upstream.permits.IsIssuerLost(now) &&
          IsTimeSlotOpen(upstream, request, *rate));
}

bool Placement::HasSlot(const TrackedUpstream& upstream,
                        bool has_affinity,
                        MonotonicTime now) {
  const double most = has_affinity
                          ? upstream.registration.slots * (1 + kMaxWaitingShare)
                          : kMaxOccupancyWithoutAffinity;
  return UpstreamTable::EstimateOccupancy(upstream, now) < most;
}

bool Placement::HasRoom(const TrackedUpstream& upstream,
                        const PlacementRequest& request,
                        bool has_affinity,
                        MonotonicTime now) const {
  return IsRateFree(upstream, request, now) &&
         HasSlot(upstream, has_affinity, now);
}

Duration Placement::EstimateRateWait(const TrackedUpstream& upstream,
                                     const PlacementRequest& request,
                                     MonotonicTime now) {
  const std::optional<double> rate = UpstreamRateLimiter::FindRate(upstream);
  if (!rate) {
    return Duration::zero();
  }
  // Without an issuer this instance has one time slot in each cycle.
  const int instances = upstream.permits.IsIssuerLost(now) && request.time_slots
                            ? request.time_slots->instances
                            : 1;
  return upstream.permits.EstimateWait(upstream.awaited, *rate / instances,
                                       now);
}

Placement::Plan Placement::MakePlan(const PlacementRequest& request,
                                    MonotonicTime now) const {
  Plan plan;
  // Cold and failing upstreams retain their assigned objects, which must not
  // move because of a temporary state.
  std::vector<const TrackedUpstream*> eligible;
  for (const TrackedUpstream* upstream :
       m_upstreams.OfService(request.service)) {
    if (m_upstreams.IsEligible(*upstream) &&
        IsInHomeRegion(*upstream, request)) {
      eligible.push_back(upstream);
    }
    if (upstream->region == m_region && IsAllowed(*upstream, request, now)) {
      plan.region = m_region;
    }
  }
  if (!eligible.empty() && request.object != 0) {
    AddAffinityUpstreams(request, eligible, now, plan);
  }
  return plan;
}

void Placement::AddAffinityUpstreams(
    const PlacementRequest& request,
    const std::vector<const TrackedUpstream*>& upstreams,
    MonotonicTime now,
    Plan& plan) const {
  RegionSlots slots;
  for (const TrackedUpstream* upstream : upstreams) {
    slots[upstream->region] += upstream->registration.slots;
  }
  const RegionShares shares = PlanRegions(m_region, slots);
  std::vector<AffinityCandidate> candidates;
  candidates.reserve(upstreams.size());
  for (const TrackedUpstream* upstream : upstreams) {
    candidates.push_back(
        {upstream->registration.id, upstream->registration.slots *
                                        shares.at(upstream->region) /
                                        slots[upstream->region]});
  }
  plan.affinity_upstreams =
      ChooseAffinityUpstreams(request.object, candidates, kAffinityUpstreams);
  for (const UpstreamId& id : plan.affinity_upstreams) {
    const TrackedUpstream& upstream = *m_upstreams.Find(id);
    if (IsAllowed(upstream, request, now)) {
      plan.region = upstream.region;
      break;
    }
  }
  std::vector<AffinityCandidate> overflow;
  for (const TrackedUpstream* upstream : upstreams) {
    if (upstream->region != plan.region) {
      overflow.push_back({upstream->registration.id,
                          static_cast<double>(upstream->registration.slots)});
    }
  }
  for (const UpstreamId& id : ChooseAffinityUpstreams(
           request.object, overflow, kOverflowAffinityUpstreams)) {
    if (!Contains(plan.affinity_upstreams, id)) {
      plan.affinity_upstreams.push_back(id);
    }
  }
}

double Placement::EstimateHitProbability(
    const PlacementRequest& request,
    std::optional<std::size_t> recency_rank,
    std::size_t rank) const {
  if (request.object == 0) {
    return 1;
  }
  if (recency_rank) {
    return m_hit_probabilities.Estimate(request.service, *recency_rank);
  }
  return rank < kUnobservedHitProbability.size()
             ? kUnobservedHitProbability[rank]
             : 0;
}

bool Placement::LikelyHasObjectCached(const TrackedUpstream& upstream,
                                      const PlacementRequest& request) const {
  const std::optional<std::size_t> rank =
      upstream.objects.FindRecencyRank(request.object);
  return rank &&
         m_hit_probabilities.Estimate(request.service, *rank) > kHitThreshold;
}

Placement::Candidate Placement::EvaluateCandidate(
    const TrackedUpstream& upstream,
    const PlacementRequest& request,
    std::size_t rank,
    double region_load,
    MonotonicTime now) const {
  const std::optional<std::size_t> recency_rank =
      upstream.objects.FindRecencyRank(request.object);
  const double prediction = EstimateHitProbability(request, recency_rank, rank);
  const auto hit_time = static_cast<double>(
      m_times.Expect(request.service, CachePrediction::kHit).count());
  const auto miss_time = static_cast<double>(
      m_times.Expect(request.service, CachePrediction::kMiss).count());
  const bool cold = m_upstreams.IsCold(upstream, now);
  const double slowness = UpstreamTable::EstimateSlowness(upstream, now) *
                          (cold ? kColdSlowness : 1);
  const double work =
      (prediction * hit_time + (1 - prediction) * miss_time) * slowness;

  const auto slots =
      static_cast<double>(std::max(upstream.registration.slots, 1));
  const double occupancy = UpstreamTable::EstimateOccupancy(upstream, now);
  const double waiting =
      (upstream.awaited + upstream.peers_awaited) * request.waiting_ratio;
  const Duration rate_wait = EstimateRateWait(upstream, request, now);
  const double wait = std::max(std::max(0.0, occupancy + waiting + 1 - slots) *
                                   (hit_time * slowness) / slots,
                               static_cast<double>(rate_wait.count()));
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
  candidate.choice.recency_rank = recency_rank;
  candidate.choice.prediction = prediction > kHitThreshold
                                    ? CachePrediction::kHit
                                    : CachePrediction::kMiss;
  candidate.choice.occupancy = occupancy;
  candidate.choice.rate_limit = upstream.rate_limit.Rate();
  candidate.choice.work_time = Duration(std::llround(work));
  candidate.choice.completion =
      Duration(std::llround(round_trip + wait + work));
  candidate.choice.rate_exceeded =
      IsRateExceeded(request, rate_wait, candidate.choice.completion, now);
  const double miss =
      (1 - prediction) * kMissCost * std::max(0.0, miss_time - hit_time) *
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
  for (const TrackedUpstream* upstream : m_upstreams.OfService(service)) {
    Sums& region = sums[upstream->region];
    if (m_upstreams.IsOpen(*upstream, now)) {
      region.requests += UpstreamTable::EstimateOccupancy(*upstream, now);
      region.slots += upstream->registration.slots;
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
  bool any_rate_exceeded = false;
  for (const TrackedUpstream* tracked :
       m_upstreams.OfService(request.service)) {
    const TrackedUpstream& upstream = *tracked;
    const auto position =
        std::find(plan.affinity_upstreams.begin(),
                  plan.affinity_upstreams.end(), upstream.registration.id);
    if (!IsAllowed(upstream, request, now)) {
      continue;
    }
    const bool has_affinity = request.object == 0 ||
                              position != plan.affinity_upstreams.end() ||
                              LikelyHasObjectCached(upstream, request);
    const bool has_room = HasRoom(upstream, request, has_affinity, now);
    // The rate of an upstream that states a limit is best used up by any
    // request, while its slots are free.
    const bool is_idle =
        upstream.rate_limit.Rate() && HasSlot(upstream, has_affinity, now);
    if (!has_affinity && !has_room && !is_idle) {
      continue;
    }
    const std::size_t rank =
        position == plan.affinity_upstreams.end()
            ? kUnobservedHitProbability.size()
            : static_cast<std::size_t>(position -
                                       plan.affinity_upstreams.begin());
    Candidate candidate = EvaluateCandidate(upstream, request, rank,
                                            loads.at(upstream.region), now);
    candidate.choice.has_room = has_room;
    // A late request would take the permit of one that isn't late.
    if (upstream.rate_limit.Rate() && !has_room &&
        now >= request.useful_until) {
      candidate.choice.rate_exceeded = true;
    }
    any_rate_exceeded |= candidate.choice.rate_exceeded;
    candidate.choice.overflow =
        !plan.region.IsEmpty() && upstream.region != plan.region;
    candidate.cost_us += random.NextFraction() * kSpreadMicroseconds;
    if (!candidate.choice.overflow) {
      UpdateBest(best_planned, candidate);
    }
    UpdateBest(best, candidate);
  }
  const bool denied = best && best->choice.overflow && !request.may_overflow;
  const std::optional<Candidate>& chosen = denied ? best_planned : best;
  if (!chosen) {
    return std::nullopt;
  }
  PlacementChoice choice = chosen->choice;
  choice.overflow_denied = denied;
  // Requests for which limited upstreams have no room must not fill the queues
  // of the others.
  const MonotonicTime start = now + choice.completion - choice.work_time;
  choice.rate_exceeded |=
      any_rate_exceeded && !choice.has_room && start > request.useful_until;
  return choice;
}

bool Placement::IsRateExceeded(const PlacementRequest& request,
                               Duration rate_wait,
                               Duration completion,
                               MonotonicTime now) {
  return rate_wait > kMinRateWait && now + completion > request.useful_until;
}

void Placement::UpdateBest(std::optional<Candidate>& best,
                           const Candidate& candidate) {
  const auto rank = [](const Candidate& ranked) {
    return std::pair(ranked.choice.rate_exceeded, ranked.cost_us);
  };
  if (!best || rank(candidate) < rank(*best)) {
    best = candidate;
  }
}

bool Placement::HasCandidate(const PlacementRequest& request,
                             MonotonicTime now) const {
  const std::vector<const TrackedUpstream*>& upstreams =
      m_upstreams.OfService(request.service);
  return std::any_of(upstreams.begin(), upstreams.end(),
                     [&](const TrackedUpstream* upstream) {
                       return IsAllowed(*upstream, request, now);
                     });
}

}  // namespace kumquatcove
