#include "runtime/upstream_client.h"

#include <array>
#include <chrono>
#include <future>
#include <memory>
#include <thread>

#include <doctest/doctest.h>

#include "runtime/http_fields.h"
#include "runtime/stalled_server.h"
#include "runtime/system_clock.h"
#include "runtime/test_support.h"

namespace kumquatcove {
namespace {

constexpr ConnectionId kConnection{1};

/** An upstream client connected to a scripted upstream. */
struct UpstreamFixture {
  explicit UpstreamFixture(ScriptedHandler::Script script)
      : upstream(std::move(script)),
        client(io, events, delays, MakeNativeDialect().upstreams) {
    io.Start();
  }
  ~UpstreamFixture() { io.Stop(); }
  UpstreamFixture(const UpstreamFixture&) = delete;
  UpstreamFixture& operator=(const UpstreamFixture&) = delete;

  void Open() {
    io.Post([this] {
      client.Open({kConnection, UpstreamId("u"), upstream.Address()});
    });
    REQUIRE(events.Get<ConnectionOpened>(0).has_value());
  }

  void Send(Duration time_left, std::string key = "") {
    SendUpstream effect{kConnection,
                        ReadSystemClock().monotonic + time_left,
                        Milliseconds(700),
                        {}};
    effect.http.method = "POST";
    effect.http.target = "/x";
    effect.http.idempotency_key = std::move(key);
    effect.http.body = "b";
    io.Post([this, effect] { client.Send(effect); });
  }

  ScriptedServer upstream;
  IoThread io;
  RecordingEvents events;
  LinkDelays delays{ZoneName("a"), std::nullopt};
  UpstreamClient client;
};

/** An upstream client connected to an upstream that doesn't read. */
struct StalledUpstreamFixture {
  StalledUpstreamFixture()
      : client(io, events, delays, MakeNativeDialect().upstreams) {
    io.Start();
    io.Post([this] {
      client.Open({kConnection, UpstreamId("u"), upstream.Address()});
    });
    REQUIRE(events.Get<ConnectionOpened>(0).has_value());
    upstream.Accept();
  }
  ~StalledUpstreamFixture() { io.Stop(); }
  StalledUpstreamFixture(const StalledUpstreamFixture&) = delete;
  StalledUpstreamFixture& operator=(const StalledUpstreamFixture&) = delete;

  static SendUpstream MakePost(std::size_t body_bytes) {
    SendUpstream effect;
    effect.connection = kConnection;
    effect.send_before = ReadSystemClock().monotonic + Seconds(60);
    effect.http.method = "POST";
    effect.http.target = "/";
    effect.http.body = std::string(body_bytes, 'b');
    return effect;
  }

  StalledServer upstream;
  IoThread io;
  RecordingEvents events;
  LinkDelays delays{ZoneName("a"), std::nullopt};
  UpstreamClient client;
};

std::optional<HttpAnswer> AnswerOk(const HttpRequest&) {
  return HttpAnswer{200, {{"X-A", "1"}}, "done"};
}

}  // namespace

TEST_CASE(
    "An upstream receives deadline and idempotency key, and its complete "
    "answer is returned") {
  UpstreamFixture fixture(AnswerOk);
  fixture.Open();
  fixture.Send(Seconds(5), "key-1");
  const auto answered = fixture.events.Get<UpstreamAnswered>(1);
  REQUIRE(answered.has_value());
  CHECK(answered->answer.body == "done");
  CHECK(answered->keep_alive);
  CHECK_FALSE(answered->draining);
  const HttpRequest seen = fixture.upstream.handler.requests.Values().at(0);
  CHECK(FindHeader(seen.headers, "Kumquatcove-Deadline-Ms") == "700");
  CHECK(FindHeader(seen.headers, "Idempotency-Key") == "key-1");
  CHECK(seen.body == "b");
}

TEST_CASE(
    "A request whose send deadline has passed is not written, since the "
    "process "
    "may have been paused") {
  UpstreamFixture fixture(AnswerOk);
  fixture.Open();
  fixture.Send(Duration::zero());
  CHECK(fixture.events.Get<ConnectionLost>(1).has_value());
  CHECK(fixture.upstream.handler.requests.Values().empty());
}

TEST_CASE("Shedding and draining answers are recognized") {
  UpstreamFixture fixture([](const HttpRequest&) {
    return std::optional(HttpAnswer{
        503, {{"X-Not-Executed", "true"}, {"X-Draining", "true"}}, ""});
  });
  fixture.Open();
  fixture.Send(Seconds(5));
  const auto answered = fixture.events.Get<UpstreamAnswered>(1);
  REQUIRE(answered.has_value());
  CHECK(answered->not_executed);
  CHECK(answered->draining);
}

TEST_CASE("No event is reported for a connection after it was closed") {
  UpstreamFixture fixture(
      [](const HttpRequest&) { return std::optional<HttpAnswer>(); });
  fixture.Open();
  fixture.Send(Seconds(5));
  REQUIRE(fixture.upstream.handler.requests.WaitForCount(1));
  fixture.io.Post([&] { fixture.client.Close(kConnection); });
  REQUIRE(fixture.upstream.handler.disconnected.WaitForCount(1));
  CHECK(fixture.events.Values().size() == 1);
}

TEST_CASE("A refused connection is reported as lost") {
  UpstreamFixture fixture(AnswerOk);
  fixture.io.Post([&] {
    fixture.client.Open({kConnection, UpstreamId("u"), "127.0.0.1:1"});
  });
  CHECK(fixture.events.Get<ConnectionLost>(0).has_value());
}

TEST_CASE(
    "Hostile targets and headers from a peer cannot change the structure "
    "of a request") {
  UpstreamFixture fixture(AnswerOk);
  fixture.Open();
  SendUpstream effect{
      kConnection, ReadSystemClock().monotonic + Seconds(5), Seconds(1), {}};
  effect.http.method = "GET";
  effect.http.target = "/x";
  effect.http.headers = {{"A", "1\r\nInjected: 1"}, {"B C", "1"}, {"D", "1"}};
  fixture.io.Post([&] { fixture.client.Send(effect); });
  REQUIRE(fixture.events.Get<UpstreamAnswered>(1).has_value());
  const auto seen = fixture.upstream.handler.requests.Values().at(0).headers;
  CHECK(FindHeader(seen, "D") == "1");
  CHECK(FindHeader(seen, "A").empty());
  CHECK(FindHeader(seen, "Injected").empty());
  effect.http.target = "/x HTTP/1.1\r\n\r\nGET /y";
  fixture.io.Post([&] { fixture.client.Send(effect); });
  CHECK(fixture.events.Get<ConnectionLost>(2).has_value());
  CHECK(fixture.upstream.handler.requests.Values().size() == 1);
}

TEST_CASE("A probe reports health, draining and load") {
  UpstreamFixture fixture([](const HttpRequest& request) {
    const bool health = request.target == "/health";
    return std::optional(HttpAnswer{
        200, {}, health ? R"({"draining":true})" : R"({"in_flight":3})"});
  });
  const auto probe = [&](std::string address) {
    fixture.io.Post([&fixture, address = std::move(address)] {
      fixture.client.Probe({UpstreamId("u"), address});
    });
  };
  probe(fixture.upstream.Address());
  CHECK(fixture.events.Get<ProbeCompleted>(0) ==
        ProbeCompleted{UpstreamId("u"), true, true, 3});
  probe("127.0.0.1:1");
  CHECK(fixture.events.Get<ProbeCompleted>(1) ==
        ProbeCompleted{UpstreamId("u"), false, false, 0});
}

// Guards against mixed-up answers (MIXED): a second answer to an earlier
// request that arrives where the answer to the next request is expected.
TEST_CASE("An answer that belongs to an earlier request is skipped") {
  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor acceptor(
      context, {boost::asio::ip::make_address("127.0.0.1"), 0});
  std::thread upstream([&] {
    boost::asio::ip::tcp::socket socket(context);
    acceptor.accept(socket);
    std::array<char, 4096> buffer{};
    socket.read_some(boost::asio::buffer(buffer));
    const std::string answers =
        "HTTP/1.1 200 OK\r\nX-Id: old\r\nContent-Length: 1\r\n\r\nA"
        "HTTP/1.1 200 OK\r\nX-Id: new\r\nContent-Length: 1\r\n\r\nB";
    boost::asio::write(socket, boost::asio::buffer(answers));
    boost::system::error_code ignored;
    socket.read_some(boost::asio::buffer(buffer), ignored);
  });
  IoThread io;
  RecordingEvents events;
  LinkDelays delays{ZoneName("a"), std::nullopt};
  UpstreamDialect dialect = MakeNativeDialect().upstreams;
  dialect.belongs = [](const std::string& attempt, const HttpAnswer& answer) {
    return FindHeader(answer.headers, "X-Id") == attempt;
  };
  UpstreamClient client(io, events, delays, dialect);
  io.Start();
  io.Post([&] {
    client.Open(
        {kConnection, UpstreamId("u"),
         "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port())});
  });
  REQUIRE(events.Get<ConnectionOpened>(0).has_value());
  SendUpstream effect;
  effect.connection = kConnection;
  effect.send_before = ReadSystemClock().monotonic + Seconds(5);
  effect.http.method = "GET";
  effect.http.target = "/";
  effect.attempt = "new";
  io.Post([&] { client.Send(effect); });
  const auto answered = events.Get<UpstreamAnswered>(1);
  REQUIRE(answered.has_value());
  CHECK(answered->answer.body == "B");
  CHECK_FALSE(answered->keep_alive);
  io.Stop();
  upstream.join();
}

TEST_CASE(
    "A connection lost before the request was written is reported as "
    "unwritten") {
  UpstreamFixture fixture(AnswerOk);
  fixture.Open();
  fixture.Send(Duration::zero());
  const auto lost = fixture.events.Get<ConnectionLost>(1);
  REQUIRE(lost.has_value());
  CHECK(lost->unwritten);
}

// Guards against stale sends (EVAC): a request that was written during a cut
// and given up was delivered after it, seconds after its caller's answer.
TEST_CASE("A request that was given up isn't delivered later") {
  StalledServer upstream;
  RecordingEvents events;
  const LinkDelays delays{ZoneName("a"), std::nullopt};
  IoThread io;
  auto client = std::make_unique<UpstreamClient>(io, events, delays,
                                                 MakeNativeDialect().upstreams);
  io.Start();
  io.Post([&] {
    client->Open({kConnection, UpstreamId("u"), upstream.Address()});
  });
  REQUIRE(events.Get<ConnectionOpened>(0).has_value());
  upstream.Accept();
  SendUpstream effect;
  effect.connection = kConnection;
  effect.send_before = ReadSystemClock().monotonic + Seconds(5);
  effect.http.method = "POST";
  effect.http.target = "/";
  effect.http.body = std::string(StalledServer::kHeldBytes, 'b');
  io.Post([&] { client->Send(effect); });
  SUBCASE("closed by the reducer") {
    io.Post([&] { client->Close(kConnection); });
  }
  SUBCASE("the instance stops") {}
  std::promise<void> executed;
  io.Post([&] { executed.set_value(); });
  executed.get_future().wait();
  io.Stop();
  client.reset();
  const ReceivedBytes received = upstream.ReadToEnd();
  CHECK(received.end == ConnectionEnd::kReset);
  CHECK(received.count < StalledServer::kHeldBytes);
}

// Guards against a part of an answer that is passed on as a whole one, and
// against a repeat of a request that the upstream may have run.
TEST_CASE("A request whose early answer is reset may have run") {
  // More than the kernel takes for one connection.
  constexpr std::size_t kLargeBytes = 32U << 20U;
  StalledUpstreamFixture fixture;
  std::promise<void> sent;
  fixture.io.Post([&] {
    fixture.client.Send(StalledUpstreamFixture::MakePost(kLargeBytes));
    sent.set_value();
  });
  sent.get_future().wait();
  fixture.upstream.Write("HTTP/1.1 200 OK\r\n\r\npart");
  std::this_thread::sleep_for(std::chrono::milliseconds(20));
  fixture.upstream.Reset();
  const auto lost = fixture.events.Get<ConnectionLost>(1);
  REQUIRE(lost.has_value());
  CHECK_FALSE(lost->unwritten);
}

// Guards against requests that are written although the upstream has already
// closed the connection, whose callers can't be told that they have not run,
// and against an unsolicited answer that is taken for the next one (MIXED).
TEST_CASE("A request isn't written if its connection has become readable") {
  StalledUpstreamFixture fixture;
  // The send is executed before the IoThread notices the change.
  std::promise<void> busy;
  std::promise<void> changed;
  fixture.io.Post([&] {
    busy.set_value();
    changed.get_future().wait();
    fixture.client.Send(StalledUpstreamFixture::MakePost(0));
  });
  busy.get_future().wait();
  SUBCASE("the upstream has closed it") {
    fixture.upstream.Close();
  }
  SUBCASE("the upstream has sent an answer") {
    fixture.upstream.Write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  }
  changed.set_value();
  const auto lost = fixture.events.Get<ConnectionLost>(1);
  REQUIRE(lost.has_value());
  CHECK(lost->unwritten);
}

}  // namespace kumquatcove
