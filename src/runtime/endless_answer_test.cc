#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "runtime/flood_server.h"
#include "runtime/system_clock.h"
#include "runtime/test_support.h"
#include "runtime/upstream_client.h"

namespace kumquatcove {
namespace {

constexpr const char* kHead = "HTTP/1.1 200 OK\r\n";
constexpr const char* kChunkedHead =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

// Bytes that may be in transit on one loopback connection.
constexpr std::size_t kInTransit = 12U << 20U;

/** Returns `text` as often as fits into one write. */
std::string Repeat(const std::string& text) {
  std::string repeated;
  while (repeated.size() + text.size() <= 64'000) {
    repeated += text;
  }
  return repeated;
}

/** An upstream client with connections to a server that sends without end. */
class FloodFixture {
 public:
  FloodFixture(Flood flood, std::uint64_t connections)
      : m_server(std::move(flood), static_cast<int>(connections)),
        m_connections(connections),
        m_client(m_io,
                 m_events,
                 m_delays,
                 {MakeNativeDialect().upstreams.write_request,
                  [this](const std::string&, const HttpAnswer&) {
                    return accepts_answers;
                  },
                  MakeNativeDialect().upstreams.read_answer}) {
    m_io.Start();
    for (std::uint64_t i = 1; i <= m_connections; ++i) {
      m_io.Post([this, i] {
        m_client.Open({ConnectionId{i}, UpstreamId("u"), m_server.Address()});
      });
    }
    REQUIRE(m_events.WaitForCount(m_connections));
  }
  ~FloodFixture() {
    CloseAll();
    // Lets the server see the end of each connection before it is joined.
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    m_io.Stop();
  }
  FloodFixture(const FloodFixture&) = delete;
  FloodFixture& operator=(const FloodFixture&) = delete;

  void CloseAll() {
    m_io.Post([this] {
      for (std::uint64_t i = 1; i <= m_connections; ++i) {
        m_client.Close(ConnectionId{i});
      }
    });
  }

  /** Sends a request on each connection and returns the events that end them;
   * fewer if some don't end. */
  std::vector<Event> SendAll() {
    SendWithoutWaiting();
    m_events.WaitForCount(m_connections * 2);
    std::vector<Event> events = m_events.Values();
    events.erase(events.begin(),
                 events.begin() + static_cast<std::ptrdiff_t>(m_connections));
    return events;
  }

  void SendWithoutWaiting() {
    for (std::uint64_t i = 1; i <= m_connections; ++i) {
      SendUpstream effect{ConnectionId{i},
                          ReadSystemClock().monotonic + Seconds(5),
                          Seconds(5),
                          {}};
      effect.http.method = "GET";
      effect.http.target = "/x";
      m_io.Post([this, effect] { m_client.Send(effect); });
    }
  }

  std::size_t SentBytes() const { return m_server.SentBytes(); }
  int ClosedCount() const { return m_server.ClosedCount(); }

  bool accepts_answers = true;

 private:
  FloodServer m_server;
  std::uint64_t m_connections;
  IoThread m_io;
  RecordingEvents m_events;
  LinkDelays m_delays{ZoneName("a"), std::nullopt};
  UpstreamClient m_client;
};

/** Checks that an answer is given up after `max_bytes`. */
void CheckGivenUp(const Flood& flood, std::size_t max_bytes) {
  FloodFixture fixture(flood, 1);
  const std::vector<Event> events = fixture.SendAll();
  REQUIRE(events.size() == 1);
  CHECK(std::holds_alternative<ConnectionLost>(events[0]));
  CHECK(fixture.SentBytes() <= max_bytes + kInTransit);
}

}  // namespace

TEST_CASE("A head without end is given up") {
  constexpr std::size_t kMaxHead = 1U << 20U;
  const std::string many(64'000, 'a');
  SUBCASE("in a header field") {
    CheckGivenUp({std::string(kHead) + "X-A: ", many}, kMaxHead);
  }
  SUBCASE("in many header fields") {
    CheckGivenUp({kHead, Repeat("X-A: b\r\n")}, kMaxHead);
  }
  SUBCASE("in the status line") {
    CheckGivenUp({"HTTP/1.1 200 ", many}, kMaxHead);
  }
  SUBCASE("in interim answers") {
    CheckGivenUp({"", Repeat("HTTP/1.1 102 Processing\r\n\r\n")}, kMaxHead);
  }
  SUBCASE("in a chunk's size line") {
    CheckGivenUp({std::string(kChunkedHead) + "5;ext=", many}, kMaxHead);
  }
  SUBCASE("in trailer fields") {
    CheckGivenUp(
        {std::string(kChunkedHead) + "1\r\nx\r\n0\r\n", Repeat("X-T: u\r\n")},
        kMaxHead);
  }
}

TEST_CASE("A body without end is given up") {
  constexpr std::size_t kMaxBody = 16U << 20U;
  const std::string many(64'000, 'a');
  SUBCASE("with a length") {
    CheckGivenUp(
        {std::string(kHead) + "Content-Length: 100000000000\r\n\r\n", many},
        kMaxBody);
  }
  SUBCASE("in chunks") {
    CheckGivenUp({kChunkedHead, "fa00\r\n" + many + "\r\n"}, kMaxBody);
  }
  SUBCASE("that ends with the connection") {
    CheckGivenUp({std::string(kHead) + "Connection: close\r\n\r\n", many},
                 kMaxBody);
  }
}

TEST_CASE("Answers to earlier requests without end are given up") {
  FloodFixture fixture(
      {"", Repeat("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na")}, 1);
  fixture.accepts_answers = false;
  const std::vector<Event> events = fixture.SendAll();
  REQUIRE(events.size() == 1);
  CHECK(std::holds_alternative<ConnectionLost>(events[0]));
  CHECK(fixture.SentBytes() <= kInTransit);
}

TEST_CASE("Bytes that follow a whole answer end its connection") {
  FloodFixture fixture({"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na",
                        std::string(64'000, 'a')},
                       1);
  const std::vector<Event> events = fixture.SendAll();
  REQUIRE_FALSE(events.empty());
  const auto* answered = std::get_if<UpstreamAnswered>(&events[0]);
  REQUIRE(answered != nullptr);
  CHECK(answered->answer.body == "a");
  CHECK(fixture.SentBytes() <= kInTransit);
}

TEST_CASE(
    "Many bodies without end at once stay within the memory for answers") {
  constexpr std::uint64_t kConnections = 12;
  FloodFixture fixture({std::string(kHead) + "Connection: close\r\n\r\n",
                        std::string(64'000, 'a')},
                       kConnections);
  const std::vector<Event> events = fixture.SendAll();
  CHECK(events.size() == kConnections);
  // Without a common bound they would take 16 MiB each, which instances of
  // 160 MB don't have.
  CHECK(fixture.SentBytes() <=
        UpstreamClient::kMaxBufferedBytes + kConnections * kInTransit);
}

TEST_CASE("A body that comes slowly ends when its request is cancelled") {
  FloodFixture fixture({std::string(kHead) + "Connection: close\r\n\r\n", "a",
                        std::chrono::milliseconds(5)},
                       1);
  fixture.SendWithoutWaiting();
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  CHECK(fixture.ClosedCount() == 0);
  fixture.CloseAll();
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  CHECK(fixture.ClosedCount() == 1);
}

}  // namespace kumquatcove
