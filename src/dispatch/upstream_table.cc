#include "dispatch/upstream_table.h"

#include <algorithm>
#include <cmath>

#include "base/hash.h"

namespace kumquatcove {
namespace {

// Decay time of load reports: requests take about this long.
constexpr Duration kLoadReportDecay = Milliseconds(300);
// Decay time of speed reports: the speed of a machine changes every few hundred
// milliseconds with the load of others on the same host.
constexpr Duration kSpeedReportDecay = Milliseconds(500);
// Decay time of failure shares and slowness, so that an upstream that failed is
// tried again.
constexpr Duration kEvaluationDecay = Seconds(4);
constexpr double kOthersWeight = 0.2;
constexpr double kFailureWeight = 0.2;
constexpr double kSlownessWeight = 0.2;
constexpr double kMaxSlowness = 10;

// Backoff after failed connections.
constexpr Duration kFirstAvoidance = Milliseconds(300);
constexpr Duration kMaxAvoidance = Milliseconds(2400);
constexpr int kMaxDoublings = 3;

double DecayFactor(Duration age, Duration life) {
  return std::exp(-static_cast<double>(age.count()) /
                  static_cast<double>(life.count()));
}

}  // namespace

void UpstreamTable::OnRegistered(const UpstreamRegistration& registration,
                                 const RegionName& region,
                                 MonotonicTime now) {
  const auto [entry, inserted] = m_upstreams.try_emplace(registration.id);
  TrackedUpstream& upstream = entry->second;
  const bool restarted =
      inserted || upstream.registration.started_ms != registration.started_ms ||
      upstream.registration.address != registration.address;
  if (!inserted && upstream.registration.service != registration.service) {
    RemoveFromService(upstream.registration.service, registration.id);
  }
  if (restarted) {
    const int in_flight = upstream.in_flight;
    const int awaited = upstream.awaited;
    const int peers_in_flight = upstream.peers_in_flight;
    const int peers_awaited = upstream.peers_awaited;
    UpstreamRateState rate =
        inserted ? TakeRetainedRate(registration.id) : std::move(upstream);
    upstream = TrackedUpstream{std::move(rate)};
    upstream.in_flight = in_flight;
    upstream.awaited = awaited;
    upstream.peers_in_flight = peers_in_flight;
    upstream.peers_awaited = peers_awaited;
    upstream.registered = now;
  }
  upstream.registration = registration;
  upstream.region = region;
  upstream.leaving = registration.draining;
  upstream.removed = false;
  upstream.cold_until = now + registration.cold_left;
  m_by_hash[StableHash(registration.id.Text())] = registration.id;
  std::vector<const TrackedUpstream*>& upstreams =
      m_services[registration.service];
  const auto place = std::lower_bound(
      upstreams.begin(), upstreams.end(), registration.id,
      [](const TrackedUpstream* left, const UpstreamId& right) {
        return left->registration.id < right;
      });
  if (place == upstreams.end() || *place != &upstream) {
    upstreams.insert(place, &upstream);
  }
}

UpstreamRateState UpstreamTable::TakeRetainedRate(const UpstreamId& id) {
  const auto found = m_retained_rates.find(StableHash(id.Text()));
  if (found == m_retained_rates.end()) {
    return {};
  }
  UpstreamRateState state = std::move(found->second.state);
  m_retained_rates.erase(found);
  return state;
}

void UpstreamTable::ForgetRates(MonotonicTime now) {
  absl::erase_if(m_retained_rates, [now](const auto& entry) {
    return now - entry.second.since >= kRateMemory;
  });
}

UpstreamRateState& UpstreamTable::RateState(std::uint64_t upstream_hash,
                                            MonotonicTime now) {
  if (TrackedUpstream* upstream = FindByHash(upstream_hash)) {
    return *upstream;
  }
  return m_retained_rates
      .try_emplace(upstream_hash, RetainedRate{UpstreamRateState{}, now})
      .first->second.state;
}

void UpstreamTable::MarkRemoved(const UpstreamId& id, MonotonicTime now) {
  TrackedUpstream* upstream = Find(id);
  if (upstream == nullptr) {
    return;
  }
  upstream->leaving = true;
  upstream->removed = true;
  RemoveIfUnused(id, now);
}

void UpstreamTable::RemoveIfUnused(const UpstreamId& id, MonotonicTime now) {
  const auto found = m_upstreams.find(id);
  if (found != m_upstreams.end() && found->second.removed &&
      found->second.in_flight == 0) {
    RemoveFromService(found->second.registration.service, id);
    const std::uint64_t hash = StableHash(id.Text());
    m_by_hash.erase(hash);
    m_retained_rates[hash] = {std::move(found->second), now};
    m_upstreams.erase(found);
  }
}

void UpstreamTable::RemoveFromService(const ServiceName& service,
                                      const UpstreamId& id) {
  std::erase(m_services[service], Find(id));
}

void UpstreamTable::SetEvacuated(const ZoneName& zone, bool evacuated) {
  if (evacuated) {
    m_evacuated.insert(zone);
  } else {
    m_evacuated.erase(zone);
  }
}

TrackedUpstream* UpstreamTable::Find(const UpstreamId& id) {
  const auto found = m_upstreams.find(id);
  return found == m_upstreams.end() ? nullptr : &found->second;
}

const TrackedUpstream* UpstreamTable::Find(const UpstreamId& id) const {
  const auto found = m_upstreams.find(id);
  return found == m_upstreams.end() ? nullptr : &found->second;
}

TrackedUpstream* UpstreamTable::FindByHash(std::uint64_t upstream_hash) {
  const auto found = m_by_hash.find(upstream_hash);
  return found == m_by_hash.end() ? nullptr : Find(found->second);
}

const std::vector<const TrackedUpstream*>& UpstreamTable::OfService(
    const ServiceName& service) const {
  static const std::vector<const TrackedUpstream*> kNone;
  const auto found = m_services.find(service);
  return found == m_services.end() ? kNone : found->second;
}

bool UpstreamTable::IsOpen(const TrackedUpstream& upstream,
                           MonotonicTime now) const {
  return IsEligible(upstream) && now >= upstream.avoid_until;
}

void UpstreamTable::OnAwaited(const UpstreamId& id, int change) {
  if (TrackedUpstream* upstream = Find(id)) {
    upstream->awaited = std::max(0, upstream->awaited + change);
  }
}

void UpstreamTable::OnStarted(const UpstreamId& id) {
  if (TrackedUpstream* upstream = Find(id)) {
    ++upstream->in_flight;
    ++upstream->sent;
  }
}

void UpstreamTable::OnEnded(const UpstreamId& id,
                            SendResult result,
                            MonotonicTime now) {
  TrackedUpstream* upstream = Find(id);
  if (upstream == nullptr) {
    return;
  }
  upstream->in_flight = std::max(0, upstream->in_flight - 1);
  if (result != SendResult::kAbandoned) {
    upstream->last_contact = now;
    const double failed = result == SendResult::kAnswered ? 0 : 1;
    const double share = EstimateFailureShare(*upstream, now);
    upstream->slowness =
        1 + (upstream->slowness - 1) *
                DecayFactor(now - upstream->evaluated, kEvaluationDecay);
    upstream->failure_share = share + (failed - share) * kFailureWeight;
    upstream->evaluated = now;
  }
  RemoveIfUnused(id, now);
}

void UpstreamTable::OnLoadReport(const UpstreamId& id,
                                 const UpstreamLoadReport& report,
                                 MonotonicTime now) {
  TrackedUpstream* upstream = Find(id);
  if (upstream == nullptr) {
    return;
  }
  const int known = upstream->in_flight + upstream->peers_in_flight;
  SetReport(*upstream, std::max(0, report.running + report.waiting - known),
            report.work_time_percent, now);
  upstream->own_report = true;
}

void UpstreamTable::SetReport(TrackedUpstream& upstream,
                              double others,
                              std::int32_t work_time_percent,
                              MonotonicTime reported) {
  upstream.others_reported = others;
  upstream.others_average += (others - upstream.others_average) * kOthersWeight;
  upstream.work_time_ratio = std::clamp(work_time_percent / 100.0, 0.1, 100.0);
  upstream.reported = reported;
  upstream.has_report = true;
}

void UpstreamTable::AddPeerLoad(std::uint64_t upstream_hash,
                                int in_flight,
                                int awaited) {
  TrackedUpstream* upstream = FindByHash(upstream_hash);
  if (upstream == nullptr) {
    return;
  }
  // An upstream may have been registered between two digests of a sender, so
  // that the counts could become negative.
  upstream->peers_in_flight =
      std::max(0, upstream->peers_in_flight + in_flight);
  upstream->peers_awaited = std::max(0, upstream->peers_awaited + awaited);
}

void UpstreamTable::OnSharedReport(const UpstreamLoad& load,
                                   MonotonicTime now) {
  TrackedUpstream* upstream = FindByHash(load.upstream_hash);
  if (upstream == nullptr || load.report_age < Duration::zero()) {
    return;
  }
  const MonotonicTime reported = now - load.report_age;
  upstream->last_contact = std::max(upstream->last_contact, reported);
  if (upstream->has_report && reported <= upstream->reported) {
    return;
  }
  SetReport(*upstream, std::max(0, load.others), load.work_time_percent,
            reported);
  upstream->own_report = false;
}

void UpstreamTable::OnSharedObject(const HandledObject& handled) {
  if (TrackedUpstream* upstream = FindByHash(handled.upstream_hash)) {
    upstream->objects.Record(handled.object_hash);
  }
}

std::vector<UpstreamLoad> UpstreamTable::ListOwnLoads(MonotonicTime since,
                                                      MonotonicTime now) const {
  std::vector<UpstreamLoad> loads;
  for (const auto& [id, upstream] : m_upstreams) {
    const bool reported = upstream.has_report && upstream.own_report &&
                          upstream.reported >= since;
    if (upstream.in_flight == 0 && upstream.awaited == 0 && !reported) {
      continue;
    }
    UpstreamLoad load;
    load.upstream_hash = StableHash(id.Text());
    load.in_flight = upstream.in_flight;
    load.awaited = upstream.awaited;
    if (reported) {
      load.others =
          static_cast<std::int32_t>(std::lround(upstream.others_reported));
      load.work_time_percent = static_cast<std::int32_t>(
          std::lround(upstream.work_time_ratio * 100));
      load.report_age = now - upstream.reported;
    }
    loads.push_back(load);
  }
  return loads;
}

void UpstreamTable::OnAnswerTime(const UpstreamId& id,
                                 double ratio,
                                 MonotonicTime now) {
  TrackedUpstream* upstream = Find(id);
  if (upstream == nullptr) {
    return;
  }
  const double bounded = std::clamp(ratio, 0.5, kMaxSlowness);
  upstream->slowness += (bounded - upstream->slowness) * kSlownessWeight;
  upstream->evaluated = now;
}

void UpstreamTable::OnConnected(const UpstreamId& id, MonotonicTime now) {
  if (TrackedUpstream* upstream = Find(id)) {
    upstream->last_contact = now;
    upstream->connect_failures = 0;
  }
}

void UpstreamTable::OnConnectFailed(const UpstreamId& id, MonotonicTime now) {
  TrackedUpstream* upstream = Find(id);
  if (upstream == nullptr) {
    return;
  }
  const int doublings = std::min(upstream->connect_failures, kMaxDoublings);
  ++upstream->connect_failures;
  upstream->avoid_until =
      now + std::min(kFirstAvoidance * (1 << doublings), kMaxAvoidance);
  upstream->objects.Clear();
}

void UpstreamTable::OnDisplaced(const UpstreamId& id) {
  if (TrackedUpstream* upstream = Find(id)) {
    upstream->displaced = true;
  }
}

double UpstreamTable::EstimateOccupancy(const TrackedUpstream& upstream,
                                        MonotonicTime now) {
  const int known = upstream.in_flight + upstream.peers_in_flight;
  if (!upstream.has_report) {
    return known;
  }
  const double weight = DecayFactor(now - upstream.reported, kLoadReportDecay);
  return known + weight * upstream.others_reported +
         (1 - weight) * upstream.others_average;
}

double UpstreamTable::EstimateSlowness(const TrackedUpstream& upstream,
                                       MonotonicTime now) {
  const double evaluated =
      DecayFactor(now - upstream.evaluated, kEvaluationDecay);
  const double speed =
      upstream.has_report
          ? DecayFactor(now - upstream.reported, kSpeedReportDecay)
          : 0;
  return (1 + (upstream.slowness - 1) * evaluated) *
         (1 + (upstream.work_time_ratio - 1) * speed);
}

double UpstreamTable::EstimateFailureShare(const TrackedUpstream& upstream,
                                           MonotonicTime now) {
  return upstream.failure_share *
         DecayFactor(now - upstream.evaluated, kEvaluationDecay);
}

}  // namespace kumquatcove
