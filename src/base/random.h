#ifndef BASE_RANDOM_H_
#define BASE_RANDOM_H_

#include <cstdint>

namespace kumquatcove {

/**
 * Seeded random number generator (SplitMix64) whose whole state is one word, so
 * that a reducer's state stays small.
 *
 * Thread safety: none.
 */
class Random {
 public:
  explicit Random(std::uint64_t seed) : m_state(seed) {}

  /** Returns 64 random bits. */
  std::uint64_t Next();

  /** Returns a number in [0, bound). Precondition: bound > 0. */
  std::uint64_t NextBelow(std::uint64_t bound);

  /** Returns a number in [0, 1). */
  double NextFraction();

 private:
  std::uint64_t m_state;
};

}  // namespace kumquatcove

#endif  // BASE_RANDOM_H_
