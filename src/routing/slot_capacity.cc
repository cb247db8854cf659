#include "routing/slot_capacity.h"

#include <algorithm>

namespace kumquatcove {
namespace {

// A short request that has run for more than this multiple of the mean service
// time is overdue.
constexpr std::int64_t kOverdueFactor = 3;
// Two overdue requests at one upstream indicate slowness before either of them
// has ended; a single one is more often a straggler.
constexpr std::int32_t kOverdueUntilSlowed = 2;

bool IsExcluded(const SlotRequest& request, const UpstreamId& upstream) {
  return std::find(request.exclude.begin(), request.exclude.end(), upstream) !=
         request.exclude.end();
}

}  // namespace

SlotCapacity::SlotCapacity(const Context& context,
                           const UpstreamHealth& health,
                           const SlotOccupancy& occupancy,
                           const ServiceName& service,
                           std::int32_t withheld)
    : m_is_withheld(withheld > 0) {
  std::int64_t weighted_time = 0;
  std::int32_t timed_slots = 0;
  for (const UpstreamId& upstream :
       context.Catalogue().UpstreamsIn(service, context.Self().region)) {
    Candidate candidate;
    candidate.upstream = upstream;
    candidate.usable = health.UsableSlots(context, upstream);
    candidate.busy = occupancy.BusyOf(upstream);
    if (!occupancy.IsIsolated(upstream)) {
      candidate.free =
          std::max(candidate.usable - candidate.busy - withheld, 0);
    }
    candidate.slowed =
        health.StateOf(context, upstream) == UpstreamState::kSlowed;
    candidate.trial_due = health.IsTrialDue(context, upstream);
    candidate.service_time = health.ServiceTime(upstream);
    if (!candidate.slowed && candidate.service_time > Duration(0)) {
      timed_slots += candidate.usable;
      weighted_time += candidate.usable * candidate.service_time.count();
    }
    m_candidates.push_back(std::move(candidate));
  }
  if (timed_slots > 0) {
    m_fast_time = Duration(weighted_time / timed_slots);
  }
  CountOverdue(context, occupancy);
  for (const Candidate& candidate : m_candidates) {
    m_usable += candidate.usable;
    m_free += candidate.free;
    m_fast_slots += candidate.slowed ? 0 : candidate.usable;
  }
}

bool SlotCapacity::CanServe(const SlotRequest& request) const {
  return std::any_of(m_candidates.begin(), m_candidates.end(),
                     [&](const Candidate& candidate) {
                       return IsAllowed(candidate, request);
                     });
}

void SlotCapacity::ReserveFor(WaitingRequest& isolated) {
  const Candidate* chosen = nullptr;
  for (const Candidate& candidate : m_candidates) {
    if (!IsAllowed(candidate, isolated.request)) {
      continue;
    }
    if (candidate.upstream == isolated.reserved) {
      chosen = &candidate;
      break;
    }
    if (chosen == nullptr || candidate.busy < chosen->busy) {
      chosen = &candidate;
    }
  }
  isolated.reserved = chosen == nullptr ? UpstreamId() : chosen->upstream;
  m_reserved = isolated.reserved;
  m_reserved_for = isolated.request.ticket;
}

const UpstreamId* SlotCapacity::Choose(Random& random,
                                       const SlotRequest& request,
                                       std::size_t queued) const {
  const bool has_fast =
      std::any_of(m_candidates.begin(), m_candidates.end(),
                  [&](const Candidate& candidate) {
                    return IsAllowed(candidate, request) && !candidate.slowed;
                  });
  const Candidate* best = nullptr;
  double best_score = 0;
  std::uint64_t ties = 0;
  for (const Candidate& candidate : m_candidates) {
    const bool is_reserved =
        candidate.upstream == m_reserved && m_reserved_for != request.ticket;
    if (!IsAllowed(candidate, request) || candidate.free <= 0 || is_reserved) {
      continue;
    }
    if (request.isolate && (candidate.busy > 0 || m_is_withheld)) {
      continue;
    }
    if (candidate.slowed) {
      const bool is_ordinary =
          !request.hedge && !request.spillover && !request.isolate;
      if (is_ordinary && candidate.trial_due && candidate.busy == 0) {
        return &candidate.upstream;
      }
      if (request.hedge ||
          (has_fast && !IsFasterThanWaiting(candidate, queued))) {
        continue;
      }
    }
    const double score = Score(candidate);
    if (best == nullptr || score < best_score) {
      best = &candidate;
      best_score = score;
      ties = 1;
    } else if (score == best_score && random.NextBelow(++ties) == 0) {
      best = &candidate;
    }
  }
  return best == nullptr ? nullptr : &best->upstream;
}

void SlotCapacity::Take(const UpstreamId& upstream, bool isolate) {
  Candidate* candidate = Find(upstream);
  const std::int32_t taken = isolate ? candidate->free : 1;
  ++candidate->busy;
  candidate->free -= taken;
  m_free -= taken;
}

void SlotCapacity::CountOverdue(const Context& context,
                                const SlotOccupancy& occupancy) {
  if (m_fast_time == Duration(0)) {
    return;
  }
  occupancy.ForEach([&](const OccupiedSlot& slot) {
    if (slot.length == WorkLength::kShort && !slot.reported &&
        context.Now() - slot.since > m_fast_time * kOverdueFactor) {
      if (Candidate* candidate = Find(slot.upstream)) {
        ++candidate->overdue;
      }
    }
  });
  for (Candidate& candidate : m_candidates) {
    if (!candidate.slowed && candidate.overdue >= kOverdueUntilSlowed) {
      candidate.slowed = true;
      candidate.service_time =
          std::max(candidate.service_time, m_fast_time * kOverdueFactor);
    }
  }
}

SlotCapacity::Candidate* SlotCapacity::Find(const UpstreamId& upstream) {
  const auto found = std::find_if(m_candidates.begin(), m_candidates.end(),
                                  [&](const Candidate& candidate) {
                                    return candidate.upstream == upstream;
                                  });
  return found == m_candidates.end() ? nullptr : &*found;
}

bool SlotCapacity::IsAllowed(const Candidate& candidate,
                             const SlotRequest& request) const {
  return candidate.usable > 0 && !IsExcluded(request, candidate.upstream);
}

bool SlotCapacity::IsFasterThanWaiting(const Candidate& candidate,
                                       std::size_t queued) const {
  // A slot of a slowed upstream is used only if waiting for another one would
  // take longer.
  if (m_fast_slots == 0) {
    return true;
  }
  const auto places = static_cast<std::int64_t>(queued) + 1;
  return m_fast_time + m_fast_time * places / m_fast_slots >=
         candidate.service_time;
}

double SlotCapacity::Score(const Candidate& candidate) const {
  const Duration time = candidate.service_time > Duration(0)
                            ? candidate.service_time
                            : std::max(m_fast_time, Duration(1));
  return static_cast<double>(candidate.busy + 1) *
         static_cast<double>(candidate.overdue + 1) / candidate.usable *
         static_cast<double>(time.count());
}

}  // namespace kumquatcove
