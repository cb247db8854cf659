#include "platform/stand_in/soak_ledger.h"

#include <string>
#include <vector>

#include <doctest/doctest.h>

namespace kumquatcove::stand_in {
namespace {

constexpr const char* kAddress = "127.1.1.1:1";
constexpr MonotonicTime kStop{Seconds(100)};

MonotonicTime At(std::int64_t ms) {
  return kStop + Milliseconds(ms);
}

/** A non-idempotent request whose times are relative to a SIGTERM. */
struct Exchange {
  std::int64_t sent = 0;
  bool all_is_sent = true;
  bool has_arrived = true;
  std::int64_t run_begin = 0;
  std::int64_t run_end = 0;
  RunEnd how = RunEnd::kPeerClosed;
  ExchangeEnd end = ExchangeEnd::kClosed;
  std::int32_t status = 0;
  std::int64_t ended = 0;
};

SoakLedger Play(const Exchange& exchange) {
  SoakLedger ledger;
  ledger.OnSignal(kAddress, "lima-a-1", InstanceSignal::kStarted, At(-60'000));
  ledger.OnSignal(kAddress, "lima-a-1", InstanceSignal::kTerm, At(0));
  // A further signal doesn't begin a grace time of its own.
  ledger.OnSignal(kAddress, "lima-a-1", InstanceSignal::kTerm, At(2'000));
  SentRequest request;
  request.address = kAddress;
  request.timeout = Seconds(5);
  request.deadline = Seconds(5);
  ledger.OnSent("a", request, At(exchange.sent));
  if (exchange.all_is_sent) {
    ledger.OnLastByte("a", At(exchange.sent));
  }
  if (exchange.has_arrived) {
    ledger.OnArrival("a", At(exchange.run_begin));
    ledger.OnRun("a", "freight", "/freight/1", At(exchange.run_begin));
    ledger.OnRunEnd("a", exchange.how, At(exchange.run_end));
  }
  ledger.OnAnswer("a", exchange.end, exchange.status, true, At(exchange.ended));
  return ledger;
}

bool IsLost(const Exchange& exchange) {
  return !Play(exchange).FindViolations().empty();
}

TEST_CASE("a request that is cut while its upstream works is lost") {
  CHECK(IsLost(
      {.sent = 1'000, .run_begin = 1'010, .run_end = 4'900, .ended = 4'900}));
  CHECK(IsLost({.sent = 3'100,
                .run_begin = 3'110,
                .run_end = 5'700,
                .end = ExchangeEnd::kReset,
                .ended = 5'700}));
  CHECK(IsLost(
      {.sent = -1'000, .run_begin = -990, .run_end = 2'000, .ended = 2'000}));
}

TEST_CASE("work in the last sixth of the grace time excuses early requests") {
  CHECK_FALSE(IsLost(
      {.sent = 2'900, .run_begin = 2'910, .run_end = 5'700, .ended = 5'700}));
}

TEST_CASE("a request at its deadline may be cut") {
  CHECK_FALSE(IsLost(
      {.sent = -500, .run_begin = -490, .run_end = 4'500, .ended = 4'500}));
}

TEST_CASE("a request whose upstream broke off may be cut") {
  CHECK_FALSE(IsLost({.sent = 1'000,
                      .run_begin = 1'010,
                      .run_end = 2'000,
                      .how = RunEnd::kBrokenOff,
                      .ended = 2'000}));
}

TEST_CASE("an answer that was made and isn't delivered whole is lost") {
  CHECK(IsLost({.sent = 3'000,
                .run_begin = 3'010,
                .run_end = 4'000,
                .how = RunEnd::kAnswered,
                .end = ExchangeEnd::kReset,
                .ended = 5'700}));
}

TEST_CASE("a request that was read and not passed on is lost after a while") {
  const Exchange read{.sent = 3'400, .has_arrived = false, .ended = 3'700};
  CHECK(IsLost(read));
  Exchange crossing = read;
  crossing.ended = 3'500;
  CHECK_FALSE(IsLost(crossing));
  Exchange unread = read;
  unread.end = ExchangeEnd::kReset;
  CHECK_FALSE(IsLost(unread));
  Exchange partial = read;
  partial.all_is_sent = false;
  CHECK_FALSE(IsLost(partial));
}

TEST_CASE("an error in place of an upstream that works counts as a cut") {
  Exchange replaced{.sent = 1'000,
                    .run_begin = 1'010,
                    .run_end = 3'700,
                    .end = ExchangeEnd::kAnswered,
                    .status = 504,
                    .ended = 3'701};
  CHECK(IsLost(replaced));
  replaced.how = RunEnd::kAnswered;
  CHECK_FALSE(IsLost(replaced));
}

TEST_CASE("bytes that are no valid answer are never excused") {
  CHECK_FALSE(IsLost({.has_arrived = false, .status = 0, .ended = 10}));
  CHECK(IsLost(
      {.has_arrived = false, .end = ExchangeEnd::kInvalid, .ended = 10}));
}

TEST_CASE("a freeze excuses the requests of its instance only") {
  const Exchange cut{
      .sent = 2'000, .run_begin = 2'010, .run_end = 4'000, .ended = 4'000};
  SoakLedger ledger = Play(cut);
  ledger.OnDisturbanceAt("127.1.1.2:1", At(-300), At(300));
  CHECK(ledger.FindViolations().size() == 1);
  ledger.OnDisturbanceAt(kAddress, At(-300), At(300));
  CHECK(ledger.FindViolations().empty());
}

TEST_CASE("a violation names the times of the request and the signals") {
  const std::vector<std::string> found =
      Play(
          {.sent = 1'000, .run_begin = 1'010, .run_end = 4'900, .ended = 4'901})
          .FindViolations();
  REQUIRE(found.size() == 1);
  for (const char* part :
       {"lima-a-1", "sent 1000, last byte 1000, reached upstream 1010",
        "run 1010 to 4900 (peer closed)", "connection closed 4901",
        "TERM 0 TERM 2000"}) {
    CHECK(found.front().find(part) != std::string::npos);
  }
}

}  // namespace
}  // namespace kumquatcove::stand_in
