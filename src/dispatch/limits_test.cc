#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <cmath>
#include <deque>
#include <map>
#include <vector>

#include "base/random.h"
#include "dispatch/crash_suspicions.h"
#include "dispatch/region_overflow.h"
#include "dispatch/resend_budget.h"
#include "dispatch/service_splitter.h"
#include "dispatch/sliding_count.h"
#include "dispatch/time_slot_pacer.h"

namespace kumquatcove {
namespace {

ServiceName Vitrina() {
  return ServiceName("vitrina");
}

MonotonicTime At(Duration time) {
  return MonotonicTime(Seconds(100) + time);
}

}  // namespace

TEST_CASE(
    "A sliding count drops events once they leave the window, and not sooner") {
  SlidingCount count(Seconds(2));
  count.Add(At(Duration(0)));
  count.Add(At(Seconds(1)), 2);
  CHECK(count.Sum(At(Seconds(1))) == 3);
  CHECK(count.Sum(At(Milliseconds(2'500))) == 2);
  CHECK(count.Sum(At(Seconds(4))) == 0);
}

TEST_CASE(
    "Resends of all instances together stay within the platform's bound") {
  CHECK(rc::check([](std::uint64_t seed) {
    constexpr int kInstances = 11;
    DispatchSettings settings;
    settings.resend_extra = 62;
    Random random(seed);
    std::vector<ResendBudget> budgets(kInstances, ResendBudget(settings));
    std::deque<MonotonicTime> requests;
    std::deque<MonotonicTime> resends;
    // An outage: every request needs a resend, and load varies.
    for (Duration time{0}; time < Seconds(30); time += Milliseconds(10)) {
      const MonotonicTime now = At(time);
      const auto arrivals = random.NextBelow(6);
      for (std::uint64_t i = 0; i < arrivals; ++i) {
        ResendBudget& budget = budgets[random.NextBelow(kInstances)];
        budget.OnRequest(Vitrina(), now);
        requests.push_back(now);
        if (budget.TryTake(Vitrina(), now, kInstances)) {
          resends.push_back(now);
        }
      }
      const auto expire = [&](std::deque<MonotonicTime>& times) {
        while (!times.empty() && times.front() <= now - Seconds(10)) {
          times.pop_front();
        }
      };
      expire(requests);
      expire(resends);
      RC_ASSERT(static_cast<double>(resends.size()) <=
                settings.resend_ratio * static_cast<double>(requests.size()) +
                    settings.resend_extra);
    }
    RC_ASSERT(!resends.empty());
  }));
}

TEST_CASE("Each part of a split gets its share, within one request") {
  CHECK(rc::check([] {
    Route route;
    route.name = "r";
    const int parts = *rc::gen::inRange(1, 5);
    double total = 0;
    for (int i = 0; i < parts; ++i) {
      const double weight = *rc::gen::inRange(1, 100);
      route.services.push_back({ServiceName(std::to_string(i)), weight});
      total += weight;
    }
    ServiceSplitter splitter;
    std::map<ServiceName, int> counts;
    constexpr int kRequests = 200;
    for (int i = 0; i < kRequests; ++i) {
      ++counts[splitter.Next(route)];
    }
    for (const WeightedService& part : route.services) {
      RC_ASSERT(std::abs(counts[part.service] -
                         kRequests * part.weight / total) <= parts);
    }
  }));
}

TEST_CASE("New weights of a split hold at once") {
  Route route;
  route.name = "r";
  route.services = {{ServiceName("a"), 1}, {ServiceName("b"), 0}};
  ServiceSplitter splitter;
  CHECK(splitter.Next(route) == ServiceName("a"));
  route.services = {{ServiceName("a"), 0}, {ServiceName("b"), 1}};
  CHECK(splitter.Next(route) == ServiceName("b"));
}

TEST_CASE("A content hash is rejected after breaks, until it succeeds") {
  CrashSuspicions suspicions;
  const MonotonicTime now = At(Duration(0));
  suspicions.RecordBreak(7, now);
  CHECK(suspicions.CountBreaks(7) == 1);
  CHECK_FALSE(suspicions.IsRejected(7, now));
  suspicions.RecordBreak(7, now);
  CHECK(suspicions.IsRejected(7, now));
  CHECK_FALSE(suspicions.IsRejected(8, now));
  CHECK(suspicions.RecordSuccess(7));
  CHECK_FALSE(suspicions.RecordSuccess(7));
  CHECK_FALSE(suspicions.IsRejected(7, now));
}

TEST_CASE(
    "A rejected content hash gets one more trial after the rejection time") {
  CrashSuspicions suspicions;
  suspicions.RecordBreak(7, At(Duration(0)));
  suspicions.RecordBreak(7, At(Duration(0)));
  CHECK_FALSE(suspicions.IsRejected(7, At(CrashSuspicions::kRejectionTime)));
}

TEST_CASE("The count of contents is bounded; the oldest is evicted") {
  CrashSuspicions suspicions;
  for (std::uint64_t hash = 0; hash <= CrashSuspicions::kMaxContents; ++hash) {
    suspicions.RecordBreak(hash, At(Duration(static_cast<std::int64_t>(hash))));
  }
  CHECK(suspicions.CountBreaks(0) == 0);
  CHECK(suspicions.CountBreaks(1) == 1);
}

TEST_CASE("A cold upstream gets no more than its rate") {
  TimeSlotPacer pacer;
  int sent = 0;
  const auto send_when_due = [&](Duration time, double rate) {
    const WallTime now{time.count()};
    if (pacer.IsDue(rate, {1, 0, now})) {
      pacer.RecordSend(now);
      ++sent;
    }
  };
  for (Duration time{0}; time < Seconds(10); time += Milliseconds(10)) {
    send_when_due(time, 2);
  }
  CHECK(sent == 20);
  send_when_due(Seconds(60), 0);
  CHECK(sent == 20);
}

// Guards against a cold upstream being sent more than its rate (FAILBACK): 20
// instances of a region sent it 18 requests in the second after they discovered
// it, where 17.9 were allowed.
TEST_CASE(
    "Many instances that discover a cold upstream at once stay within its "
    "rate") {
  CHECK(rc::check([](std::uint64_t seed) {
    constexpr double kRate = 6.6;
    // The platform allows half as much again and five requests more.
    constexpr double kAllowed = kRate * 1.5 + 5;
    Random random(seed);
    const int instances = 1 + static_cast<int>(random.NextBelow(40));
    // Requests come in bursts, between which every instance is idle.
    std::vector<TimeSlotPacer> pacers(static_cast<std::size_t>(instances));
    std::vector<Duration> clock_errors;
    clock_errors.reserve(pacers.size());
    for (int i = 0; i < instances; ++i) {
      clock_errors.emplace_back(
          static_cast<std::int64_t>(random.NextBelow(200'000)));
    }
    std::deque<MonotonicTime> sent;
    std::size_t total = 0;
    for (Duration time{0}; time < Seconds(20); time += Milliseconds(10)) {
      const bool busy = time % Seconds(6) < Seconds(3);
      for (int rank = 0; busy && rank < instances; ++rank) {
        const auto index = static_cast<std::size_t>(rank);
        const WallTime wall{
            (At(time).time_since_epoch() + clock_errors[index]).count()};
        if (pacers[index].IsDue(kRate, {instances, rank, wall})) {
          pacers[index].RecordSend(wall);
          sent.push_back(At(time));
          ++total;
        }
      }
      while (!sent.empty() && sent.front() <= At(time) - Seconds(1)) {
        sent.pop_front();
      }
      RC_ASSERT(static_cast<double>(sent.size()) <= kAllowed);
    }
    RC_ASSERT(static_cast<double>(total) > kRate * 20 / 4);
  }));
}

// Guards against refusals in a region whose upstreams are full while others are
// idle: the limit fell in each tenth of a second in which no request of the
// instance would have moved, which were 0.7 of them at 10 requests per second.
TEST_CASE("The share that may overflow also rises at a low request rate") {
  RegionOverflow overflow(0.15);
  int moved = 0;
  int total = 0;
  for (Duration time{0}; time < Seconds(30); time += Milliseconds(10)) {
    overflow.OnTick(At(time));
    if (time % Milliseconds(300) != Duration(0)) {
      continue;
    }
    const bool allowed = overflow.IsAllowed(At(time));
    overflow.OnPlaced(allowed, At(time));
    if (!allowed) {
      overflow.OnDenied(At(time));
    }
    if (time >= Seconds(20)) {
      ++total;
      moved += allowed ? 1 : 0;
    }
  }
  CHECK(moved > total / 2);
}

// Guards against too fast a change of region (SHIFT): 32 to 51% of a region's
// requests changed their region in the first seconds of a run, while upstreams
// had no objects cached.
TEST_CASE(
    "A sudden overload moves a region's requests no faster than the bound") {
  CHECK(rc::check([](std::uint64_t seed) {
    constexpr double kMaxShift = 0.15;
    constexpr int kInstances = 4;
    Random random(seed);
    std::vector<RegionOverflow> instances(kInstances,
                                          RegionOverflow(kMaxShift));
    std::vector<double> shares;
    int moved = 0;
    int total = 0;
    Duration window_start{0};
    for (Duration time{0}; time < Seconds(40); time += Milliseconds(5)) {
      // All requests that may overflow do so for the first half of the time.
      const bool wanted = time < Seconds(20);
      RegionOverflow& instance = instances[random.NextBelow(kInstances)];
      for (RegionOverflow& each : instances) {
        each.OnTick(At(time));
      }
      const bool allowed = instance.IsAllowed(At(time));
      instance.OnPlaced(wanted && allowed, At(time));
      if (wanted && !allowed) {
        instance.OnDenied(At(time));
      }
      ++total;
      moved += wanted && allowed ? 1 : 0;
      if (time - window_start >= RegionOverflow::kWindow) {
        shares.push_back(static_cast<double>(moved) / total);
        moved = total = 0;
        window_start = time;
      }
    }
    // When the overload ends, all requests may move back at once, as they would
    // whenever the home region has room again.
    for (std::size_t i = 1; i < shares.size() / 2; ++i) {
      RC_ASSERT(std::abs(shares[i] - shares[i - 1]) <= kMaxShift);
    }
    RC_ASSERT(shares[shares.size() / 2 - 1] > 0.3);
  }));
}

}  // namespace kumquatcove
