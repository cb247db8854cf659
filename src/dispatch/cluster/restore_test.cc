#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "dispatch/cluster/fake_dispatch_cluster.h"

namespace kumquatcove {
namespace {

constexpr const char* kRoutes = "5 a.example /browse/ vitrina i";
constexpr const char* kNewerRoutes =
    "7 a.example /browse/ vitrina i a.example /lost/ vitrina i";
constexpr const char* kNewestRoutes =
    "9 a.example /browse/ vitrina i a.example /added/ vitrina i";

// Time after which a change has to be in force, and the time for which that
// doesn't hold after an outage.
constexpr Duration kApplyTime = Seconds(2);
constexpr Duration kSettleTime = Seconds(3);

/** Two regions with two instances and two upstreams each. */
class RestoredCluster : public FakeDispatchCluster {
 public:
  explicit RestoredCluster(std::uint64_t seed)
      : FakeDispatchCluster({"lima-a", "lima-b", "arequipa-a", "arequipa-b"},
                            seed) {
    const std::vector<std::string> zones = {"lima-a", "arequipa-a", "lima-b",
                                            "arequipa-b"};
    for (std::size_t i = 0; i < zones.size(); ++i) {
      const std::string number = std::to_string(i);
      instances.push_back("e" + number);
      upstreams.push_back("v" + number);
      AddInstance(instances.back(), zones[i]);
      AddUpstream(upstreams.back(), "vitrina", zones[i], 6);
    }
    Start(kRoutes);
  }

  /** Sends requests for a path to all instances for a time. */
  void Send(const std::string& target, Duration time) {
    ResetOutcomes();
    for (const std::string& instance : instances) {
      SetLoad(instance, {40, target, 60});
    }
    Advance(time);
    for (const std::string& instance : instances) {
      SetLoad(instance, {});
    }
  }

  /** The store is away for `outage`, and back from a copy. */
  void RestoreAfter(Duration outage, const FakeTableRows::Copy& copy) {
    store_up = false;
    Advance(outage);
    rows->Restore(copy);
    store_up = true;
  }

  void RenewAll() {
    for (const std::string& upstream : upstreams) {
      Renew(upstream);
    }
  }

  std::vector<std::string> instances;
  std::vector<std::string> upstreams;
};

void CheckServed(const RestoredCluster& cluster) {
  for (const std::string& instance : cluster.instances) {
    CAPTURE(instance);
    CHECK(cluster.Outcomes(instance).answered > 20);
    CHECK(cluster.Outcomes(instance).unknown_route == 0);
  }
}

}  // namespace

TEST_CASE(
    "A change after a restore of the store is in force, though its version "
    "was given out before") {
  RestoredCluster cluster(1);
  const FakeTableRows::Copy copy = cluster.rows->MakeCopy();
  cluster.rows->Put("operator/config", kNewerRoutes);
  cluster.Advance(Seconds(1));
  cluster.RestoreAfter(Seconds(2), copy);
  cluster.Advance(kSettleTime);
  // The first version of the new era is the last one of the old era.
  cluster.rows->Put("operator/config", kNewestRoutes);
  cluster.Advance(kApplyTime);
  cluster.Send("/added/1", Seconds(1));
  CheckServed(cluster);
}

TEST_CASE(
    "A change after a restore isn't missed if more versions were given out "
    "again than were lost") {
  RestoredCluster cluster(2);
  const FakeTableRows::Copy copy = cluster.rows->MakeCopy();
  cluster.rows->Put("operator/config", kNewerRoutes);
  cluster.Advance(Seconds(1));
  cluster.RestoreAfter(Seconds(2), copy);
  cluster.rows->Put("operator/config", kNewestRoutes);
  cluster.RenewAll();
  cluster.Advance(kSettleTime + kApplyTime);
  cluster.Send("/added/1", Seconds(1));
  CheckServed(cluster);
}

TEST_CASE("A restored store doesn't revert the configuration") {
  RestoredCluster cluster(3);
  const FakeTableRows::Copy copy = cluster.rows->MakeCopy();
  cluster.rows->Put("operator/config", kNewerRoutes);
  cluster.Advance(Seconds(1));
  cluster.RestoreAfter(Seconds(2), copy);
  cluster.Send("/lost/1", Seconds(4));
  CheckServed(cluster);
}

TEST_CASE(
    "An instance whose row a restored store has lost writes it again, so that "
    "later ones find it") {
  RestoredCluster cluster(4);
  cluster.Kill("e3");
  cluster.rows->Remove("entries/e3");
  cluster.Advance(Seconds(1));
  const FakeTableRows::Copy copy = cluster.rows->MakeCopy();
  cluster.StartInstance("e3");
  cluster.Advance(Seconds(3));
  REQUIRE(cluster.rows->Has("entries/e3"));
  cluster.RestoreAfter(Seconds(2), copy);
  REQUIRE_FALSE(cluster.rows->Has("entries/e3"));
  cluster.Advance(kSettleTime);
  CHECK(cluster.rows->Has("entries/e3"));
}

TEST_CASE("An instance that is stopping doesn't register again") {
  RestoredCluster cluster(5);
  const FakeTableRows::Copy copy = cluster.rows->MakeCopy();
  cluster.Stop("e3");
  cluster.Advance(Milliseconds(100));
  REQUIRE_FALSE(cluster.rows->Has("entries/e3"));
  cluster.RestoreAfter(Seconds(1), copy);
  cluster.Advance(Seconds(2));
  REQUIRE(cluster.IsRunning("e3"));
  CHECK_FALSE(cluster.rows->Has("entries/e3"));
}

TEST_CASE(
    "An instance that starts from a restored copy doesn't serve an older "
    "configuration than the others") {
  RestoredCluster cluster(6);
  const FakeTableRows::Copy copy = cluster.rows->MakeCopy();
  cluster.rows->Put("operator/config", kNewerRoutes);
  cluster.Advance(Seconds(1));
  cluster.Kill("e3");
  cluster.RestoreAfter(Seconds(1), copy);
  cluster.StartInstance("e3");
  cluster.Advance(Milliseconds(800));
  cluster.Send("/lost/1", Seconds(2));
  CHECK(cluster.Outcomes("e3").unknown_route == 0);
  CHECK(cluster.Outcomes("e3").answered == 0);
  cluster.rows->Put("operator/config", kNewerRoutes);
  cluster.Advance(Milliseconds(200));
  cluster.Send("/lost/1", Seconds(1));
  CheckServed(cluster);
}

TEST_CASE(
    "An instance that starts from a restored copy serves it if nobody writes a "
    "newer configuration") {
  RestoredCluster cluster(7);
  const FakeTableRows::Copy copy = cluster.rows->MakeCopy();
  cluster.rows->Put("operator/config", kNewerRoutes);
  cluster.Advance(Seconds(1));
  cluster.Kill("e3");
  cluster.RestoreAfter(Seconds(1), copy);
  cluster.StartInstance("e3");
  cluster.Advance(Seconds(12));
  cluster.Send("/browse/1", Seconds(1));
  CheckServed(cluster);
}

}  // namespace kumquatcove
