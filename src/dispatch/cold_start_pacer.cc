#include "dispatch/cold_start_pacer.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace kumquatcove {

std::optional<WallTime> ColdStartPacer::FindWindow(
    WallTime now,
    const ColdStartShare& share) {
  assert(share.instances >= 1);
  if (share.rate <= 0) {
    return std::nullopt;
  }
  const double slot_us = 1'000'000 / share.rate;
  const double cycle_us = slot_us * share.instances;
  const double offset_us = slot_us * share.rank;
  const auto now_us = static_cast<double>(now.microseconds);
  const double start_us =
      std::floor((now_us - offset_us) / cycle_us) * cycle_us + offset_us;
  const double window_us =
      std::min(cycle_us, static_cast<double>(kMaxWindow.count()));
  if (now_us - start_us >= window_us) {
    return std::nullopt;
  }
  return WallTime{std::llround(start_us)};
}

}  // namespace kumquatcove
