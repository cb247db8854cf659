#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "runtime/metrics.h"
#include "runtime/one_answer_server.h"
#include "runtime/store_client.h"
#include "runtime/system_clock.h"
#include "runtime/test_support.h"
#include "runtime/upstream_client.h"

namespace kumquatcove {
namespace {

constexpr ConnectionId kConnection{1};
constexpr Duration kTimeout = Seconds(2);
const std::string kOk = "HTTP/1.1 200 OK\r\n";
const std::string kRest = "Content-Length: 1\r\n\r\nx";

/** Returns answers whose status line is invalid. */
std::vector<std::string> MakeInvalidStatusLines() {
  std::vector<std::string> answers;
  for (const std::string version : {"HTTP/1.1 ", "HTTP/1.0 "}) {
    for (const std::string status :
         {"000", "001", "099", "0", "00", "20", "600", "999", "2000", "-20",
          "+20", "2 0", "20x", "0x1", ""}) {
      answers.push_back(version + status + " Odd\r\n" + kRest);
      answers.push_back(version + status + " Odd\r\n\r\nx");
    }
  }
  return answers;
}

/** Returns header lines whose name is invalid. */
std::vector<std::string> MakeInvalidHeaders() {
  return {"A B: 1\r\n",   "A : 1\r\n",    "A\t: 1\r\n",
          " A: 1\r\n",    "\tA: 1\r\n",   "Content-Length : 1\r\n",
          "A\x01: 1\r\n", "\x1f: 1\r\n",  std::string("A\0B: 1\r\n", 8),
          "A\x7f: 1\r\n", "A\x80: 1\r\n", "A\r: 1\r\n",
          "A\n: 1\r\n",   "A(B): 1\r\n",  ": 1\r\n",
          "A\r\n"};
}

/** Returns answers that are invalid before the end of their head. */
std::vector<std::string> MakeInvalidHeads() {
  std::vector<std::string> answers = MakeInvalidStatusLines();
  for (const std::string& header : MakeInvalidHeaders()) {
    answers.push_back(kOk + header + kRest);
    answers.push_back(kOk + "A: 1\r\n" + header + kRest);
    answers.push_back("HTTP/1.0 200 OK\r\n" + header + kRest);
    answers.push_back(kOk + header + "\r\nx");
    answers.push_back("HTTP/1.1 103 Hints\r\n" + header + "\r\n" + kOk + kRest);
  }
  return answers;
}

std::vector<std::string> MakeInvalidAnswers() {
  std::vector<std::string> answers = MakeInvalidHeads();
  for (const std::string& header : MakeInvalidHeaders()) {
    answers.push_back(kOk +
                      "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n" +
                      header + "\r\n");
  }
  return answers;
}

/** A thread with events, for one exchange. */
struct Exchange {
  Exchange() { io.Start(); }
  ~Exchange() { io.Stop(); }
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  LinkDelays delays{ZoneName("a"), std::nullopt};
  Metrics metrics;
  RecordingEvents events;
  IoThread io;
};

/** Sends a request to an upstream and returns what ends the exchange. */
Event SendToUpstream(const std::string& method, const std::string& address) {
  Exchange exchange;
  UpstreamClient client(exchange.io, exchange.events, exchange.delays,
                        MakeNativeDialect().upstreams);
  exchange.io.Post([&] {
    client.Open({kConnection, UpstreamId("u"), address});
  });
  REQUIRE(exchange.events.Get<ConnectionOpened>(0).has_value());
  SendUpstream effect{
      kConnection, ReadSystemClock().monotonic + kTimeout, kTimeout, {}};
  effect.http.method = method;
  effect.http.target = "/";
  exchange.io.Post([&] { client.Send(effect); });
  REQUIRE(exchange.events.WaitForCount(2));
  exchange.io.Stop();
  return exchange.events.Values()[1];
}

/** Returns whether a health check finds an upstream healthy. */
bool IsHealthy(const std::string& address) {
  Exchange exchange;
  UpstreamClient client(exchange.io, exchange.events, exchange.delays,
                        MakeNativeDialect().upstreams);
  exchange.io.Post([&] { client.Probe({UpstreamId("u"), address}); });
  const auto completed = exchange.events.Get<ProbeCompleted>(0);
  exchange.io.Stop();
  REQUIRE(completed.has_value());
  return completed->healthy;
}

/** Returns how a call to the store ends. */
StoreStatus CallStoreAt(const std::string& address) {
  Exchange exchange;
  StoreClient client(exchange.io, exchange.events, exchange.delays,
                     exchange.metrics, MakeNativeDialect().store, address);
  exchange.io.Post([&] {
    client.Call({StoreRequestId{1}, ObjectGet{"k"}, kTimeout});
  });
  const auto reply = exchange.events.Get<StoreReplyArrived>(0);
  exchange.io.Stop();
  REQUIRE(reply.has_value());
  return reply->reply.status;
}

}  // namespace

// Guards against bytes that are no answer, from a server in trouble, that a
// caller gets as an answer.
TEST_CASE("An upstream's invalid answer breaks its connection") {
  for (const std::string& bytes : MakeInvalidAnswers()) {
    CAPTURE(bytes);
    for (const AnswerPace pace :
         {AnswerPace::kAtOnce, AnswerPace::kByteByByte}) {
      const OneAnswerServer upstream(bytes, pace);
      const Event event = SendToUpstream("GET", upstream.Address());
      const auto* lost = std::get_if<ConnectionLost>(&event);
      REQUIRE(lost != nullptr);
      // The upstream may have run the request.
      CHECK_FALSE(lost->unwritten);
    }
  }
}

TEST_CASE("An upstream's invalid answer to HEAD breaks its connection") {
  for (const std::string& bytes : MakeInvalidHeads()) {
    CAPTURE(bytes);
    const OneAnswerServer upstream(bytes);
    const Event event = SendToUpstream("HEAD", upstream.Address());
    CHECK(std::holds_alternative<ConnectionLost>(event));
  }
}

TEST_CASE("An upstream that answers a health check invalidly isn't healthy") {
  for (const std::string& bytes : MakeInvalidAnswers()) {
    CAPTURE(bytes);
    const OneAnswerServer upstream(bytes);
    CHECK_FALSE(IsHealthy(upstream.Address()));
  }
}

TEST_CASE("The effect of a call that the store answers invalidly is unknown") {
  for (const std::string& bytes : MakeInvalidAnswers()) {
    CAPTURE(bytes);
    const OneAnswerServer store(bytes);
    CHECK(CallStoreAt(store.Address()) == StoreStatus::kUnknown);
  }
}

TEST_CASE("A valid answer is read by each of them") {
  const std::string interim = "HTTP/1.1 103 Hints\r\nA: 1\r\n\r\n";
  for (const std::string status : {"200", "299", "404", "500", "599"}) {
    const OneAnswerServer upstream(
        interim + "HTTP/1.1 " + status + " \r\nA!#$: 1\r\n" + kRest,
        AnswerPace::kByteByByte);
    const Event event = SendToUpstream("GET", upstream.Address());
    const auto* answered = std::get_if<UpstreamAnswered>(&event);
    REQUIRE(answered != nullptr);
    CHECK(std::to_string(answered->answer.status) == status);
    CHECK(answered->answer.body == "x");
  }
  const OneAnswerServer upstream(interim + kOk + kRest);
  CHECK(IsHealthy(upstream.Address()));
  const OneAnswerServer store(interim + kOk + kRest);
  CHECK(CallStoreAt(store.Address()) == StoreStatus::kOk);
}

}  // namespace kumquatcove
