#include "runtime/daemon.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <thread>

#include <boost/json/serialize.hpp>

#include "base/random.h"
#include "runtime/caller_api.h"
#include "runtime/operator_api.h"
#include "runtime/system_clock.h"
#include "runtime/test_support.h"

namespace kumquatcove {
namespace {

constexpr const char* kToken = "a-token-of-22-letters-";

/** Returns a port that is currently unused. */
std::uint16_t FreePort() {
  boost::asio::io_context context;
  const boost::asio::ip::tcp::acceptor acceptor(
      context, {boost::asio::ip::make_address("127.0.0.1"), 0});
  return acceptor.local_endpoint().port();
}

std::string AddressOf(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

/** Returns fixed effects for each kind of event, in place of the reducer. */
class FakeReducer {
 public:
  std::vector<Effect> Reduce(const Event& event) const {
    return std::visit([this](const auto& e) { return On(e); }, event);
  }

  std::atomic<bool> exit = false;
  std::atomic<bool> answers = true;
  /** Set before the first request. */
  std::string body = "body";
  /** Time that an exit leaves for answers. */
  Duration exit_time = Seconds(10);
  mutable Recorder<Event> seen;

 private:
  std::vector<Effect> On(const Tick& /*event*/) const {
    return exit ? std::vector<Effect>{Exit{ReadSystemClock().monotonic +
                                           exit_time}}
                : std::vector<Effect>{};
  }

  std::vector<Effect> On(const RequestArrived& event) const {
    seen.Add(event);
    if (!answers) {
      return {};
    }
    CallerAnswer ran{Outcome::kRan, RefusalReason::kNone, {201, {}, body}};
    CallerAnswer late{Outcome::kUnknown, RefusalReason::kNone, {}};
    if (event.http.method != "GET") {
      ran = {Outcome::kDidNotRun, RefusalReason::kKeyReused, {}};
    }
    // The second answer must be ignored.
    return {AnswerCaller{event.request, ran},
            AnswerCaller{event.request, late}};
  }

  std::vector<Effect> On(const LookupArrived& event) const {
    LookupAnswer answer;
    if (event.service == "none") {
      answer.reason = RefusalReason::kUnknownService;
    } else {
      answer.entries = {{InstanceId("e1"), ZoneName("z"),
                         event.service + "@" + event.client_address}};
      answer.time_to_live = Seconds(1);
    }
    return {AnswerLookup{event.request, answer}};
  }

  std::vector<Effect> On(const OperatorCommandArrived& event) const {
    return {AnswerOperator{
        event.request,
        {OperatorResult::kConflict, event.operator_name.Text(), R"({"a":1})"}}};
  }

  template <class T>
  std::vector<Effect> On(const T& event) const {
    seen.Add(event);
    return {};
  }
};

/** A daemon with a fake reducer, run on its own thread. */
class DaemonFixture {
 public:
  DaemonFixture()
      : caller_port(FreePort()),
        operator_port(FreePort()),
        m_daemon(
            MakeSettings(),
            1,
            [this](const Event& event, ClockReading) {
              return reducer.Reduce(event);
            },
            MakeNativeDialect()),
        m_thread([this] { status = m_daemon.Run(); }) {}

  ~DaemonFixture() {
    reducer.exit = true;
    m_thread.join();
  }
  DaemonFixture(const DaemonFixture&) = delete;
  DaemonFixture& operator=(const DaemonFixture&) = delete;

  /** Sends `input` and reads until `wanted` was received or the connection
   * ends. */
  static std::string Exchange(std::uint16_t port,
                              const std::string& input,
                              const std::string& wanted) {
    RawClient client(port);
    client.Send(input);
    return client.ReadUntil(wanted);
  }

  const std::uint16_t caller_port;
  const std::uint16_t operator_port;
  FakeReducer reducer;
  std::atomic<int> status = -1;

 private:
  Settings MakeSettings() const {
    Settings settings;
    settings.instance = InstanceId("e1");
    settings.zone = ZoneName("z");
    settings.caller_address = AddressOf(caller_port);
    settings.operator_address = AddressOf(operator_port);
    settings.peer_address = AddressOf(FreePort());
    settings.platform_address = "127.0.0.1:1";
    settings.seeds = std::vector<SeedSettings>{{InstanceId("e2"),
                                                RegionName("r"), ZoneName("z"),
                                                "127.0.0.1:1", "127.0.0.1:1"}};
    settings.operators = {{OperatorName("ana"), kToken}};
    return settings;
  }

  Daemon m_daemon;
  std::thread m_thread;
};

std::string Command(const std::string& token, const std::string& body) {
  return "POST /operator/v1/command HTTP/1.1\r\nHost: h\r\nAuthorization: "
         "Bearer " +
         token + "\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

}  // namespace

TEST_CASE(
    "The reducer receives Started first and then the seeds, before any other "
    "event") {
  DaemonFixture daemon;
  REQUIRE(daemon.reducer.seen.WaitForCount(2));
  const std::vector<Event> events = daemon.reducer.seen.Values();
  CHECK(std::holds_alternative<Started>(events[0]));
  CHECK(std::get<InstanceListArrived>(events[1]).instances.at(0).instance ==
        InstanceId("e2"));
}

TEST_CASE("A caller receives exactly one answer, with outcome and request id") {
  DaemonFixture daemon;
  RawClient client(daemon.caller_port);
  client.Send("GET /vitrina/1 HTTP/1.1\r\nHost: h\r\n\r\n");
  std::string read = client.ReadUntil("body");
  CHECK(read.rfind("HTTP/1.1 201", 0) == 0);
  CHECK(read.find("Kumquatcove-Outcome: ran") != std::string::npos);
  CHECK(read.find("Kumquatcove-Request-Id: ") != std::string::npos);
  client.Send("POST /caja/1 HTTP/1.1\r\nHost: h\r\n\r\n");
  read = client.ReadUntil("idempotency-key-reused\"}");
  CHECK(read.find("HTTP/1.1 409") != std::string::npos);
  CHECK(read.find("Kumquatcove-Outcome: did-not-run") != std::string::npos);
  CHECK(read.find("unknown") == std::string::npos);
}

TEST_CASE("Steering headers are removed from the forwarded headers") {
  DaemonFixture daemon;
  DaemonFixture::Exchange(
      daemon.caller_port,
      "GET /x HTTP/1.1\r\nHost: shop\r\nKumquatcove-Service: C1\r\n"
      "Idempotency-Key: k\r\nKumquatcove-Deadline-Ms: 250\r\n"
      "Connection: keep-alive\r\nA: 1\r\n\r\n",
      "body");
  const auto seen =
      std::get<RequestArrived>(daemon.reducer.seen.Values().back());
  CHECK(seen.http.host == "shop");
  CHECK(seen.http.service_code == "C1");
  CHECK(seen.http.idempotency_key == "k");
  CHECK(seen.http.deadline == Milliseconds(250));
  CHECK(seen.http.headers == std::vector<HttpHeader>{{"A", "1"}});
}

TEST_CASE("Headers named in Connection aren't forwarded") {
  DaemonFixture daemon;
  DaemonFixture::Exchange(
      daemon.caller_port,
      "GET /x HTTP/1.1\r\nHost: shop\r\nConnection: A, keep-alive\r\n"
      "A: 1\r\nB: 2\r\n\r\n",
      "body");
  const auto seen =
      std::get<RequestArrived>(daemon.reducer.seen.Values().back());
  CHECK(seen.http.headers == std::vector<HttpHeader>{{"B", "2"}});
}

TEST_CASE("An invalid deadline is refused as did-not-run before the reducer") {
  DaemonFixture daemon;
  const std::string read = DaemonFixture::Exchange(
      daemon.caller_port,
      "GET /x HTTP/1.1\r\nHost: h\r\nKumquatcove-Deadline-Ms: 1e3\r\n\r\n",
      "}");
  CHECK(read.rfind("HTTP/1.1 400", 0) == 0);
  CHECK(read.find("Kumquatcove-Outcome: did-not-run") != std::string::npos);
}

TEST_CASE("A caller that disconnects is reported to the reducer") {
  DaemonFixture daemon;
  daemon.reducer.answers = false;
  RawClient client(daemon.caller_port);
  client.Send("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(daemon.reducer.seen.WaitForCount(3));
  client.Close();
  REQUIRE(daemon.reducer.seen.WaitForCount(4));
  const std::vector<Event> events = daemon.reducer.seen.Values();
  CHECK(std::get<CallerGone>(events[3]).request ==
        std::get<RequestArrived>(events[2]).request);
}

TEST_CASE("Lookups return entries in order, or the error's status") {
  DaemonFixture daemon;
  const std::string found = DaemonFixture::Exchange(
      daemon.caller_port,
      "GET /kumquatcove/v1/entries?service=a%2Fb&client=10.0.0.1 "
      "HTTP/1.1\r\nHost: h\r\n\r\n",
      "ttl_ms");
  CHECK(found.find(R"({"entries":[{"instance":"e1","zone":"z",)"
                   R"("address":"a/b@10.0.0.1"}],"ttl_ms")") !=
        std::string::npos);
  const std::string missing = DaemonFixture::Exchange(
      daemon.caller_port,
      "GET /kumquatcove/v1/entries?service=none HTTP/1.1\r\nHost: h\r\n\r\n",
      "}");
  CHECK(missing.rfind("HTTP/1.1 404", 0) == 0);
}

TEST_CASE("Commands require a valid token and carry the operator's name") {
  DaemonFixture daemon;
  const std::string body =
      boost::json::serialize(ToJson(OperatorCommand(StatusCommand{})));
  CHECK(
      DaemonFixture::Exchange(daemon.operator_port, Command("wrong", body), "}")
          .rfind("HTTP/1.1 401", 0) == 0);
  const std::string answer = DaemonFixture::Exchange(
      daemon.operator_port, Command(kToken, body), "document");
  CHECK(answer.rfind("HTTP/1.1 409", 0) == 0);
  CHECK(answer.find(R"("message":"ana")") != std::string::npos);
  CHECK(DaemonFixture::Exchange(daemon.operator_port,
                                Command(kToken, R"({"bogus":{}})"), "}")
            .rfind("HTTP/1.1 400", 0) == 0);
}

TEST_CASE("Health, status and metrics are readable without a token") {
  DaemonFixture daemon;
  const auto get = [&](const std::string& path, const std::string& wanted) {
    return DaemonFixture::Exchange(
        daemon.operator_port, "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n",
        wanted);
  };
  CHECK(get("/healthz", "ok\n").rfind("HTTP/1.1 200", 0) == 0);
  CHECK(get("/status", R"({"a":1})").find(R"({"a":1})") != std::string::npos);
  CHECK(get("/metrics", "event_backlog ").find("kumquatcove_event_backlog ") !=
        std::string::npos);
  CHECK(get("/operator", "}").rfind("HTTP/1.1 404", 0) == 0);
}

TEST_CASE("An exit waits until a slow caller has read its answer") {
  std::optional<DaemonFixture> daemon(std::in_place);
  daemon->reducer.body = std::string(12U << 20U, 'x') + "end";
  RawClient client(daemon->caller_port);
  client.Send("GET /vitrina/1 HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(daemon->reducer.seen.WaitForCount(3));
  std::string read;
  std::thread reader([&] {
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    client.ReadToEnd();
    read = client.ReadUntil("end");
  });
  daemon.reset();
  reader.join();
  CHECK(read.ends_with("end"));
}

TEST_CASE("An exit ends at its limit though a request has no answer") {
  std::optional<DaemonFixture> daemon(std::in_place);
  daemon->reducer.answers = false;
  daemon->reducer.exit_time = Milliseconds(200);
  RawClient client(daemon->caller_port);
  client.Send("GET /vitrina/1 HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(daemon->reducer.seen.WaitForCount(3));
  const MonotonicTime begin = ReadSystemClock().monotonic;
  daemon.reset();
  CHECK(ReadSystemClock().monotonic - begin < Seconds(5));
}

TEST_CASE("A second SIGTERM does not cut a stop short") {
  DaemonFixture daemon;
  REQUIRE(daemon.reducer.seen.WaitForCount(2));
  std::raise(SIGTERM);
  REQUIRE(daemon.reducer.seen.WaitForCount(3));
  std::raise(SIGTERM);
  std::raise(SIGHUP);
  // Each exchange passes the thread that handles the signals.
  for (int i = 0; i < 3; ++i) {
    const std::string answer = DaemonFixture::Exchange(
        daemon.caller_port, "GET /vitrina/1 HTTP/1.1\r\nHost: h\r\n\r\n",
        "body");
    CHECK(answer.starts_with("HTTP/1.1 201"));
  }
  const std::vector<Event> events = daemon.reducer.seen.Values();
  CHECK(std::count_if(events.begin(), events.end(), [](const Event& event) {
          return std::holds_alternative<StopRequested>(event);
        }) == 1);
}

TEST_CASE("Random input on both ports does not stop the daemon") {
  DaemonFixture daemon;
  const std::string valid = Command(kToken, R"({"status":{}})");
  Random random(20261204);
  for (int trial = 0; trial < 200; ++trial) {
    std::string input = valid;
    for (std::uint64_t edits = random.NextBelow(8); edits > 0; --edits) {
      input[random.NextBelow(input.size())] =
          static_cast<char>(random.NextBelow(256));
    }
    RawClient client(trial % 2 == 0 ? daemon.caller_port
                                    : daemon.operator_port);
    client.Send(input);
    client.Close();
  }
  CHECK(DaemonFixture::Exchange(daemon.caller_port,
                                "GET /x HTTP/1.1\r\nHost: h\r\n\r\n", "body")
            .rfind("HTTP/1.1 201", 0) == 0);
}

TEST_CASE("Every refusal reason has a status from 400 to 504") {
  for (const auto& row : EnumNames(RefusalReason{})) {
    CHECK(StatusOfReason(row.value) >= 400);
    CHECK(StatusOfReason(row.value) <= 504);
  }
}

TEST_CASE("Secrets of equal length but different content differ") {
  CHECK(IsSameSecret("abcd", "abcd"));
  CHECK_FALSE(IsSameSecret("abcd", "abce"));
  CHECK_FALSE(IsSameSecret("abcd", "abc"));
}

}  // namespace kumquatcove
