#include <doctest/doctest.h>

#include <cmath>
#include <optional>
#include <string>
#include <vector>

#include "dispatch/cluster/fake_dispatch_cluster.h"

namespace kumquatcove {
namespace {

// The platform's bound: in some span of kWindow not more than kMaxExcess times
// what the limit allows, and kSlack requests, from kNotice after the limit was
// first stated.
constexpr Duration kWindow = Seconds(4);
constexpr Duration kNotice = Seconds(3);
constexpr double kMaxExcess = 1.5;
constexpr double kSlack = 5;

// Share of a limit that must be used while callers want more.
constexpr double kMinUse = 0.8;

// The latency objective of the routes, the time that a request keeps waiting
// for a permit, and some ticks.
constexpr Duration kMaxRefusalTime = Milliseconds(250 + 100 + 50);

constexpr const char* kRoutes = "5 a.example /browse/ vitrina i";

double MaxArrivals(double rate) {
  return kMaxExcess * rate * std::chrono::duration<double>(kWindow).count() +
         kSlack;
}

std::string Numbered(const std::string& prefix, int number) {
  return prefix + std::to_string(number);
}

/** Three regions with `per_region` instances each, and upstreams in turn; the
 * even upstreams are those of the first zone of their region. */
class RatedCluster : public FakeDispatchCluster {
 public:
  RatedCluster(int per_region,
               double requests_per_second,
               std::uint64_t seed,
               int upstream_count = 6)
      : FakeDispatchCluster({"lima-a", "lima-b", "arequipa-a", "arequipa-b",
                             "trujillo-a", "trujillo-b"},
                            seed) {
    const std::vector<std::string> regions = {"lima", "arequipa", "trujillo"};
    for (int i = 0; i < per_region * 3; ++i) {
      const std::string zone = regions[i % 3] + (i % 2 == 0 ? "-a" : "-b");
      AddInstance(Numbered("e", i), zone);
      instances.push_back(Numbered("e", i));
    }
    for (int i = 0; i < upstream_count; ++i) {
      upstreams.push_back(Numbered("v", i));
      AddUpstream(upstreams.back(), "vitrina",
                  regions[i % 3] + (i % 2 == 0 ? "-a" : "-b"), 6);
    }
    Start(kRoutes);
    for (const std::string& instance : instances) {
      SetLoad(instance,
              {requests_per_second / (per_region * 3), "/browse/7", 60});
    }
    Advance(Seconds(5));
  }

  std::vector<std::string> instances;
  std::vector<std::string> upstreams;
};

/** Checks the platform's bound for the upstreams that state `rate` since
 * `stated`, and that the rate was used. */
void CheckRate(RatedCluster& cluster,
               const std::vector<std::string>& upstreams,
               double rate,
               MonotonicTime stated,
               double min_use = kMinUse) {
  const MonotonicTime begin = stated + kNotice;
  const double seconds =
      std::chrono::duration<double>(cluster.Now() - begin).count();
  for (const std::string& name : upstreams) {
    CAPTURE(name);
    const FakeRatedUpstream& upstream = cluster.Upstream(name);
    CHECK(upstream.CountBusiest(kWindow, begin, cluster.Now()) <=
          MaxArrivals(rate));
    CHECK(upstream.CountArrivals(begin, cluster.Now()) >=
          min_use * rate * seconds);
  }
}

/** Lets upstreams state a limit, or none, from now on. */
MonotonicTime StateLimit(RatedCluster& cluster,
                         const std::vector<std::string>& upstreams,
                         std::optional<double> rate) {
  for (const std::string& upstream : upstreams) {
    cluster.Upstream(upstream).rate_limit = rate;
  }
  return cluster.Now();
}

}  // namespace

TEST_CASE(
    "An upstream that states a rate limit gets no more than that from all "
    "instances together") {
  RatedCluster cluster(3, 180, 1);
  const std::vector<std::string> limited = {"v0", "v1", "v2", "v3"};
  const MonotonicTime stated = StateLimit(cluster, limited, 10);
  cluster.Advance(Seconds(20));
  CheckRate(cluster, limited, 10, stated);
}

TEST_CASE("A rate limit below one request a second for each instance is kept") {
  RatedCluster cluster(8, 180, 2);
  const MonotonicTime stated = StateLimit(cluster, cluster.upstreams, 1.5);
  cluster.Advance(Seconds(20));
  CheckRate(cluster, cluster.upstreams, 1.5, stated);
}

TEST_CASE("A rate limit of zero leaves enough requests to learn of its end") {
  RatedCluster cluster(3, 180, 3);
  StateLimit(cluster, {"v0"}, 0);
  cluster.Advance(Seconds(20));
  const FakeRatedUpstream& upstream = cluster.Upstream("v0");
  CHECK(upstream.CountBusiest(kWindow, cluster.Now() - Seconds(17),
                              cluster.Now()) <= MaxArrivals(0));
  const MonotonicTime ended = StateLimit(cluster, {"v0"}, std::nullopt);
  cluster.Advance(Seconds(10));
  CHECK(upstream.CountArrivals(ended + Seconds(6), cluster.Now()) > 40);
}

TEST_CASE("The end of a rate limit is used by all instances") {
  RatedCluster cluster(3, 180, 4);
  StateLimit(cluster, cluster.upstreams, 5);
  cluster.Advance(Seconds(10));
  const MonotonicTime ended =
      StateLimit(cluster, cluster.upstreams, std::nullopt);
  cluster.Advance(Seconds(6));
  for (const std::string& name : cluster.upstreams) {
    CAPTURE(name);
    CHECK(cluster.Upstream(name).CountArrivals(ended + Seconds(1),
                                               cluster.Now()) > 5 * 10);
  }
}

TEST_CASE(
    "A rate limit is kept and used while instances are killed, frozen, "
    "stopped and cut off") {
  for (std::uint64_t seed = 10; seed < 20; ++seed) {
    CAPTURE(seed);
    RatedCluster cluster(3, 180, seed);
    Random random(seed);
    const std::vector<std::string> limited = {"v0", "v1", "v2", "v3"};
    const MonotonicTime stated = StateLimit(cluster, limited, 8);
    cluster.store_up = random.NextBelow(2) == 0;
    for (int step = 0; step < 6; ++step) {
      const std::string& instance =
          cluster.instances[random.NextBelow(cluster.instances.size())];
      switch (random.NextBelow(4)) {
        case 0:
          cluster.Kill(instance);
          cluster.Advance(Milliseconds(500));
          cluster.StartInstance(instance);
          break;
        case 1:
          cluster.Freeze(instance, Seconds(2));
          break;
        case 2:
          cluster.Stop(instance);
          break;
        default:
          cluster.CutFromPeers(instance, true);
          cluster.Advance(Seconds(2));
          cluster.CutFromPeers(instance, false);
          break;
      }
      cluster.Advance(Seconds(4));
      if (!cluster.IsRunning(instance)) {
        cluster.StartInstance(instance);
      }
    }
    // While the coordinator of an upstream is unreachable, time slots use less
    // of its rate.
    CheckRate(cluster, limited, 8, stated, 0.5);
  }
}

// Rows run out while the store is silent, and are written again at different
// times after its return. An instance that forgets a limit with the row sends
// without permits until an answer or a digest states the limit again.
TEST_CASE(
    "A rate limit is kept and used while rows run out in silences of the "
    "store") {
  for (std::uint64_t seed = 30; seed < 36; ++seed) {
    CAPTURE(seed);
    RatedCluster cluster(3, 180, seed, 12);
    Random random(seed);
    const MonotonicTime stated = StateLimit(cluster, cluster.upstreams, 2);
    for (int silence = 0; silence < 2; ++silence) {
      cluster.Advance(Seconds(4));
      cluster.store_silent = true;
      cluster.Advance(Seconds(6));
      for (const std::string& upstream : cluster.upstreams) {
        cluster.Lapse(upstream);
        cluster.RenewAfter(
            Seconds(2) + Milliseconds(100 + random.NextBelow(1900)), upstream);
      }
      cluster.Advance(Seconds(2));
      cluster.store_silent = false;
    }
    cluster.Advance(Seconds(10));
    CheckRate(cluster, cluster.upstreams, 2, stated, 0.6);
  }
}

TEST_CASE("The rate limit of upstreams that restart is kept and used") {
  RatedCluster cluster(3, 180, 40, 12);
  const MonotonicTime stated = StateLimit(cluster, cluster.upstreams, 2);
  for (int restart = 0; restart < 8; ++restart) {
    cluster.Advance(Seconds(2));
    for (const std::string& upstream : cluster.upstreams) {
      cluster.RestartUpstream(upstream);
    }
  }
  CheckRate(cluster, cluster.upstreams, 2, stated);
}

TEST_CASE("An upstream that restarts without a rate limit is used in full") {
  RatedCluster cluster(3, 180, 41);
  StateLimit(cluster, cluster.upstreams, 5);
  cluster.Advance(Seconds(6));
  const MonotonicTime ended =
      StateLimit(cluster, cluster.upstreams, std::nullopt);
  for (const std::string& upstream : cluster.upstreams) {
    cluster.RestartUpstream(upstream);
  }
  cluster.Advance(Seconds(6));
  for (const std::string& name : cluster.upstreams) {
    CAPTURE(name);
    CHECK(cluster.Upstream(name).CountArrivals(ended + Seconds(1),
                                               cluster.Now()) > 5 * 10);
  }
}

// Each fault changes which instance issues permits, while some instances have
// the rows and others don't.
TEST_CASE(
    "A rate limit is kept while rows run out beside instances that are killed, "
    "frozen and cut off") {
  for (std::uint64_t seed = 50; seed < 62; ++seed) {
    CAPTURE(seed);
    RatedCluster cluster(3, 180, seed, 12);
    Random random(seed);
    const MonotonicTime stated = StateLimit(cluster, cluster.upstreams, 3);
    for (int silence = 0; silence < 3; ++silence) {
      const std::string& instance =
          cluster.instances[random.NextBelow(cluster.instances.size())];
      cluster.Advance(Milliseconds(1000 + random.NextBelow(3000)));
      cluster.store_silent = true;
      cluster.Advance(Milliseconds(3000 + random.NextBelow(3000)));
      for (const std::string& upstream : cluster.upstreams) {
        cluster.Lapse(upstream);
        cluster.RenewAfter(Milliseconds(2100 + random.NextBelow(1900)),
                           upstream);
      }
      const std::uint64_t fault = random.NextBelow(3);
      if (fault == 0) {
        cluster.Kill(instance);
      } else if (fault == 1) {
        cluster.Freeze(instance, Seconds(3));
      } else {
        cluster.CutFromPeers(instance, true);
      }
      cluster.Advance(Seconds(2));
      cluster.store_silent = false;
      cluster.Advance(Milliseconds(random.NextBelow(3000)));
      cluster.CutFromPeers(instance, false);
      if (!cluster.IsRunning(instance)) {
        cluster.StartInstance(instance);
      }
    }
    cluster.Advance(Seconds(6));
    CheckRate(cluster, cluster.upstreams, 3, stated, 0.4);
  }
}

TEST_CASE("Permits cost few messages in a deployment with many upstreams") {
  // A demand, its answer, and a grant or the end of the demand; and as many as
  // one request in three may change its upstream.
  constexpr double kMaxMessagesPerRequest = 4;
  RatedCluster cluster(8, 1200, 6, 48);
  StateLimit(cluster, cluster.upstreams, 12);
  cluster.Advance(Seconds(2));
  cluster.ResetOutcomes();
  cluster.permit_messages = 0;
  const MonotonicTime begin = cluster.Now();
  cluster.Advance(Seconds(4));
  int requests = 0;
  for (const std::string& instance : cluster.instances) {
    requests += cluster.Outcomes(instance).answered +
                cluster.Outcomes(instance).refused;
  }
  CHECK(static_cast<double>(cluster.permit_messages) <=
        kMaxMessagesPerRequest * requests);
  std::size_t arrivals = 0;
  for (const std::string& upstream : cluster.upstreams) {
    arrivals += cluster.Upstream(upstream).CountArrivals(begin, cluster.Now());
  }
  CHECK(static_cast<double>(arrivals) >= kMinUse * 12 * 48 * 4);
}

TEST_CASE("A request that a rate limit leaves no room for is refused at once") {
  RatedCluster cluster(3, 180, 5);
  StateLimit(cluster, cluster.upstreams, 5);
  cluster.Advance(Seconds(10));
  int refused = 0;
  for (const std::string& instance : cluster.instances) {
    refused += cluster.Outcomes(instance).refused;
    CHECK(cluster.Outcomes(instance).slowest_refusal <= Milliseconds(600));
  }
  CHECK(refused > 500);
}

TEST_CASE("A request doesn't try one limited upstream after the other") {
  RatedCluster cluster(8, 1200, 7, 48);
  StateLimit(cluster, cluster.upstreams, 12);
  cluster.Advance(Seconds(6));
  for (const std::string& instance : cluster.instances) {
    CHECK(cluster.Outcomes(instance).slowest_refusal <= kMaxRefusalTime);
  }
}

TEST_CASE(
    "Requests that rate limits leave no room for don't wait for the other "
    "upstreams until their deadline") {
  RatedCluster cluster(8, 1800, 8, 24);
  StateLimit(cluster, {cluster.upstreams.begin(), cluster.upstreams.end() - 3},
             5);
  // Requests that were waiting before the limits are answered or refused.
  cluster.Advance(Seconds(1));
  cluster.ResetOutcomes();
  cluster.Advance(Seconds(5));
  for (const std::string& instance : cluster.instances) {
    CHECK(cluster.Outcomes(instance).slowest_refusal <= kMaxRefusalTime);
  }
}

}  // namespace kumquatcove
