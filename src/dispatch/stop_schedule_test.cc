#include "dispatch/stop_schedule.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace kumquatcove {
namespace {

constexpr MonotonicTime kBegin{Seconds(100)};

}  // namespace

TEST_CASE("The stages of a stop are in order whatever time it has") {
  CHECK(rc::check([] {
    const Duration grace = Milliseconds(*rc::gen::inRange(0, 120'000));
    const StopSchedule schedule(kBegin, grace);
    RC_ASSERT(kBegin <= schedule.IntakeEnd());
    RC_ASSERT(schedule.IntakeEnd() <= schedule.WorkEnd());
    RC_ASSERT(schedule.WorkEnd() <= schedule.ExitEnd());
    RC_ASSERT(schedule.ExitEnd() <= kBegin + grace);
  }));
}

TEST_CASE("After lookups have expired only what certainly ends is accepted") {
  const StopSchedule schedule(kBegin, Seconds(6));
  CHECK(schedule.IsAdmissible(kBegin + Seconds(1), kBegin + Seconds(60)));
  const MonotonicTime late = kBegin + Seconds(3);
  CHECK(schedule.IsAdmissible(late, schedule.WorkEnd()));
  CHECK_FALSE(
      schedule.IsAdmissible(late, schedule.WorkEnd() + Milliseconds(1)));
  CHECK_FALSE(schedule.IsAdmissible(schedule.WorkEnd(), schedule.WorkEnd()));
}

TEST_CASE("Work begins only if twice its expected time is left") {
  const StopSchedule schedule(kBegin, Seconds(6));
  const MonotonicTime now = schedule.WorkEnd() - Seconds(2);
  CHECK(schedule.MayBegin(now, Seconds(1)));
  CHECK_FALSE(schedule.MayBegin(now, Milliseconds(1'001)));
}

}  // namespace kumquatcove
