#include "dispatch/permit_issuer.h"

#include <algorithm>
#include <cassert>
#include <chrono>
#include <cmath>

namespace kumquatcove {
namespace {

// After this time permits that an instance hasn't reported as received were
// lost, or expired on their way.
constexpr Duration kTransitTimeout = Seconds(1);

}  // namespace

void PermitIssuer::SetDemand(const InstanceId& instance,
                             std::uint64_t upstream_hash,
                             int wanted,
                             std::uint64_t received,
                             MonotonicTime now) {
  const auto [entry, inserted] = m_buckets.try_emplace(upstream_hash);
  Bucket& bucket = entry->second;
  if (inserted) {
    bucket.refilled = now;
  }
  Demand& demand = bucket.demands[instance];
  // A lower count comes from a new process of the instance, a higher one from
  // permits of another issuer.
  const bool in_transit =
      received < demand.issued && now - demand.last_issued < kTransitTimeout;
  if (!in_transit) {
    demand.issued = received;
  }
  demand.updated = now;
  bucket.last_demand = now;
  const auto unreceived = static_cast<int>(demand.issued - received);
  SetQueued(bucket, instance, std::clamp(wanted - unreceived, 0, kMaxWanted));
}

void PermitIssuer::SetQueued(Bucket& bucket,
                             const InstanceId& instance,
                             int count) {
  Demand& demand = bucket.demands[instance];
  for (; demand.queued < count; ++demand.queued) {
    bucket.queue.push_back(instance);
  }
  while (demand.queued > count) {
    const auto last =
        std::find(bucket.queue.rbegin(), bucket.queue.rend(), instance);
    assert(last != bucket.queue.rend());
    bucket.queue.erase(std::next(last).base());
    --demand.queued;
  }
}

void PermitIssuer::DropExpired(Bucket& bucket, MonotonicTime now) {
  for (auto entry = bucket.demands.begin(); entry != bucket.demands.end();) {
    if (now - entry->second.updated < kDemandTimeout) {
      ++entry;
      continue;
    }
    SetQueued(bucket, entry->first, 0);
    entry = bucket.demands.erase(entry);
  }
}

std::vector<std::uint64_t> PermitIssuer::ListUpstreams() const {
  std::vector<std::uint64_t> upstreams;
  upstreams.reserve(m_buckets.size());
  for (const auto& [upstream, bucket] : m_buckets) {
    upstreams.push_back(upstream);
  }
  return upstreams;
}

std::vector<IssuedPermits> PermitIssuer::Issue(std::uint64_t upstream_hash,
                                               double rate,
                                               MonotonicTime now) {
  assert(rate > 0);
  const auto found = m_buckets.find(upstream_hash);
  if (found == m_buckets.end()) {
    return {};
  }
  Bucket& bucket = found->second;
  DropExpired(bucket, now);
  const double elapsed_s =
      std::chrono::duration<double>(now - bucket.refilled).count();
  const double max_tokens =
      std::max(1.0, rate * std::chrono::duration<double>(kMaxBurst).count());
  bucket.tokens = std::min(max_tokens, bucket.tokens + elapsed_s * rate);
  bucket.refilled = now;
  std::map<InstanceId, int> counts;
  while (bucket.tokens >= 1 && !bucket.queue.empty()) {
    const InstanceId instance = bucket.queue.front();
    bucket.queue.pop_front();
    bucket.tokens -= 1;
    Demand& demand = bucket.demands.at(instance);
    --demand.queued;
    ++demand.issued;
    demand.last_issued = now;
    ++counts[instance];
  }
  std::vector<IssuedPermits> issued;
  issued.reserve(counts.size());
  for (const auto& [instance, count] : counts) {
    issued.push_back({instance, upstream_hash, count});
  }
  return issued;
}

std::vector<std::uint64_t> PermitIssuer::DropIdle(MonotonicTime now) {
  std::vector<std::uint64_t> dropped;
  for (auto entry = m_buckets.begin(); entry != m_buckets.end();) {
    if (now - entry->second.last_demand >= kIdleTimeout) {
      dropped.push_back(entry->first);
      entry = m_buckets.erase(entry);
    } else {
      ++entry;
    }
  }
  return dropped;
}

Duration PermitIssuer::EstimateWait(std::uint64_t upstream_hash,
                                    double rate) const {
  assert(rate > 0);
  const auto found = m_buckets.find(upstream_hash);
  if (found == m_buckets.end()) {
    return Duration::zero();
  }
  const Bucket& bucket = found->second;
  const double missing =
      static_cast<double>(bucket.queue.size()) + 1 - bucket.tokens;
  return Duration(std::llround(std::max(0.0, missing) / rate * 1'000'000));
}

}  // namespace kumquatcove
