#include "dispatch/upstream_rate_limiter.h"

#include <algorithm>
#include <cmath>

#include "base/hash.h"
#include "dispatch/placement.h"
#include "dispatch/request_log.h"

namespace kumquatcove {
namespace {

// Time after the end of a limit in which it is still told to other instances.
constexpr Duration kEndReportTime = Seconds(3);

// Time after which a limit that hasn't changed is told to the others again, for
// instances that have started since.
constexpr Duration kReportInterval = Seconds(1);

// Minimum time between two requests for permits of an upstream, and the time
// after which a demand is repeated.
constexpr Duration kMinRequestInterval = Milliseconds(20);
constexpr Duration kDemandRefresh = Milliseconds(500);

// Time after which an issuer that hasn't answered is taken for lost: two round
// trips between regions and the time that a busy instance needs.
constexpr Duration kReplyTimeout = Milliseconds(350);
// Time for which such an issuer isn't asked again unless a message of it
// arrives.
constexpr Duration kSilentTime = Seconds(10);
// Time for which the issuer named by another instance is asked.
constexpr Duration kRedirectTime = Seconds(2);
// Time until an issuer is looked for again.
constexpr Duration kRetryDelay = Seconds(1);

// Between checks of all demands, an event costs only the work for the upstreams
// that it concerns.
constexpr Duration kCheckInterval = Milliseconds(10);
constexpr Duration kDropInterval = Seconds(1);

// Finding the coordinator takes time proportional to the number of instances.
constexpr Duration kCoordinatorCacheTime = Milliseconds(50);

// Rate at which permits are issued for an upstream whose limit has ended, to
// instances that don't know that yet.
constexpr double kUnlimitedRate = 1e5;

/** Returns the rate at which this instance issues permits of an upstream. */
double FindIssuedRate(const Context& context,
                      const UpstreamRateState& upstream) {
  const double rate =
      UpstreamRateLimiter::FindRate(upstream).value_or(kUnlimitedRate);
  return upstream.region == context.Self().region
             ? rate
             : rate * UpstreamRateLimiter::kDeputyShare;
}

}  // namespace

std::optional<double> UpstreamRateLimiter::FindRate(
    const UpstreamRateState& upstream) {
  const std::optional<double> rate = upstream.rate_limit.Rate();
  return rate ? std::optional(std::max(*rate, kMinRate)) : std::nullopt;
}

void UpstreamRateLimiter::OnAnswer(Context& context,
                                   const UpstreamId& id,
                                   RequestId request,
                                   const UpstreamAnswered& event,
                                   MonotonicTime sent) {
  if (event.wrong_upstream || event.rate_limit_unreadable) {
    return;
  }
  // The row may have been removed since the request was sent.
  const std::uint64_t hash = StableHash(id.Text());
  UpstreamRateState& upstream = m_table.RateState(hash, context.Now());
  if (event.rate_limit || m_limited.contains(id)) {
    upstream.limit_answered = context.Now();
  }
  const std::optional<double> previous = upstream.rate_limit.Rate();
  if (upstream.rate_limit.OnAnswer(event.rate_limit, sent, context.Now())) {
    OnChanged(context, hash, previous, FormatRequestId(request));
  }
}

void UpstreamRateLimiter::OnRegistered(Context& context, const UpstreamId& id) {
  const std::optional<double> rate = m_table.Find(id)->rate_limit.Rate();
  if (rate && m_limited.insert(id).second) {
    context.Record("upstream_rate_limit", id.Text(),
                   {{"rate", FormatRate(rate)},
                    {"previous", FormatRate(rate)},
                    {"source", "before its row was read"}});
  }
}

void UpstreamRateLimiter::OnPeerLimits(
    Context& context,
    const InstanceId& sender,
    const std::vector<UpstreamLimit>& limits) {
  for (const UpstreamLimit& limit : limits) {
    // Another instance may have read a row that this one hasn't.
    UpstreamRateState& upstream =
        m_table.RateState(limit.upstream_hash, context.Now());
    const std::optional<double> previous = upstream.rate_limit.Rate();
    if (upstream.rate_limit.OnPeerReport(limit.limit, context.Now())) {
      OnChanged(context, limit.upstream_hash, previous, sender.Text());
    }
  }
}

void UpstreamRateLimiter::OnPeerForecasts(
    const std::vector<PermitForecast>& forecasts,
    MonotonicTime now) {
  for (const PermitForecast& forecast : forecasts) {
    if (TrackedUpstream* upstream =
            m_table.FindByHash(forecast.upstream_hash)) {
      const auto demand = m_demands.find(upstream->registration.id);
      upstream->permits.OnPeerForecast(
          forecast, demand == m_demands.end() ? 0 : demand->second.wanted, now);
    }
  }
}

void UpstreamRateLimiter::OnChanged(Context& context,
                                    std::uint64_t upstream_hash,
                                    std::optional<double> previous,
                                    const std::string& source) {
  const TrackedUpstream* upstream = m_table.FindByHash(upstream_hash);
  if (upstream == nullptr) {
    return;
  }
  const UpstreamId& id = upstream->registration.id;
  const std::optional<double> rate = upstream->rate_limit.Rate();
  context.Record("upstream_rate_limit", id.Text(),
                 {{"rate", FormatRate(rate)},
                  {"previous", FormatRate(previous)},
                  {"source", source}});
  m_limited.insert(id);
  m_changed.insert(id);
  if (!rate) {
    // Requests that wait for a permit need none any more.
    m_granted.insert(id);
  }
}

std::vector<UpstreamLimit> UpstreamRateLimiter::TakeLimitReports(
    MonotonicTime since,
    MonotonicTime now) {
  std::vector<UpstreamLimit> limits;
  for (const UpstreamId& id : m_limited) {
    const TrackedUpstream* upstream = m_table.Find(id);
    if (upstream == nullptr || upstream->limit_answered < since) {
      continue;
    }
    const std::optional<double> rate = upstream->rate_limit.Rate();
    const auto [entry, inserted] = m_reports.try_emplace(id);
    LimitReport& last = entry->second;
    if (inserted || last.rate != rate || now - last.sent >= kReportInterval) {
      last = {rate, now};
      limits.push_back(
          {StableHash(id.Text()), upstream->rate_limit.Report(now)});
    }
  }
  return limits;
}

std::vector<PermitForecast> UpstreamRateLimiter::ListForecasts(
    MonotonicTime since,
    MonotonicTime now) const {
  std::vector<PermitForecast> forecasts;
  for (const UpstreamId& id : m_limited) {
    const TrackedUpstream* upstream = m_table.Find(id);
    const std::optional<PermitForecast> forecast =
        upstream == nullptr ? std::nullopt
                            : upstream->permits.FindForecastToShare(
                                  StableHash(id.Text()), since, now);
    if (forecast) {
      forecasts.push_back(*forecast);
    }
  }
  return forecasts;
}

void UpstreamRateLimiter::OnPermitRequest(Context& context,
                                          const InstanceId& sender,
                                          const PermitRequest& request) {
  for (const PermitDemand& demand : request.demands) {
    if (m_table.RateState(demand.upstream_hash, context.Now())
            .region.IsEmpty()) {
      // Without its region it isn't known who issues.
      continue;
    }
    OnPeerLimits(context, sender, {{demand.upstream_hash, demand.limit}});
    m_issuer.SetDemand(sender, demand.upstream_hash, demand.wanted,
                       demand.received, context.Now());
    if (demand.wanted > 0) {
      m_unanswered.emplace(sender, demand.upstream_hash);
    }
    m_demanded.insert(demand.upstream_hash);
  }
}

void UpstreamRateLimiter::OnPermitGrant(Context& context,
                                        const InstanceId& sender,
                                        const PermitGrant& grant) {
  const MonotonicTime now = context.Now();
  for (const GrantedPermits& granted : grant.grants) {
    TrackedUpstream* upstream = m_table.FindByHash(granted.upstream_hash);
    if (upstream == nullptr) {
      continue;
    }
    OnPeerLimits(context, sender, {{granted.upstream_hash, granted.limit}});
    Demand& demand = m_demands[upstream->registration.id];
    if (demand.issuer == sender) {
      demand.unanswered_since.reset();
    }
    if (!granted.issuer.IsEmpty()) {
      demand.last_sent.reset();
      m_changed.insert(upstream->registration.id);
      if (granted.issuer == context.Self().instance) {
        // The sender knows no issuer in its region.
        m_silent[sender] = now + kSilentTime;
      } else if (demand.redirected_to == sender &&
                 now < demand.redirected_until) {
        // Two instances that name each other don't agree yet on the issuer.
        LoseIssuer(context, *upstream, demand);
      } else {
        demand.redirected_to = granted.issuer;
        demand.redirected_until = now + kRedirectTime;
      }
      continue;
    }
    upstream->permits.SetIssuerFound();
    const int count = std::clamp(granted.count, 0, PermitIssuer::kMaxWanted);
    // The issuer has reduced its count of this demand by as much.
    demand.wanted = std::max(0, demand.wanted - count);
    upstream->permits.SetForecast(std::max(Duration::zero(), granted.wait),
                                  demand.wanted, now);
    if (count > 0) {
      upstream->permits.Add(count, now);
      m_granted.insert(upstream->registration.id);
    }
  }
}

void UpstreamRateLimiter::Exchange(Context& context,
                                   const EntryPresence& presence) {
  const MonotonicTime now = context.Now();
  if (now - m_dropped >= kDropInterval) {
    m_dropped = now;
    DropEnded(now);
  }
  if (now - m_checked >= kCheckInterval) {
    m_checked = now;
    m_changed.insert(m_wanted.begin(), m_wanted.end());
    const std::vector<std::uint64_t> issued = m_issuer.ListUpstreams();
    m_demanded.insert(issued.begin(), issued.end());
  }
  if (m_changed.empty() && m_demanded.empty()) {
    return;
  }
  RequestPermits(context, presence, std::exchange(m_changed, {}));
  IssuePermits(context, presence, std::exchange(m_demanded, {}));
  SendGrants(context, presence);
}

void UpstreamRateLimiter::DropEnded(MonotonicTime now) {
  m_table.ForgetRates(now);
  for (auto id = m_limited.begin(); id != m_limited.end();) {
    const TrackedUpstream* upstream = m_table.Find(*id);
    const bool ended = upstream == nullptr ||
                       (!upstream->rate_limit.Rate() &&
                        now - upstream->limit_answered >= kEndReportTime);
    if (ended) {
      m_demands.erase(*id);
      m_reports.erase(*id);
      id = m_limited.erase(id);
    } else {
      ++id;
    }
  }
  for (const std::uint64_t hash : m_issuer.DropIdle(now)) {
    m_issuing.erase(hash);
  }
  std::erase_if(m_coordinators, [now](const auto& entry) {
    return now - entry.second.found >= PermitIssuer::kIdleTimeout;
  });
}

void UpstreamRateLimiter::RequestPermits(
    Context& context,
    const EntryPresence& presence,
    const std::set<UpstreamId>& upstreams) {
  std::map<InstanceId, PermitRequest> requests;
  for (const UpstreamId& id : upstreams) {
    TrackedUpstream* upstream = m_table.Find(id);
    const bool limited = upstream != nullptr && upstream->rate_limit.Rate();
    if (limited) {
      UpdateDemand(context, presence, *upstream, requests);
    }
    if (limited && (upstream->awaited > 0 || m_demands[id].wanted > 0)) {
      m_wanted.insert(id);
    } else {
      m_wanted.erase(id);
    }
  }
  for (auto& [instance, request] : requests) {
    if (const auto address = presence.FindAddress(instance)) {
      context.SendTo(instance, address->peer_address, std::move(request));
    }
  }
}

void UpstreamRateLimiter::UpdateDemand(
    Context& context,
    const EntryPresence& presence,
    TrackedUpstream& upstream,
    std::map<InstanceId, PermitRequest>& requests) {
  const MonotonicTime now = context.Now();
  Demand& demand = m_demands[upstream.registration.id];
  // Permits that can't be used at once would expire.
  const double free_slots =
      upstream.registration.slots * (1 + Placement::kMaxWaitingShare) -
      UpstreamTable::EstimateOccupancy(upstream, now);
  const int usable = std::max(0, static_cast<int>(std::ceil(free_slots)));
  const int wanted = std::max(
      0, std::min(upstream.awaited, usable) - upstream.permits.CountValid(now));
  if ((wanted == 0 && demand.wanted == 0) || now < demand.paused_until) {
    return;
  }
  const Duration elapsed =
      demand.last_sent ? now - *demand.last_sent : Duration::max();
  const bool overdue = demand.unanswered_since &&
                       now - *demand.unanswered_since >= kReplyTimeout;
  const bool due = overdue || elapsed >= kDemandRefresh ||
                   (wanted != demand.wanted && elapsed >= kMinRequestInterval);
  if (!due) {
    return;
  }
  const std::optional<InstanceId> issuer =
      FindIssuer(context, presence, upstream, demand);
  if (!issuer) {
    LoseIssuer(context, upstream, demand);
    return;
  }
  if (demand.issuer != *issuer) {
    demand.issuer = *issuer;
    demand.unanswered_since.reset();
  }
  demand.wanted = wanted;
  demand.last_sent = now;
  const std::uint64_t hash = StableHash(upstream.registration.id.Text());
  if (*issuer == context.Self().instance) {
    upstream.permits.SetIssuerFound();
    m_issuer.SetDemand(*issuer, hash, wanted, upstream.permits.Received(), now);
    m_demanded.insert(hash);
    upstream.permits.SetForecast(
        m_issuer.EstimateWait(hash, FindIssuedRate(context, upstream)), wanted,
        now);
    return;
  }
  if (wanted > 0 && !demand.unanswered_since) {
    demand.unanswered_since = now;
  }
  requests[*issuer].demands.push_back({hash, wanted,
                                       upstream.permits.Received(),
                                       upstream.rate_limit.Report(now)});
}

std::optional<InstanceId> UpstreamRateLimiter::FindIssuer(
    Context& context,
    const EntryPresence& presence,
    const TrackedUpstream& upstream,
    Demand& demand) {
  const MonotonicTime now = context.Now();
  if (demand.unanswered_since &&
      now - *demand.unanswered_since >= kReplyTimeout) {
    context.Record("permit_issuer_silent", demand.issuer.Text(),
                   {{"upstream", upstream.registration.id.Text()}});
    m_silent[demand.issuer] = now + kSilentTime;
    demand.unanswered_since.reset();
    demand.redirected_to = InstanceId();
  }
  const std::set<InstanceId> silent = ListSilent(now);
  if (!demand.redirected_to.IsEmpty() && now < demand.redirected_until) {
    const bool reachable =
        demand.redirected_to != context.Self().instance &&
        !silent.contains(demand.redirected_to) &&
        presence.FindAddress(demand.redirected_to).has_value();
    return reachable ? std::optional(demand.redirected_to) : std::nullopt;
  }
  const std::uint64_t hash = StableHash(upstream.registration.id.Text());
  std::optional<InstanceAddress> coordinator =
      presence.FindCoordinator(context, upstream.region, hash, silent);
  if (!coordinator) {
    coordinator = presence.FindCoordinator(
        context, FindDeputyRegion(context, presence, upstream.region, hash),
        hash, silent);
  }
  return coordinator ? std::optional(coordinator->instance) : std::nullopt;
}

RegionName UpstreamRateLimiter::FindDeputyRegion(const Context& context,
                                                 const EntryPresence& presence,
                                                 const RegionName& region,
                                                 std::uint64_t upstream_hash) {
  RegionName deputy;
  std::uint64_t deputy_weight = 0;
  for (const RegionName& candidate : presence.ListRegions(context)) {
    const std::uint64_t weight = StableHash(candidate.Text(), upstream_hash);
    if (candidate != region && (deputy.IsEmpty() || weight > deputy_weight)) {
      deputy = candidate;
      deputy_weight = weight;
    }
  }
  return deputy;
}

std::set<InstanceId> UpstreamRateLimiter::ListSilent(MonotonicTime now) {
  std::erase_if(m_silent,
                [now](const auto& entry) { return now >= entry.second; });
  std::set<InstanceId> silent;
  for (const auto& [instance, until] : m_silent) {
    silent.insert(instance);
  }
  return silent;
}

std::optional<InstanceId> UpstreamRateLimiter::FindOwnIssuer(
    const Context& context,
    const EntryPresence& presence,
    const RegionName& region,
    std::uint64_t upstream_hash) {
  const MonotonicTime now = context.Now();
  const auto [entry, inserted] = m_coordinators.try_emplace(upstream_hash);
  CachedCoordinator& cached = entry->second;
  if (inserted || now - cached.found >= kCoordinatorCacheTime) {
    // Only requests that don't reach the upstream's region arrive in another.
    const RegionName issuing =
        region == context.Self().region
            ? region
            : FindDeputyRegion(context, presence, region, upstream_hash);
    const std::optional<InstanceAddress> found =
        presence.FindCoordinator(context, issuing, upstream_hash, {});
    cached.instance = found ? std::optional(found->instance) : std::nullopt;
    cached.found = now;
  }
  return cached.instance;
}

void UpstreamRateLimiter::LoseIssuer(Context& context,
                                     TrackedUpstream& upstream,
                                     Demand& demand) {
  context.Record("permit_issuer_lost", upstream.registration.id.Text(),
                 {{"last", demand.issuer.Text()}});
  const MonotonicTime until = context.Now() + kRetryDelay;
  upstream.permits.SetIssuerLost(until);
  demand = Demand{};
  demand.paused_until = until;
}

void UpstreamRateLimiter::IssuePermits(
    Context& context,
    const EntryPresence& presence,
    const std::set<std::uint64_t>& upstreams) {
  const MonotonicTime now = context.Now();
  for (const std::uint64_t hash : upstreams) {
    const UpstreamRateState& upstream = m_table.RateState(hash, now);
    const std::optional<InstanceId> issuer =
        FindOwnIssuer(context, presence, upstream.region, hash);
    if (issuer != context.Self().instance) {
      StopIssuing(context, hash, issuer ? issuer->Text() : "");
      continue;
    }
    const double rate = FindIssuedRate(context, upstream);
    if (m_issuing.insert(hash).second) {
      context.Record("permit_issuing", FormatUpstream(hash),
                     {{"state", "begun"}, {"rate", FormatRate(rate)}});
    }
    for (const IssuedPermits& issued : m_issuer.Issue(hash, rate, now)) {
      AddGrant(context, presence, issued.instance, hash, issued.count);
      m_unanswered.erase({issued.instance, hash});
    }
  }
  for (const auto& [instance, hash] : std::exchange(m_unanswered, {})) {
    AddGrant(context, presence, instance, hash, 0);
  }
}

void UpstreamRateLimiter::StopIssuing(Context& context,
                                      std::uint64_t upstream_hash,
                                      const std::string& successor) {
  m_issuer.Forget(upstream_hash);
  if (m_issuing.erase(upstream_hash) == 0) {
    return;
  }
  context.Record("permit_issuing", FormatUpstream(upstream_hash),
                 {{"state", "ended"}, {"successor", successor}});
}

std::string UpstreamRateLimiter::FormatUpstream(std::uint64_t upstream_hash) {
  const TrackedUpstream* upstream = m_table.FindByHash(upstream_hash);
  return upstream == nullptr ? std::to_string(upstream_hash)
                             : upstream->registration.id.Text();
}

void UpstreamRateLimiter::AddGrant(Context& context,
                                   const EntryPresence& presence,
                                   const InstanceId& instance,
                                   std::uint64_t upstream_hash,
                                   int count) {
  const MonotonicTime now = context.Now();
  UpstreamRateState& upstream = m_table.RateState(upstream_hash, now);
  const Duration wait =
      m_issuer.EstimateWait(upstream_hash, FindIssuedRate(context, upstream));
  if (instance == context.Self().instance) {
    upstream.permits.Add(count, now);
    if (const TrackedUpstream* tracked = m_table.FindByHash(upstream_hash)) {
      Demand& demand = m_demands[tracked->registration.id];
      demand.wanted = std::max(0, demand.wanted - count);
      upstream.permits.SetForecast(wait, demand.wanted, now);
      m_granted.insert(tracked->registration.id);
    }
    return;
  }
  const std::optional<InstanceId> coordinator =
      FindOwnIssuer(context, presence, upstream.region, upstream_hash);
  GrantedPermits grant{upstream_hash, count, wait, InstanceId(),
                       upstream.rate_limit.Report(now)};
  if (coordinator != context.Self().instance) {
    // Names the receiver if there is no issuer.
    grant.issuer = coordinator.value_or(instance);
  }
  m_grants[instance].grants.push_back(grant);
}

void UpstreamRateLimiter::SendGrants(Context& context,
                                     const EntryPresence& presence) {
  for (auto& [instance, grant] : std::exchange(m_grants, {})) {
    if (const auto address = presence.FindAddress(instance)) {
      context.SendTo(instance, address->peer_address, std::move(grant));
    }
  }
}

}  // namespace kumquatcove
