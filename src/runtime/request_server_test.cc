#include "runtime/request_server.h"

#include <doctest/doctest.h>

#include <chrono>
#include <thread>

#include "base/random.h"
#include "runtime/test_support.h"

namespace kumquatcove {
namespace {

std::optional<HttpAnswer> Echo(const HttpRequest& request) {
  HttpAnswer answer;
  answer.status = 200;
  answer.body = request.method + " " + request.target + " " + request.body;
  return answer;
}

std::string ExchangeRaw(const ScriptedServer& server, std::string_view input) {
  RawClient client(server.server.Port());
  client.Send(input);
  return client.ReadUntil("\r\n\r\n");
}

bool HasStatus(const std::string& answer, int status) {
  return answer.rfind("HTTP/1.1 " + std::to_string(status), 0) == 0;
}

}  // namespace

TEST_CASE("Two pipelined requests are answered in order") {
  const ScriptedServer server(Echo);
  RawClient client(server.server.Port());
  client.Send(
      "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
      "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nxy");
  const std::string read = client.ReadUntil("POST /b xy");
  CHECK(read.find("GET /a ") < read.find("POST /b xy"));
  CHECK(read.find("POST /b xy") != std::string::npos);
}

TEST_CASE(
    "Malformed and oversized input gets an error status and does not stop the "
    "server") {
  const ScriptedServer server(Echo);
  CHECK(HasStatus(ExchangeRaw(server, "nonsense\r\n\r\n"), 400));
  CHECK(HasStatus(ExchangeRaw(server, "GET /\x01 HTTP/1.1\r\nHost: h\r\n\r\n"),
                  400));
  CHECK(HasStatus(
      ExchangeRaw(server,
                  "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
                  "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
      400));
  CHECK(HasStatus(
      ExchangeRaw(server,
                  "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n"),
      400));
  CHECK(HasStatus(
      ExchangeRaw(
          server,
          "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1048577\r\n\r\n"),
      413));
  CHECK(
      HasStatus(ExchangeRaw(server, "GET / HTTP/1.1\r\nHost: h\r\nA: " +
                                        std::string(20'000, 'x') + "\r\n\r\n"),
                431));
  CHECK(HasStatus(ExchangeRaw(server, "GET /ok HTTP/1.1\r\nHost: h\r\n\r\n"),
                  200));
}

TEST_CASE(
    "A client that expects 100 Continue receives it before sending its body") {
  const ScriptedServer server(Echo);
  RawClient client(server.server.Port());
  client.Send(
      "POST /b HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: "
      "2\r\n\r\n");
  CHECK(client.ReadUntil("100 Continue").find("100 Continue") !=
        std::string::npos);
  client.Send("xy");
  CHECK(client.ReadUntil("POST /b xy").find("200 OK") != std::string::npos);
}

TEST_CASE("A client that disconnects before its answer is reported once") {
  ScriptedServer server(
      [](const HttpRequest&) { return std::optional<HttpAnswer>(); });
  RawClient client(server.server.Port());
  client.Send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(server.handler.requests.WaitForCount(1));
  client.Close();
  CHECK(server.handler.disconnected.WaitForCount(1));
  CHECK(server.handler.disconnected.Values().size() == 1);
}

TEST_CASE(
    "Idle connections and incomplete requests are closed after the idle "
    "timeout") {
  RequestServerLimits limits;
  limits.idle = Milliseconds(50);
  const ScriptedServer server(Echo, limits);
  RawClient idle(server.server.Port());
  RawClient half(server.server.Port());
  half.Send("GET /a HT");
  CHECK(idle.ReadToEnd());
  CHECK(half.ReadToEnd());
}

TEST_CASE(
    "Connections beyond the limit are refused, and closed ones free "
    "their place") {
  RequestServerLimits limits;
  limits.max_connections = 1;
  const ScriptedServer server(Echo, limits);
  {
    RawClient first(server.server.Port());
    first.Send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(HasStatus(first.ReadUntil("GET /a"), 200));
    CHECK(HasStatus(ExchangeRaw(server, "GET /b HTTP/1.1\r\nHost: h\r\n\r\n"),
                    503));
  }
  std::string answer;
  for (int trial = 0; trial < 200 && !HasStatus(answer, 200); ++trial) {
    answer = ExchangeRaw(server, "GET /c HTTP/1.1\r\nHost: h\r\n\r\n");
  }
  CHECK(HasStatus(answer, 200));
}

TEST_CASE("Random and damaged input does not stop the server") {
  const ScriptedServer server(Echo);
  const std::string valid =
      "POST /path?x=1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "4\r\nabcd\r\n0\r\n\r\n";
  Random random(20261204);
  for (int trial = 0; trial < 300; ++trial) {
    std::string input = valid;
    for (std::uint64_t edits = random.NextBelow(6); edits > 0; --edits) {
      input[random.NextBelow(input.size())] =
          static_cast<char>(random.NextBelow(256));
    }
    input.resize(random.NextBelow(input.size() + 1));
    RawClient client(server.server.Port());
    client.Send(input);
    client.Close();
  }
  CHECK(HasStatus(ExchangeRaw(server, "GET /ok HTTP/1.1\r\nHost: h\r\n\r\n"),
                  200));
}

TEST_CASE(
    "Connections are closed after their next answer once the server is "
    "closing") {
  ScriptedServer server(Echo);
  RawClient client(server.server.Port());
  client.Send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  client.ReadUntil("GET /a ");
  server.Run([&] { server.server.CloseAfterAnswers(); });
  client.Send("GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
  const std::string read = client.ReadUntil("GET /b ");
  CHECK(read.find("Connection: close") != std::string::npos);
  CHECK(client.ReadToEnd());
}

TEST_CASE(
    "A server that stops reading closes idle connections, but not those with "
    "a request in progress") {
  ScriptedServer server(
      [](const HttpRequest&) { return std::optional<HttpAnswer>(); });
  RawClient idle(server.server.Port());
  RawClient waiting(server.server.Port());
  waiting.Send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(server.handler.requests.WaitForCount(1));
  server.Run([&] { server.server.StopReading(); });
  CHECK(idle.ReadToEnd());
  CHECK(server.handler.disconnected.Values().empty());
}

TEST_CASE(
    "A request that has arrived as the server stops reading is answered") {
  ScriptedServer server(Echo);
  RawClient kept(server.server.Port());
  kept.Send("GET /first HTTP/1.1\r\nHost: h\r\n\r\n");
  kept.ReadUntil("GET /first ");
  std::optional<RawClient> queued;
  // While this function blocks, the requests arrive; the server's thread reads
  // the first one between it and the stop, but doesn't handle it yet.
  server.Run([&] {
    kept.Send("GET /read HTTP/1.1\r\nHost: h\r\n\r\n");
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    server.Post([&] {
      queued.emplace(server.server.Port());
      queued->Send("GET /queued HTTP/1.1\r\nHost: h\r\n\r\n");
      server.server.StopReading();
    });
  });
  CHECK(kept.ReadUntil("GET /read ").find("GET /read ") != std::string::npos);
  CHECK(kept.ReadToEnd());
  server.Run([] {});
  CHECK(HasStatus(queued->ReadUntil("GET /queued "), 200));
  CHECK(queued->ReadToEnd());
}

TEST_CASE("The first request on a new connection is answered during a stop") {
  ScriptedServer server(Echo);
  RawClient client(server.server.Port());
  server.Run([&] { server.server.StopReading(); });
  client.Send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(HasStatus(client.ReadUntil("GET /a "), 200));
}

TEST_CASE("A pipelined request that has arrived is answered during a stop") {
  ScriptedServer server(
      [](const HttpRequest&) { return std::optional<HttpAnswer>(); });
  RawClient client(server.server.Port());
  client.Send(
      "GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(server.handler.requests.WaitForCount(1));
  server.Run([&] { server.server.StopReading(); });
  server.Run([&] { server.handler.AnswerLast(); });
  CHECK(server.handler.requests.WaitForCount(2));
  server.Run([&] { server.handler.AnswerLast(); });
  CHECK(client.ReadToEnd());
}

TEST_CASE("A request that is still arriving as the server stops is answered") {
  ScriptedServer server(Echo);
  const std::string head =
      "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  RawClient in_header(server.server.Port());
  RawClient in_body(server.server.Port());
  in_header.Send(head.substr(0, 20));
  in_body.Send(head + "2\r\nab\r\n");
  std::this_thread::sleep_for(std::chrono::milliseconds(20));
  server.Run([&] { server.server.StopReading(); });
  in_header.Send(head.substr(20) + "2\r\nab\r\n0\r\n\r\n");
  in_body.Send("2\r\ncd\r\n0\r\n\r\n");
  CHECK(HasStatus(in_header.ReadUntil("POST /a ab"), 200));
  CHECK(HasStatus(in_body.ReadUntil("POST /a abcd"), 200));
}

// Guards against a caller that uses up the memory with a line without end: the
// parser bounds headers and bodies, but not what it can't parse yet.
TEST_CASE("A chunked body with a line without end is refused") {
  ScriptedServer server(Echo);
  const std::string head =
      "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string many(1'000'000, 'a');
  for (const std::string& body :
       {"5;ext=" + many, "1\r\nx\r\n0\r\nX-T: " + many}) {
    RawClient client(server.server.Port());
    client.Send(head + body);
    CHECK(HasStatus(client.ReadUntil("\r\n\r\n"), 431));
  }
}

// Guards against a process that is killed because large bodies use up its
// memory.
TEST_CASE(
    "Bodies beyond the memory limit are refused until memory is released") {
  RequestServerLimits limits;
  limits.max_buffered_bytes = 1'000;
  ScriptedServer server(
      [](const HttpRequest&) { return std::optional<HttpAnswer>(); }, limits);
  const std::string body(800, 'x');
  const std::string with_length =
      "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 800\r\n\r\n" + body;
  const std::string chunked =
      "POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "320\r\n" +
      body + "\r\n0\r\n\r\n";
  for (const std::string& first : {with_length, chunked}) {
    const std::size_t read = server.handler.requests.Values().size();
    {
      RawClient waiting(server.server.Port());
      waiting.Send(first);
      REQUIRE(server.handler.requests.WaitForCount(read + 1));
      for (const std::string& second : {with_length, chunked}) {
        const std::string answer = ExchangeRaw(server, second);
        CHECK(HasStatus(answer, 503));
        CHECK(answer.find("Retry-After: 1") != std::string::npos);
      }
      CHECK(server.handler.requests.Values().size() == read + 1);
    }
    // The first client has disconnected, which releases its memory.
    RawClient next(server.server.Port());
    REQUIRE(server.handler.disconnected.WaitForCount(2 * (read / 2) + 1));
    next.Send(with_length);
    CHECK(server.handler.requests.WaitForCount(read + 2));
    next.Close();
    CHECK(server.handler.disconnected.WaitForCount(2 * (read / 2) + 2));
  }
}

}  // namespace kumquatcove
