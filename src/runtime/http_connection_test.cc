#include "runtime/http_connection.h"

#include <array>
#include <chrono>
#include <cstdlib>
#include <functional>
#include <future>
#include <optional>
#include <string>
#include <thread>
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

  /** Runs `work` while the connection's thread is blocked, so that the
   * connection learns of all that `work` does at once. */
  void RunUnnoticed(const std::function<void()>& work) {
    std::promise<void> blocked;
    std::promise<void> done;
    m_io.Post([&blocked, end = done.get_future().share()] {
      blocked.set_value();
      end.wait();
    });
    blocked.get_future().wait();
    work();
    done.set_value();
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

constexpr const char* kPartUntilClose = "HTTP/1.1 200 OK\r\n\r\npart";

/** Pauses between the steps of a server, so that its client learns of several
 * at once, or of each by itself. */
constexpr std::array<std::chrono::milliseconds, 2> kPauses = {
    std::chrono::milliseconds(0), std::chrono::milliseconds(20)};
/** The kernel and the event loop order simultaneous events differently. */
constexpr int kRepetitions = 10;

/** How a server ends a connection. */
using EndConnection = std::function<void(StalledServer&)>;

void ResetConnection(StalledServer& server) {
  server.Reset();
}

void CloseUnread(StalledServer& server) {
  server.Close();
}

void EndStream(StalledServer& server) {
  server.EndStream();
}

/** Returns what a client gets from a server that answers a request of
 * `body_bytes` by `answer` without reading it, and then ends the connection. */
std::optional<HttpResult> GetEarlyAnswer(std::size_t body_bytes,
                                         const std::string& answer,
                                         std::chrono::milliseconds pause,
                                         const EndConnection& end) {
  StalledFixture fixture;
  fixture.Send(MakePost(body_bytes));
  fixture.server.Write(answer);
  std::this_thread::sleep_for(pause);
  end(fixture.server);
  REQUIRE(fixture.results.WaitForCount(1));
  return fixture.results.Values()[0];
}

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

// Guards against a part of an answer that a caller gets as a whole one. The
// kernel reports a reset to one operation only: if that is the write of the
// request, the read returns an orderly end of the stream.
TEST_CASE("An answer without a length that ends with a reset is incomplete") {
  for (const std::size_t body_bytes : {std::size_t{1}, kLargeBytes}) {
    for (const auto pause : kPauses) {
      CAPTURE(body_bytes);
      CAPTURE(pause.count());
      for (int i = 0; i < kRepetitions; ++i) {
        for (const auto& end : {ResetConnection, CloseUnread}) {
          CHECK_FALSE(GetEarlyAnswer(body_bytes, kPartUntilClose, pause, end)
                          .has_value());
        }
      }
    }
  }
}

// Guards against refusing answers of servers that answer before they have read
// the request, and read no further (RFC 9112, 9.6).
TEST_CASE("An answer without a length that ends in order is complete") {
  for (const std::size_t body_bytes : {std::size_t{1}, kLargeBytes}) {
    for (const auto pause : kPauses) {
      CAPTURE(body_bytes);
      CAPTURE(pause.count());
      for (int i = 0; i < kRepetitions; ++i) {
        for (const auto reset_pause : kPauses) {
          const auto answer = GetEarlyAnswer(
              body_bytes, kPartUntilClose, pause, [&](StalledServer& server) {
                server.EndStream();
                std::this_thread::sleep_for(reset_pause);
                server.Reset();
              });
          REQUIRE(answer.has_value());
          CHECK(answer->answer.body == "part");
        }
        REQUIRE(GetEarlyAnswer(body_bytes, kPartUntilClose, pause, EndStream)
                    .has_value());
      }
    }
  }
}

TEST_CASE("A reset after an early answer that states its end changes nothing") {
  const std::string with_length =
      "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n";
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n";
  for (const auto pause : kPauses) {
    CAPTURE(pause.count());
    for (const std::string& whole :
         {with_length + "part", chunked + "0\r\n\r\n"}) {
      const auto answer =
          GetEarlyAnswer(kLargeBytes, whole, pause, ResetConnection);
      REQUIRE(answer.has_value());
      CHECK(answer->answer.body == "part");
    }
    for (const std::string& part : {with_length + "par", chunked}) {
      CHECK_FALSE(GetEarlyAnswer(kLargeBytes, part, pause, ResetConnection)
                      .has_value());
    }
  }
}

// Guards against a broken connection that is offered for the next request: its
// answer was read after the write had failed.
TEST_CASE("A connection whose request wasn't written whole isn't kept") {
  StalledFixture fixture;
  fixture.Send(MakePost(kLargeBytes));
  fixture.RunUnnoticed([&] {
    fixture.server.Write("HTTP/1.1 413 Large\r\nContent-Length: 0\r\n\r\n");
    fixture.server.Reset();
  });
  REQUIRE(fixture.results.WaitForCount(1));
  REQUIRE(fixture.results.Values()[0].has_value());
  CHECK_FALSE(fixture.results.Values()[0]->keep_alive);
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
