#include "base/hash.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace kumquatcove {

std::uint64_t StableHash(std::string_view text, std::uint64_t seed) {
  return XXH64(text.data(), text.size(), seed);
}

std::uint64_t StableHash(std::initializer_list<std::string_view> parts) {
  std::uint64_t hash = 0;
  for (std::string_view part : parts) {
    hash = StableHash(part, hash ^ part.size());
  }
  return hash;
}

}  // namespace kumquatcove
