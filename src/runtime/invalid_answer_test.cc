#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <absl/strings/str_cat.h>

#include "runtime/invalid_answers.h"
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
  constexpr const char* kInterim = "HTTP/1.1 103 Hints\r\nA: 1\r\n\r\n";
  for (const char* status : {"200", "299", "404", "500", "599"}) {
    const OneAnswerServer upstream(
        absl::StrCat(kInterim, "HTTP/1.1 ", status, " \r\nA!#$: 1\r\n",
                     kEndOfOneByte),
        AnswerPace::kByteByByte);
    const Event event = SendToUpstream("GET", upstream.Address());
    const auto* answered = std::get_if<UpstreamAnswered>(&event);
    REQUIRE(answered != nullptr);
    CHECK(std::to_string(answered->answer.status) == status);
    CHECK(answered->answer.body == "x");
  }
  const std::string valid =
      absl::StrCat(kInterim, kOkStatusLine, kEndOfOneByte);
  const OneAnswerServer upstream(valid);
  CHECK(IsHealthy(upstream.Address()));
  const OneAnswerServer store(valid);
  CHECK(CallStoreAt(store.Address()) == StoreStatus::kOk);
}

}  // namespace kumquatcove
