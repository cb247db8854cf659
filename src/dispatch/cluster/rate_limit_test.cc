#include <doctest/doctest.h>

#include <cmath>
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

constexpr const char* kRoutes = "5 a.example /browse/ vitrina i";

double MaxArrivals(double rate) {
  return kMaxExcess * rate * std::chrono::duration<double>(kWindow).count() +
         kSlack;
}

std::string Numbered(const std::string& prefix, int number) {
  return prefix + std::to_string(number);
}

/** Three regions with `per_region` instances and two upstreams each; the even
 * upstreams are those of the first zone of their region. */
class RatedCluster : public FakeDispatchCluster {
 public:
  RatedCluster(int per_region, double requests_per_second, std::uint64_t seed)
      : FakeDispatchCluster({"lima-a", "lima-b", "arequipa-a", "arequipa-b",
                             "trujillo-a", "trujillo-b"},
                            seed) {
    const std::vector<std::string> regions = {"lima", "arequipa", "trujillo"};
    for (int i = 0; i < per_region * 3; ++i) {
      const std::string zone = regions[i % 3] + (i % 2 == 0 ? "-a" : "-b");
      AddInstance(Numbered("e", i), zone);
      instances.push_back(Numbered("e", i));
    }
    for (int i = 0; i < 6; ++i) {
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

}  // namespace

TEST_CASE(
    "An upstream that states a rate limit gets no more than that from all "
    "instances together") {
  RatedCluster cluster(3, 180, 1);
  const double rate = 10;
  for (int i = 0; i < 4; ++i) {
    cluster.Upstream(Numbered("v", i)).rate_limit = rate;
  }
  const MonotonicTime stated = cluster.Now();
  cluster.Advance(Seconds(20));
  for (int i = 0; i < 4; ++i) {
    CAPTURE(i);
    const FakeRatedUpstream& upstream = cluster.Upstream(Numbered("v", i));
    CHECK(upstream.CountBusiest(kWindow, stated + kNotice, cluster.Now()) <=
          MaxArrivals(rate));
    CHECK(upstream.CountArrivals(stated + kNotice, cluster.Now()) >=
          kMinUse * rate * 17);
  }
}

TEST_CASE("A rate limit below one request a second for each instance is kept") {
  RatedCluster cluster(8, 180, 2);
  const double rate = 1.5;
  for (const std::string& upstream : cluster.upstreams) {
    cluster.Upstream(upstream).rate_limit = rate;
  }
  const MonotonicTime stated = cluster.Now();
  cluster.Advance(Seconds(20));
  for (const std::string& upstream : cluster.upstreams) {
    CAPTURE(upstream);
    CHECK(cluster.Upstream(upstream).CountBusiest(
              kWindow, stated + kNotice, cluster.Now()) <= MaxArrivals(rate));
    CHECK(cluster.Upstream(upstream).CountArrivals(
              stated + kNotice, cluster.Now()) >= kMinUse * rate * 17);
  }
}

}  // namespace kumquatcove
