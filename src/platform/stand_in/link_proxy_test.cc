#include "platform/stand_in/link_proxy.h"

#include <doctest/doctest.h>

#include <chrono>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include "emulator/http_server.h"
#include "emulator/steady_clock.h"
#include "platform/stand_in/soak_ledger.h"
#include "platform/stand_in/soak_run.h"
#include "runtime/http_connection.h"
#include "runtime/io_thread.h"
#include "runtime/stalled_server.h"

namespace kumquatcove::stand_in {
namespace {

/** Returns a loopback address with a port that the kernel chooses. */
boost::asio::ip::tcp::endpoint AnyPort() {
  return {boost::asio::ip::address_v4::loopback(), 0};
}
constexpr Duration kPatience = Milliseconds(400);

/** A server behind a proxy, and a client that asks one thing at a time. */
class ProxyBench {
 public:
  /** Without a port, the proxy passes everything on to a server that answers
   * each request. */
  explicit ProxyBench(std::uint16_t port = 0)
      : m_server(m_io.Context(),
                 AnyPort(),
                 [](const std::shared_ptr<emulator::HttpSession>& session) {
                   session->Respond({200, {}, "x"});
                 }),
        m_proxy(m_io.Context(), AnyPort()) {
    m_io.Start();
    Run([this, port] {
      m_server.Open();
      m_proxy.Open({AnyPort().address(), port == 0 ? m_server.Port() : port});
    });
    Connect();
  }
  ~ProxyBench() {
    Run([this] {
      m_connection.reset();
      m_proxy.Close();
    });
    m_io.Stop();
  }
  ProxyBench(const ProxyBench&) = delete;
  ProxyBench& operator=(const ProxyBench&) = delete;

  void Run(const std::function<void()>& work) {
    std::promise<void> done;
    m_io.Post([&] {
      work();
      done.set_value();
    });
    done.get_future().get();
  }

  /** Opens another connection. */
  bool Connect() {
    std::promise<bool> opened;
    m_io.Post([&] {
      m_connection = std::make_unique<HttpConnection>(m_io);
      const auto& endpoint = m_proxy.Endpoint();
      m_connection->Open(
          "127.0.0.1:" + std::to_string(endpoint.port()), kPatience,
          [&opened](bool success) { opened.set_value(success); });
    });
    return opened.get_future().get();
  }

  /** Sends a request on the present connection; returns whether it is answered.
   */
  std::future<bool> Send(std::size_t body_bytes) {
    const auto answered = std::make_shared<std::promise<bool>>();
    m_io.Post([this, body_bytes, answered] {
      if (!m_connection->IsIdle()) {
        answered->set_value(false);
        return;
      }
      HttpRequest request;
      request.method = body_bytes > 0 ? "POST" : "GET";
      request.target = "/";
      request.body = std::string(body_bytes, 'b');
      m_connection->Send(request, "x", kPatience, nullptr,
                         [answered](const std::optional<HttpResult>& result) {
                           answered->set_value(result.has_value());
                         });
    });
    return answered->get_future();
  }

  /** Returns whether a request is answered, and how long that took. */
  std::pair<bool, Duration> Ask(std::size_t body_bytes = 0) {
    const MonotonicTime begin = emulator::ReadMonotonicClock();
    const bool success = Send(body_bytes).get();
    return {success, emulator::ReadMonotonicClock() - begin};
  }

  void SetFault(LinkFault fault) {
    Run([&] { m_proxy.SetFault(fault); });
  }

 private:
  IoThread m_io;
  emulator::HttpServer m_server;
  LinkProxy m_proxy;
  std::unique_ptr<HttpConnection> m_connection;
};

}  // namespace

TEST_CASE("A link without a fault passes everything on") {
  ProxyBench bench;
  CHECK(bench.Ask().first);
  CHECK(bench.Ask().first);
}

TEST_CASE("A delayed link delays both directions") {
  ProxyBench bench;
  bench.SetFault(LinkFault::kDelayed);
  const auto [answered, time] = bench.Ask();
  CHECK(answered);
  CHECK(time >= LinkProxy::kDelay * 2);
}

TEST_CASE("Open connections stay silent after the fault, new ones work") {
  ProxyBench bench;
  bench.SetFault(LinkFault::kOpenSilent);
  bench.SetFault(LinkFault::kNone);
  CHECK_FALSE(bench.Ask().first);
  REQUIRE(bench.Connect());
  CHECK(bench.Ask().first);
}

TEST_CASE("A link that is cut in one direction carries nothing in it") {
  for (const LinkFault fault :
       {LinkFault::kCutToServer, LinkFault::kCutToClient}) {
    CAPTURE(ToString(fault));
    ProxyBench bench;
    bench.SetFault(fault);
    CHECK_FALSE(bench.Ask().first);
    bench.SetFault(LinkFault::kNone);
    REQUIRE(bench.Connect());
    CHECK(bench.Ask().first);
  }
}

TEST_CASE("A link that resets breaks open and new connections") {
  ProxyBench bench;
  bench.SetFault(LinkFault::kReset);
  CHECK_FALSE(bench.Ask().first);
  bench.Connect();
  CHECK_FALSE(bench.Ask().first);
  bench.SetFault(LinkFault::kNone);
  REQUIRE(bench.Connect());
  CHECK(bench.Ask().first);
}

TEST_CASE("A link that breaks off uploads passes other requests on") {
  ProxyBench bench;
  bench.SetFault(LinkFault::kBreaksOffUploads);
  CHECK(bench.Ask().first);
  CHECK(bench.Ask(1000).first);
  CHECK_FALSE(bench.Ask(LinkProxy::kUploadBytes).first);
  REQUIRE(bench.Connect());
  CHECK(bench.Ask().first);
}

// Guards against a soak in which no upstream seems to break an answer off.
TEST_CASE("A reset by the server reaches the client as a reset") {
  for (int i = 0; i < 20; ++i) {
    StalledServer server;
    ProxyBench bench(server.Port());
    server.Accept();
    std::future<bool> answered = bench.Send(LinkProxy::kUploadBytes);
    server.Write("HTTP/1.1 200 OK\r\n\r\npart");
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    server.Reset();
    CHECK_FALSE(answered.get());
  }
}

TEST_CASE("A soak's script names its faults") {
  const auto script =
      ParseSoakScript("store silent, instance killed + upstream link cut");
  REQUIRE(script.size() == 2);
  CHECK(script[0] == std::vector{SoakFault::kStoreSilent});
  CHECK(script[1] ==
        std::vector{SoakFault::kInstanceKilled, SoakFault::kUpstreamLinkCut});
  CHECK_THROWS_WITH(ParseSoakScript("store away"), "not a fault: store away");
}

// Guards against a soak that finds nothing whatever happens.
TEST_CASE("The ledger finds each kind of broken rule") {
  SoakLedger ledger;
  const auto at = [](Duration time) { return MonotonicTime(time); };
  ledger.OnSent("twice", {.idempotent = false}, at(Seconds(10)));
  ledger.OnRun("twice", "order", "/order/1", at(Seconds(10)));
  ledger.OnRun("twice", "order", "/order/1", at(Seconds(10)));
  ledger.OnAnswer("twice", ExchangeEnd::kAnswered, 200, true, at(Seconds(11)));
  ledger.OnSent("refused", {.idempotent = false}, at(Seconds(10)));
  ledger.OnRun("refused", "order", "/order/1", at(Seconds(10)));
  ledger.OnAnswer("refused", ExchangeEnd::kAnswered, 503, true,
                  at(Seconds(11)));
  ledger.OnSent("lost", {.idempotent = true}, at(Seconds(10)));
  ledger.OnRun("lost", "browse", "/browse/1", at(Seconds(10)));
  ledger.OnAnswer("lost", ExchangeEnd::kClosed, 0, true, at(Seconds(11)));
  CHECK(ledger.FindViolations().size() == 3);
  ledger.OnRun("lost", "order", "/browse/1", at(Seconds(10)));
  CHECK(ledger.FindViolations().size() == 4);
  ledger.OnArrivalAfterLeaving("i-1", at(Seconds(10)), at(Seconds(13)));
  CHECK(ledger.FindViolations().size() == 5);
  // What is near a disturbance counts only if it may never happen.
  ledger.OnDisturbance(at(Seconds(8)), at(Seconds(9)));
  CHECK(ledger.FindViolations().size() == 3);
}

}  // namespace kumquatcove::stand_in
