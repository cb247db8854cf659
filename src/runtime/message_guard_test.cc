#include "runtime/message_guard.h"

#include <doctest/doctest.h>

#include <stdexcept>
#include <string>

#include "runtime/caller_api.h"
#include "runtime/http_fields.h"
#include "runtime/system_clock.h"
#include "runtime/test_support.h"
#include "runtime/upstream_client.h"

namespace kumquatcove {
namespace {

constexpr ConnectionId kConnection{1};

std::optional<HttpAnswer> AnswerOk(const HttpRequest&) {
  return HttpAnswer{200, {}, "ok"};
}

[[noreturn]] void Throw() {
  throw std::invalid_argument("unexpected message");
}

/** An upstream client connected to an upstream that answers with 200. */
struct UpstreamFixture {
  explicit UpstreamFixture(UpstreamDialect dialect)
      : client(io, events, delays, std::move(dialect)) {
    io.Start();
    io.Post([this] {
      client.Open({kConnection, UpstreamId("u"), upstream.Address()});
    });
    REQUIRE(events.Get<ConnectionOpened>(0).has_value());
  }
  ~UpstreamFixture() { io.Stop(); }
  UpstreamFixture(const UpstreamFixture&) = delete;
  UpstreamFixture& operator=(const UpstreamFixture&) = delete;

  /** Sends a request and returns whether its connection is reported as lost. */
  bool LosesConnection(const std::string& method) {
    SendUpstream effect{
        kConnection, ReadSystemClock().monotonic + Seconds(5), Seconds(5), {}};
    effect.http.method = method;
    effect.http.target = "/x";
    effect.http.body = "b";
    io.Post([this, effect] { client.Send(effect); });
    return events.Get<ConnectionLost>(1).has_value();
  }

  ScriptedServer upstream{AnswerOk};
  IoThread io;
  RecordingEvents events;
  LinkDelays delays{ZoneName("a"), std::nullopt};
  UpstreamClient client;
};

/** A caller interface behind a server. */
struct CallerFixture {
  explicit CallerFixture(CallerDialect dialect)
      : api(io, events, metrics, ids, std::move(dialect), Duration::zero()) {
    api.AddServer(server);
    io.Start();
  }
  ~CallerFixture() { io.Stop(); }
  CallerFixture(const CallerFixture&) = delete;
  CallerFixture& operator=(const CallerFixture&) = delete;

  IoThread io;
  RecordingEvents events;
  Metrics metrics;
  RequestIdGenerator ids{InstanceId("e1"), 1};
  CallerApi api;
  RequestServer server{io, "127.0.0.1:0", {}, api};
};

constexpr std::string_view kRequest = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

}  // namespace

// Guards against a process that ends, with all requests in flight, because of
// one message whose handling throws.
TEST_CASE("A handler that throws fails its own request only") {
  TakeMessageFailures();
  const ScriptedServer server([](const HttpRequest& request) {
    if (request.target == "/bad") {
      Throw();
    }
    return AnswerOk(request);
  });
  RawClient client(server.server.Port());
  client.Send("GET /bad HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(client.ReadUntil("internal error").rfind("HTTP/1.1 500", 0) == 0);
  CHECK(client.ReadToEnd());
  RawClient next(server.server.Port());
  next.Send(kRequest);
  CHECK(next.ReadUntil("ok").rfind("HTTP/1.1 200", 0) == 0);
  CHECK(TakeMessageFailures() == 1);
}

TEST_CASE("A send or answer that throws loses its own connection only") {
  const UpstreamDialect native = MakeNativeDialect().upstreams;
  UpstreamDialect write = native;
  write.write_request = [](const SendUpstream&, HttpRequest&) { Throw(); };
  UpstreamDialect belongs = native;
  belongs.belongs = [](const std::string&, const HttpAnswer&) -> bool {
    Throw();
  };
  UpstreamDialect read = native;
  read.read_answer = [](const HttpAnswer&, UpstreamAnswered&) -> bool {
    Throw();
  };
  for (const UpstreamDialect& dialect : {write, belongs, read}) {
    TakeMessageFailures();
    CHECK(UpstreamFixture(dialect).LosesConnection("POST"));
    CHECK(TakeMessageFailures() == 1);
  }
  // Beast refuses to write TRACE with a body; such a request can come from
  // another instance.
  TakeMessageFailures();
  CHECK(UpstreamFixture(native).LosesConnection("TRACE"));
  CHECK(TakeMessageFailures() == 1);
}

TEST_CASE(
    "An answer that can't be written becomes an error with the request's "
    "id") {
  TakeMessageFailures();
  CallerDialect dialect = MakeNativeDialect().callers;
  dialect.write_refusal = [](const AnswerCaller&) -> HttpAnswer { Throw(); };
  CallerFixture fixture(dialect);
  RawClient client(fixture.server.Port());
  client.Send(kRequest);
  const auto arrived = fixture.events.Get<RequestArrived>(0);
  REQUIRE(arrived.has_value());
  AnswerCaller refusal;
  refusal.request = arrived->request;
  refusal.answer.outcome = Outcome::kDidNotRun;
  refusal.answer.reason = RefusalReason::kNotReady;
  fixture.io.Post([&] { fixture.api.Execute(refusal); });
  const std::string read = client.ReadUntil("internal error");
  CHECK(read.rfind("HTTP/1.1 502", 0) == 0);
  CHECK(read.find("Kumquatcove-Outcome: unknown") != std::string::npos);
  CHECK(read.find("Kumquatcove-Request-Id: " +
                  FormatRequestId(arrived->request)) != std::string::npos);
  CHECK(TakeMessageFailures() == 1);
}

TEST_CASE("A request that can't be read becomes an error") {
  TakeMessageFailures();
  CallerDialect dialect = MakeNativeDialect().callers;
  dialect.read_request = [](RequestArrived&) -> std::optional<RequestProblem> {
    Throw();
  };
  CallerFixture fixture(dialect);
  RawClient client(fixture.server.Port());
  client.Send(kRequest);
  const std::string read = client.ReadUntil("internal error");
  CHECK(read.rfind("HTTP/1.1 502", 0) == 0);
  CHECK(read.find("Kumquatcove-Request-Id: ") != std::string::npos);
  CHECK(TakeMessageFailures() == 1);
  CHECK(fixture.events.Values().empty());
}

}  // namespace kumquatcove
