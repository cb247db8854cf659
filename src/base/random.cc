#include "base/random.h"

#include <cassert>

namespace kumquatcove {

std::uint64_t Random::Next() {
  m_state += 0x9e3779b97f4a7c15ULL;
  std::uint64_t mixed = m_state;
  mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
  mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
  return mixed ^ (mixed >> 31);
}

std::uint64_t Random::NextBelow(std::uint64_t bound) {
  assert(bound > 0);
  return Next() % bound;
}

double Random::NextFraction() {
  return static_cast<double>(Next() >> 11) * 0x1.0p-53;
}

}  // namespace kumquatcove
