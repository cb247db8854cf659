#include "dispatch/sliding_count.h"

#include <cassert>

namespace kumquatcove {

SlidingCount::SlidingCount(Duration window)
    : m_slice(window / static_cast<std::int64_t>(kSlices)) {
  assert(m_slice > Duration::zero());
}

std::int64_t SlidingCount::NumberOf(MonotonicTime now) const {
  return now.time_since_epoch() / m_slice;
}

void SlidingCount::Add(MonotonicTime now, double amount) {
  const std::int64_t number = NumberOf(now);
  Slice& slice = m_slices[static_cast<std::size_t>(number) % m_slices.size()];
  if (slice.number != number) {
    slice = {number, 0};
  }
  slice.amount += amount;
}

double SlidingCount::Sum(MonotonicTime now) const {
  const std::int64_t newest = NumberOf(now);
  double sum = 0;
  for (const Slice& slice : m_slices) {
    if (slice.number >= 0 &&
        newest - slice.number <= static_cast<std::int64_t>(kSlices)) {
      sum += slice.amount;
    }
  }
  return sum;
}

}  // namespace kumquatcove
