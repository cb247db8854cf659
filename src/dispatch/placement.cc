#include "dispatch/placement.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

namespace kumquatcove {
namespace {

// Probability that an upstream on which an object is kept has it at hand,
// although this instance hasn't sent it there.
constexpr double kPreferredFamiliarity = 0.6;

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

bool Contains(const std::vector<UpstreamId>& ids, const UpstreamId& id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

}  // namespace

bool Placement::IsAllowed(const TrackedUpstream& upstream,
                          const PlacementRequest& request,
                          MonotonicTime now) const {
  const std::vector<RegionName>& homes = request.home_regions;
  const bool at_home =
      homes.empty() ||
      std::find(homes.begin(), homes.end(), upstream.region) != homes.end();
  return at_home && m_upstreams.IsOpen(upstream, now) &&
         !Contains(request.excluded, upstream.registration.id);
}

bool Placement::HasRoom(const TrackedUpstream& upstream,
                        const PlacementRequest& request,
                        MonotonicTime now) const {
  if (m_upstreams.IsCold(upstream, now) &&
      (upstream.region != m_region ||
       !upstream.pacer.IsDue(now, request.cold_rate))) {
    return false;
  }
  return UpstreamTable::EstimateOccupancy(upstream, now) <
         upstream.registration.slots + kMaxWaitingAtUpstream;
}

Placement::Candidate Placement::Judge(const TrackedUpstream& upstream,
                                      const PlacementRequest& request,
                                      bool preferred,
                                      MonotonicTime now) const {
  const bool known =
      request.object != 0 && upstream.objects.Contains(request.object);
  double familiarity = 0;
  if (request.object == 0 || known) {
    familiarity = 1;
  } else if (preferred && upstream.sent > 0) {
    familiarity = kPreferredFamiliarity;
  }
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
  const double wait = std::max(0.0, occupancy + 1 - slots) *
                      (familiar_time * slowness) / slots;
  const double crowding =
      kCrowdingCost * work * std::pow(std::min(occupancy / slots, 1.0), 2);
  const double failing = std::min(
      UpstreamTable::EstimateFailureShare(upstream, now), kMaxFailureShare);
  const double rejection = failing / (1 - failing) *
                           static_cast<double>(kRejectionCost.count());
  const ZoneName& zone = upstream.registration.zone;
  const auto round_trip =
      static_cast<double>(m_distances.RoundTrip(zone).count());

  Candidate candidate;
  candidate.choice.upstream = upstream.registration.id;
  candidate.choice.familiarity = familiarity > 0.5
                                     ? ObjectFamiliarity::kFamiliar
                                     : ObjectFamiliarity::kUnknown;
  candidate.choice.work_time = Duration(std::llround(work));
  candidate.choice.completion = Duration(std::llround(round_trip + wait + work));
  candidate.cost_us =
      round_trip + wait + work + crowding + rejection +
      static_cast<double>(m_distances.CrossingCost(zone).count());
  if (upstream.sent == 0 && upstream.region == m_region) {
    candidate.cost_us -= static_cast<double>(kTrialAdvantage.count());
  }
  return candidate;
}

std::optional<PlacementChoice> Placement::Choose(
    const PlacementRequest& request,
    MonotonicTime now,
    Random& random) const {
  std::map<RegionName, std::vector<UpstreamId>> regions;
  for (const UpstreamId& id : m_upstreams.OfService(request.service)) {
    const TrackedUpstream& upstream = *m_upstreams.Find(id);
    // Cold and failing upstreams count too: an object must not move for their
    // sake.
    if (!upstream.leaving) {
      regions[upstream.region].push_back(id);
    }
  }
  std::optional<Candidate> best;
  for (const auto& [region, ids] : regions) {
    const std::vector<UpstreamId> preferred =
        request.object == 0 ? ids : PreferredUpstreams(request.object, ids);
    for (const UpstreamId& id : ids) {
      const TrackedUpstream& upstream = *m_upstreams.Find(id);
      if (!IsAllowed(upstream, request, now) ||
          !HasRoom(upstream, request, now)) {
        continue;
      }
      Candidate candidate =
          Judge(upstream, request, Contains(preferred, id), now);
      candidate.cost_us += random.NextFraction() * kSpreadMicroseconds;
      if (!best || candidate.cost_us < best->cost_us) {
        best = std::move(candidate);
      }
    }
  }
  if (!best) {
    return std::nullopt;
  }
  return std::move(best->choice);
}

bool Placement::HasCandidate(const PlacementRequest& request,
                             MonotonicTime now) const {
  const std::vector<UpstreamId>& ids = m_upstreams.OfService(request.service);
  return std::any_of(ids.begin(), ids.end(), [&](const UpstreamId& id) {
    return IsAllowed(*m_upstreams.Find(id), request, now);
  });
}

}  // namespace kumquatcove
