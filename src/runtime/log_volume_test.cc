#include "runtime/log_volume.h"

#include <doctest/doctest.h>

namespace kumquatcove {
namespace {

int CountAdmitted(LogVolume& volume,
                  const char* event,
                  int lines,
                  MonotonicTime now) {
  int admitted = 0;
  for (int i = 0; i < lines; ++i) {
    admitted += volume.Admit(event, now) ? 1 : 0;
  }
  return admitted;
}

constexpr int kFlood = 100'000;
constexpr MonotonicTime kStart(Seconds(50));

}  // namespace

TEST_CASE("A flood of one event is limited and counted") {
  LogVolume volume;
  const int burst =
      static_cast<int>(LogVolume::kPerSecond * LogVolume::kBurstSeconds);
  CHECK(CountAdmitted(volume, "send_rejected", kFlood, kStart) == burst);
  CHECK(volume.TakeOmitted() ==
        std::vector<OmittedLines>{
            {"send_rejected", static_cast<std::uint64_t>(kFlood - burst)}});
  CHECK(volume.TakeOmitted().empty());
  CHECK(CountAdmitted(volume, "send_rejected", kFlood, kStart + Seconds(1)) ==
        static_cast<int>(LogVolume::kPerSecond));
}

// Guards against a flood of answered requests that suppresses refusals in the
// log.
TEST_CASE("A flood of one event does not suppress other events") {
  LogVolume volume;
  CountAdmitted(volume, "request_answered", kFlood, kStart);
  CHECK(volume.Admit("request_refused", kStart));
  CHECK(volume.Admit("store_lost", kStart));
}

TEST_CASE("Events beyond the maximum number share one rate") {
  LogVolume volume;
  int admitted = 0;
  for (int i = 0; i < kFlood; ++i) {
    admitted += volume.Admit("event-" + std::to_string(i), kStart) ? 1 : 0;
  }
  CHECK(admitted <=
        static_cast<int>(LogVolume::kMaxEvents) +
            static_cast<int>(LogVolume::kPerSecond * LogVolume::kBurstSeconds));
}

}  // namespace kumquatcove
