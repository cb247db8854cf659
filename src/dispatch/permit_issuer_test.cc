#include "dispatch/permit_issuer.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <deque>
#include <vector>

#include "base/random.h"
#include "dispatch/send_permits.h"

namespace kumquatcove {
namespace {

constexpr std::uint64_t kUpstream = 7;

MonotonicTime At(Duration time) {
  return MonotonicTime(time);
}

int Count(const std::vector<IssuedPermits>& issued) {
  int count = 0;
  for (const IssuedPermits& permits : issued) {
    count += permits.count;
  }
  return count;
}

}  // namespace

TEST_CASE("Permits are issued at the rate, in the order of the demands") {
  PermitIssuer issuer;
  issuer.SetDemand(InstanceId("e1"), kUpstream, 2, 0, At(Seconds(1)));
  issuer.SetDemand(InstanceId("e2"), kUpstream, 1, 0, At(Seconds(1)));
  CHECK(issuer.Issue(kUpstream, 10, At(Seconds(1))).empty());
  CHECK(issuer.EstimateWait(kUpstream, 10) == Milliseconds(400));
  const auto first = issuer.Issue(kUpstream, 10, At(Milliseconds(1200)));
  REQUIRE(first.size() == 1);
  CHECK(first[0].instance == InstanceId("e1"));
  CHECK(first[0].count == 2);
  const auto second = issuer.Issue(kUpstream, 10, At(Milliseconds(1300)));
  REQUIRE(second.size() == 1);
  CHECK(second[0].instance == InstanceId("e2"));
}

TEST_CASE("Permits in transit aren't issued twice for a repeated demand") {
  PermitIssuer issuer;
  issuer.SetDemand(InstanceId("e1"), kUpstream, 1, 0, At(Seconds(1)));
  CHECK(Count(issuer.Issue(kUpstream, 10, At(Milliseconds(1100)))) == 1);
  issuer.SetDemand(InstanceId("e1"), kUpstream, 1, 0, At(Milliseconds(1110)));
  CHECK(Count(issuer.Issue(kUpstream, 10, At(Milliseconds(1300)))) == 0);
  // The permit was lost on its way.
  issuer.SetDemand(InstanceId("e1"), kUpstream, 1, 0, At(Milliseconds(2200)));
  CHECK(Count(issuer.Issue(kUpstream, 10, At(Milliseconds(2300)))) == 1);
  // Received; a further request waits.
  issuer.SetDemand(InstanceId("e1"), kUpstream, 1, 1, At(Milliseconds(2400)));
  CHECK(Count(issuer.Issue(kUpstream, 10, At(Milliseconds(2500)))) == 1);
}

TEST_CASE("The demand of a restarted or silent instance ends") {
  PermitIssuer issuer;
  issuer.SetDemand(InstanceId("e1"), kUpstream, 5, 100, At(Seconds(1)));
  issuer.SetDemand(InstanceId("e1"), kUpstream, 1, 0, At(Seconds(1)));
  CHECK(Count(issuer.Issue(kUpstream, 100, At(Seconds(2)))) == 1);
  issuer.SetDemand(InstanceId("e2"), kUpstream, 5, 0, At(Seconds(2)));
  CHECK(issuer.Issue(kUpstream, 10, At(Seconds(4))).empty());
}

// Guards against an upstream getting more than its limit when its issuer or the
// processes that want permits change.
TEST_CASE("No span of time gets more permits than the rate allows") {
  CHECK(rc::check([](std::uint64_t seed) {
    Random random(seed);
    const double rate = 0.25 + random.NextFraction() * 20;
    constexpr Duration kWindow = Seconds(4);
    PermitIssuer issuer;
    std::vector<std::uint64_t> received(1 + random.NextBelow(60));
    std::deque<MonotonicTime> issued;
    for (Duration time{0}; time < Seconds(30); time += Milliseconds(10)) {
      const std::size_t index = random.NextBelow(received.size());
      const InstanceId instance("e" + std::to_string(index));
      if (random.NextBelow(200) == 0) {
        received[index] = 0;
      }
      if (random.NextBelow(300) == 0) {
        issuer.Forget(kUpstream);
      }
      issuer.SetDemand(instance, kUpstream,
                       static_cast<int>(random.NextBelow(5)), received[index],
                       At(time));
      for (const IssuedPermits& permits :
           issuer.Issue(kUpstream, rate, At(time))) {
        received[std::stoul(permits.instance.Text().substr(1))] +=
            static_cast<std::uint64_t>(permits.count);
        issued.insert(issued.end(), static_cast<std::size_t>(permits.count),
                      At(time));
      }
      while (!issued.empty() && issued.front() <= At(time) - kWindow) {
        issued.pop_front();
      }
      RC_ASSERT(static_cast<double>(issued.size()) <=
                rate * 4 + std::max(1.0, rate / 4));
    }
  }));
}

TEST_CASE("Permits expire, so that an idle instance has none left over") {
  SendPermits permits;
  CHECK_FALSE(permits.Take(At(Seconds(1))));
  permits.Add(2, At(Seconds(1)));
  CHECK(permits.Take(At(Milliseconds(1400))));
  CHECK(permits.CountValid(At(Milliseconds(1400))) == 1);
  CHECK(permits.CountValid(At(Milliseconds(1500))) == 0);
  CHECK_FALSE(permits.Take(At(Milliseconds(1500))));
  CHECK(permits.Received() == 2);
}

TEST_CASE("The forecast counts the requests that the issuer doesn't know") {
  SendPermits permits;
  CHECK(permits.EstimateWait(0, 10, At(Seconds(1))) == Duration::zero());
  permits.SetForecast(Milliseconds(300), 2, At(Seconds(1)));
  CHECK(permits.EstimateWait(2, 10, At(Seconds(1))) == Milliseconds(300));
  CHECK(permits.EstimateWait(4, 10, At(Seconds(1))) == Milliseconds(500));
  CHECK(permits.EstimateWait(2, 10, At(Milliseconds(1100))) ==
        Milliseconds(200));
  permits.Add(1, At(Milliseconds(1100)));
  CHECK(permits.EstimateWait(0, 10, At(Milliseconds(1100))) ==
        Duration::zero());
}

}  // namespace kumquatcove
