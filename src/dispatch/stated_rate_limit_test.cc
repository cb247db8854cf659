#include "dispatch/stated_rate_limit.h"

#include <doctest/doctest.h>

namespace kumquatcove {
namespace {

MonotonicTime At(std::int64_t milliseconds) {
  return MonotonicTime(Milliseconds(milliseconds));
}

}  // namespace

TEST_CASE("A rate limit applies from the answer that states it") {
  StatedRateLimit limit;
  CHECK_FALSE(limit.OnAnswer(std::nullopt, At(0), At(10)));
  CHECK(limit.OnAnswer(12.5, At(5), At(20)));
  CHECK(limit.Rate() == 12.5);
  CHECK_FALSE(limit.OnAnswer(12.5, At(6), At(30)));
  CHECK(limit.OnAnswer(8, At(7), At(40)));
  CHECK(limit.Rate() == 8);
}

TEST_CASE(
    "A rate limit isn't ended by an answer that may have been written before "
    "it") {
  StatedRateLimit limit;
  limit.OnAnswer(12.5, At(0), At(100));
  CHECK_FALSE(limit.OnAnswer(std::nullopt, At(50), At(200)));
  CHECK(limit.Rate() == 12.5);
  CHECK(limit.OnAnswer(std::nullopt, At(100), At(250)));
  CHECK(limit.Rate() == std::nullopt);
}

}  // namespace kumquatcove
