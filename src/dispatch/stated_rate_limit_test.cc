#include "dispatch/stated_rate_limit.h"

#include <doctest/doctest.h>

#include <cmath>

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

TEST_CASE("A rate limit is learned from other instances, and so is its end") {
  StatedRateLimit limit;
  limit.OnAnswer(12.5, At(0), At(1000));
  StatedRateLimit other;
  CHECK(other.OnPeerReport(limit.Report(At(1050)), At(5050)));
  CHECK(other.Rate() == 12.5);
  // Its own answer is newer than what the other one knows.
  CHECK(other.OnAnswer(8, At(5000), At(5060)));
  CHECK_FALSE(other.OnPeerReport(limit.Report(At(1070)), At(5070)));
  CHECK(limit.OnAnswer(std::nullopt, At(1500), At(1600)));
  CHECK(other.OnPeerReport(limit.Report(At(1600)), At(5600)));
  CHECK(other.Rate() == std::nullopt);
}

TEST_CASE("A report that can't be true changes nothing") {
  StatedRateLimit limit;
  limit.OnAnswer(12.5, At(0), At(1000));
  CHECK_FALSE(limit.OnPeerReport({5, Milliseconds(-1)}, At(2000)));
  CHECK(limit.Rate() == 12.5);
  CHECK(limit.OnPeerReport({std::nan(""), Duration(0)}, At(2000)));
  CHECK(limit.Rate() == std::nullopt);
}

}  // namespace kumquatcove
