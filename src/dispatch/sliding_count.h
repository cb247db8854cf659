#ifndef DISPATCH_SLIDING_COUNT_H_
#define DISPATCH_SLIDING_COUNT_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "base/clock_reading.h"

namespace kumquatcove {

/**
 * Counts events over a sliding window, in a fixed number of slices.
 *
 * The window covered is the given one and up to one slice more. Thread safety:
 * none.
 */
class SlidingCount {
 public:
  static constexpr std::size_t kSlices = 20;

  /** Precondition: `window` is at least kSlices microseconds. */
  explicit SlidingCount(Duration window);

  void Add(MonotonicTime now, double amount = 1);
  double Sum(MonotonicTime now) const;

 private:
  struct Slice {
    std::int64_t number = -1;
    double amount = 0;
  };

  std::int64_t NumberOf(MonotonicTime now) const;

  Duration m_slice;
  std::array<Slice, kSlices + 1> m_slices;
};

}  // namespace kumquatcove

#endif  // DISPATCH_SLIDING_COUNT_H_
