#ifndef DISPATCH_PERMIT_ISSUER_H_
#define DISPATCH_PERMIT_ISSUER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

#include "base/clock_reading.h"
#include "base/name.h"

namespace kumquatcove {

/** Permits for one instance. */
struct IssuedPermits {
  InstanceId instance;
  /** StableHash of the upstream's id. */
  std::uint64_t upstream_hash = 0;
  int count = 0;
};

/**
 * Issues the permits to send requests to upstreams that state a rate limit.
 *
 * One instance issues all permits of an upstream, from a token bucket, to the
 * requests that wait at any instance, in the order in which it learned of them.
 * A new bucket is empty, so that a change of the issuer adds nothing to the
 * rate. Thread safety: none.
 */
class PermitIssuer {
 public:
  /** Burst that a bucket allows, as time at the upstream's rate; at least one
   * permit. */
  static constexpr Duration kMaxBurst = Milliseconds(250);
  /** Time for which a demand holds unless it is repeated. */
  static constexpr Duration kDemandTimeout = Milliseconds(1500);

  /** Time without a demand after which a bucket is discarded. */
  static constexpr Duration kIdleTimeout = Seconds(10);
  /** Maximum number of requests of one instance that wait for the permits of an
   * upstream; the instance rejects more. */
  static constexpr int kMaxWanted = 1'000;

  /** Sets the number of requests for which an instance wants permits.
   * `received` is the number of permits that it has received so far in this run
   * of its process. */
  void SetDemand(const InstanceId& instance,
                 std::uint64_t upstream_hash,
                 int wanted,
                 std::uint64_t received,
                 MonotonicTime now);

  /** Returns the upstreams for which there is demand. */
  std::vector<std::uint64_t> ListUpstreams() const;

  /** Issues the permits of an upstream that are due at `rate` requests per
   * second. Preconditions: `rate` > 0. */
  std::vector<IssuedPermits> Issue(std::uint64_t upstream_hash,
                                   double rate,
                                   MonotonicTime now);

  /** Returns the expected time until a permit for a further request of any
   * instance. Precondition: `rate` > 0. */
  Duration EstimateWait(std::uint64_t upstream_hash, double rate) const;

  /** Discards the demands and tokens of an upstream. */
  void Forget(std::uint64_t upstream_hash) { m_buckets.erase(upstream_hash); }

  /** Discards the buckets that haven't been used for kIdleTimeout, and returns
   * their upstreams. */
  std::vector<std::uint64_t> DropIdle(MonotonicTime now);

 private:
  struct Demand {
    /** Permits issued, counted as the instance counts those it received. */
    std::uint64_t issued = 0;
    MonotonicTime last_issued;
    MonotonicTime updated;
    int queued = 0;
  };

  struct Bucket {
    double tokens = 0;
    MonotonicTime refilled;
    MonotonicTime last_demand;
    std::map<InstanceId, Demand> demands;
    /** One entry for each waiting request. */
    std::deque<InstanceId> queue;
  };

  static void SetQueued(Bucket& bucket, const InstanceId& instance, int count);
  static void DropExpired(Bucket& bucket, MonotonicTime now);

  std::map<std::uint64_t, Bucket> m_buckets;
};

}  // namespace kumquatcove

#endif  // DISPATCH_PERMIT_ISSUER_H_
