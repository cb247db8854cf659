#include "runtime/store_client.h"

#include <doctest/doctest.h>

#include <atomic>

#include "runtime/test_support.h"

namespace kumquatcove {
namespace {

/** A store client connected to a scripted platform. */
struct StoreFixture {
  explicit StoreFixture(ScriptedHandler::Script script)
      : platform(std::move(script)),
        client(io,
               events,
               delays,
               metrics,
               MakeNativeDialect().store,
               platform.Address()) {
    io.Start();
  }
  ~StoreFixture() { io.Stop(); }
  StoreFixture(const StoreFixture&) = delete;
  StoreFixture& operator=(const StoreFixture&) = delete;

  void Get(std::uint64_t id, Duration timeout) {
    io.Post([this, id, timeout] {
      client.Call({StoreRequestId{id}, ObjectGet{"k"}, timeout});
    });
  }

  StoreStatus StatusOf(std::size_t index) const {
    const auto event = events.Get<StoreReplyArrived>(index);
    REQUIRE(event.has_value());
    return event->reply.status;
  }

  ScriptedServer platform;
  IoThread io;
  RecordingEvents events;
  LinkDelays delays{ZoneName("a"), std::nullopt};
  Metrics metrics;
  StoreClient client;
};

}  // namespace

TEST_CASE("A reply and a refusal reach the caller with their status") {
  std::atomic<std::int32_t> status = 200;
  StoreFixture fixture([&](const HttpRequest&) {
    HttpAnswer answer;
    answer.status = status;
    answer.body = "x";
    return std::optional(answer);
  });
  fixture.Get(1, Seconds(5));
  CHECK(fixture.StatusOf(0) == StoreStatus::kOk);
  status = 503;
  fixture.Get(2, Seconds(5));
  CHECK(fixture.StatusOf(1) == StoreStatus::kRefused);
}

TEST_CASE(
    "After a stalled connection the call is unknown and the next call "
    "succeeds on a new connection") {
  std::atomic<int> count = 0;
  StoreFixture fixture([&](const HttpRequest&) {
    return ++count == 1 ? std::nullopt
                        : std::optional(HttpAnswer{200, {}, "x"});
  });
  fixture.Get(1, Milliseconds(50));
  CHECK(fixture.StatusOf(0) == StoreStatus::kUnknown);
  fixture.Get(2, Seconds(5));
  CHECK(fixture.StatusOf(1) == StoreStatus::kOk);
  CHECK(fixture.platform.handler.disconnected.WaitForCount(1));
}

// Guards against calls on idle connections that stalled together with the
// active one.
TEST_CASE("A call that requests a fresh connection closes the idle ones") {
  StoreFixture fixture([](const HttpRequest&) {
    return std::optional(HttpAnswer{200, {}, "x"});
  });
  fixture.Get(1, Seconds(5));
  CHECK(fixture.StatusOf(0) == StoreStatus::kOk);
  fixture.Get(2, Seconds(5));
  CHECK(fixture.StatusOf(1) == StoreStatus::kOk);
  CHECK(fixture.platform.server.AcceptedConnections() == 1);
  fixture.io.Post([&] {
    fixture.client.Call({StoreRequestId{3}, ObjectGet{"k"}, Seconds(5), true});
  });
  CHECK(fixture.StatusOf(2) == StoreStatus::kOk);
  CHECK(fixture.platform.server.AcceptedConnections() == 2);
}

TEST_CASE("Without a platform each call is answered once, as unknown") {
  IoThread io;
  RecordingEvents events;
  const LinkDelays delays(ZoneName("a"), std::nullopt);
  Metrics metrics;
  StoreClient client(io, events, delays, metrics, MakeNativeDialect().store,
                     "127.0.0.1:1");
  io.Start();
  io.Post([&] {
    client.Call({StoreRequestId{1}, StoreRead{{"k"}}, Milliseconds(200)});
  });
  const auto event = events.Get<StoreReplyArrived>(0);
  REQUIRE(event.has_value());
  CHECK(event->reply.status == StoreStatus::kUnknown);
  io.Stop();
}

TEST_CASE("The list of instances is reported, and an invalid one is ignored") {
  std::atomic<bool> broken = true;
  StoreFixture fixture([&](const HttpRequest&) {
    const std::string valid =
        R"({"instances":[{"instance":"e1","region":"r","zone":"z",
        "caller_address":"c","peer_address":"p","leaving":true}],
        "leaving_upstreams":["u1"]})";
    return std::optional(
        HttpAnswer{200, {}, broken ? std::string("{}") : valid});
  });
  fixture.io.Post([&] { fixture.client.FetchInstances(); });
  REQUIRE(fixture.platform.handler.requests.WaitForCount(1));
  fixture.Get(1, Seconds(5));
  REQUIRE(fixture.events.Get<StoreReplyArrived>(0).has_value());
  broken = false;
  fixture.io.Post([&] { fixture.client.FetchInstances(); });
  const auto list = fixture.events.Get<InstanceListArrived>(1);
  REQUIRE(list.has_value());
  CHECK(list->instances.at(0).leaving);
  CHECK(list->leaving_upstreams.at(0) == UpstreamId("u1"));
}

}  // namespace kumquatcove
