#include "runtime/http_connection.h"

#include <cstdlib>
#include <functional>
#include <future>
#include <optional>
#include <utility>

#include <sys/wait.h>
#include <unistd.h>

#include <doctest/doctest.h>

#include "runtime/stalled_server.h"
#include "runtime/test_support.h"

namespace kumquatcove {
namespace {

// More than the kernel takes for one connection.
constexpr std::size_t kLargeBytes = 32U << 20U;

HttpRequest MakePost(std::size_t body_bytes) {
  HttpRequest request;
  request.method = "POST";
  request.target = "/";
  request.body = std::string(body_bytes, 'b');
  return request;
}

/** A connection to a server that doesn't read. */
class StalledFixture {
 public:
  StalledFixture() : m_connection(m_io) {
    m_io.Start();
    std::promise<bool> opened;
    m_io.Post([&] {
      m_connection.Open(server.Address(), Seconds(5),
                        [&](bool result) { opened.set_value(result); });
    });
    REQUIRE(opened.get_future().get());
    server.Accept();
  }
  ~StalledFixture() { m_io.Stop(); }
  StalledFixture(const StalledFixture&) = delete;
  StalledFixture& operator=(const StalledFixture&) = delete;

  /** Returns after the first write. */
  void Send(HttpRequest request, Duration timeout = Seconds(60)) {
    Run([&] {
      m_connection.Send(
          std::move(request), "host", timeout, nullptr,
          [this](std::optional<HttpResult> r) { results.Add(std::move(r)); });
    });
  }

  void Close() {
    Run([this] { m_connection.Close(); });
  }

  StalledServer server;
  Recorder<std::optional<HttpResult>> results;

 private:
  /** Runs `work` on the connection's thread and waits until it returns. */
  void Run(const std::function<void()>& work) {
    std::promise<void> done;
    m_io.Post([&] {
      work();
      done.set_value();
    });
    done.get_future().wait();
  }

  IoThread m_io;
  HttpConnection m_connection;
};

void CheckGivenUp(const ReceivedBytes& received) {
  CHECK(received.end == ConnectionEnd::kReset);
  CHECK(received.count < StalledServer::kHeldBytes);
}

}  // namespace

// Guards against requests that reach a server after their caller has been
// answered: the kernel delivers what was written before an orderly close, which
// takes as long as the server or the network is stalled.
TEST_CASE("What is left of a request isn't delivered after a close") {
  StalledFixture fixture;
  SUBCASE("written") {
    fixture.Send(MakePost(StalledServer::kHeldBytes));
  }
  SUBCASE("partly written") {
    fixture.Send(MakePost(kLargeBytes));
  }
  fixture.Close();
  CheckGivenUp(fixture.server.ReadToEnd());
}

TEST_CASE("What is left of a request isn't delivered after its timeout") {
  StalledFixture fixture;
  fixture.Send(MakePost(StalledServer::kHeldBytes), Milliseconds(50));
  REQUIRE(fixture.results.WaitForCount(1));
  CHECK_FALSE(fixture.results.Values()[0].has_value());
  CheckGivenUp(fixture.server.ReadToEnd());
}

TEST_CASE("What is left of a request isn't delivered after an early answer") {
  StalledFixture fixture;
  fixture.Send(MakePost(kLargeBytes));
  fixture.server.Write("HTTP/1.1 413 Large\r\nContent-Length: 0\r\n\r\n");
  REQUIRE(fixture.results.WaitForCount(1));
  REQUIRE(fixture.results.Values()[0].has_value());
  CHECK_FALSE(fixture.results.Values()[0]->keep_alive);
  CheckGivenUp(fixture.server.ReadToEnd());
}

TEST_CASE("What is left of a request isn't delivered after its process ended") {
  StalledServer server;
  const pid_t child = ::fork();
  REQUIRE(child >= 0);
  if (child == 0) {
    IoThread io;
    HttpConnection connection(io);
    std::promise<void> sent;
    io.Post([&] {
      connection.Open(server.Address(), Seconds(5), [&](bool /*opened*/) {
        connection.Send(MakePost(StalledServer::kHeldBytes), "host",
                        Seconds(60), nullptr,
                        [](const std::optional<HttpResult>&) {});
        sent.set_value();
      });
    });
    io.Start();
    sent.get_future().wait();
    std::_Exit(EXIT_SUCCESS);
  }
  server.Accept();
  int status = 0;
  REQUIRE(::waitpid(child, &status, 0) == child);
  CheckGivenUp(server.ReadToEnd());
}

TEST_CASE("An idle connection is closed in order") {
  StalledFixture fixture;
  SUBCASE("unused") {
    fixture.Close();
    CHECK(fixture.server.ReadToEnd().end == ConnectionEnd::kInOrder);
  }
  SUBCASE("used") {
    fixture.Send(MakePost(1));
    fixture.server.Write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    REQUIRE(fixture.results.WaitForCount(1));
    fixture.Close();
    CHECK(fixture.server.ReadToEnd().end == ConnectionEnd::kInOrder);
  }
  SUBCASE("answered for the last time") {
    fixture.Send(MakePost(1));
    fixture.server.Write(
        "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    REQUIRE(fixture.results.WaitForCount(1));
    CHECK(fixture.server.ReadToEnd().end == ConnectionEnd::kInOrder);
  }
}

}  // namespace kumquatcove
