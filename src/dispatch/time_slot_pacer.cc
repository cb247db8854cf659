#include "dispatch/time_slot_pacer.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace kumquatcove {
namespace {

/** Returns the start of the instance's window if it is open, otherwise
 * `std::nullopt`. */
std::optional<WallTime> FindWindow(double rate, const TimeSlotShare& share) {
  assert(share.instances >= 1);
  if (rate <= 0) {
    return std::nullopt;
  }
  const double slot_us = 1'000'000 / rate;
  const double cycle_us = slot_us * share.instances;
  const double offset_us = slot_us * share.rank;
  const auto now_us = static_cast<double>(share.now.microseconds);
  const double start_us =
      std::floor((now_us - offset_us) / cycle_us) * cycle_us + offset_us;
  const double window_us = std::min(
      cycle_us, static_cast<double>(TimeSlotPacer::kMaxWindow.count()));
  if (now_us - start_us >= window_us) {
    return std::nullopt;
  }
  return WallTime{std::llround(start_us)};
}

}  // namespace

bool TimeSlotPacer::IsDue(double rate, const TimeSlotShare& share) const {
  const std::optional<WallTime> window = FindWindow(rate, share);
  return window && (!m_last || *m_last < *window);
}

}  // namespace kumquatcove
