#ifndef BASE_HASH_H_
#define BASE_HASH_H_

#include <cstdint>
#include <initializer_list>
#include <string_view>

namespace kumquatcove {

/** Returns a hash of `text` that is the same in every process and version
 * (XXH64). */
std::uint64_t StableHash(std::string_view text, std::uint64_t seed = 0);

/** Returns a stable hash of several parts; the boundaries between parts count.
 */
std::uint64_t StableHash(std::initializer_list<std::string_view> parts);

}  // namespace kumquatcove

#endif  // BASE_HASH_H_
