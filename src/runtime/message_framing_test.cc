#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <future>
#include <initializer_list>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include <boost/beast/http/write.hpp>

#include "runtime/beast_message.h"
#include "runtime/http_connection.h"
#include "runtime/http_fields.h"
#include "runtime/one_answer_server.h"
#include "runtime/strict_http_reader.h"
#include "runtime/system_clock.h"
#include "runtime/test_support.h"
#include "runtime/upstream_client.h"

namespace kumquatcove {
namespace {

constexpr std::string_view kSmuggled =
    "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr Duration kAnswerTimeout = Seconds(2);

std::optional<HttpAnswer> AnswerOk(const HttpRequest&) {
  return HttpAnswer{200, {}, "ok"};
}

RequestServerLimits ShortIdle() {
  RequestServerLimits limits;
  limits.idle = Seconds(2);
  return limits;
}

/** Sends bytes to the server and returns all that it answers until it closes
 * the connection, or nothing if it doesn't. */
std::optional<std::string> ReadAll(const ScriptedServer& server,
                                   std::string_view bytes) {
  RawClient client(server.server.Port());
  client.Send(bytes);
  const bool closed = client.ReadToEnd();
  return closed ? std::optional(client.ReadUntil("")) : std::nullopt;
}

/** Returns how HttpConnection reads the bytes of an answer. */
std::optional<HttpResult> ReadAnswer(IoThread& io,
                                     const std::string& method,
                                     const std::string& bytes) {
  const OneAnswerServer server(bytes);
  HttpConnection connection(io);
  std::promise<std::optional<HttpResult>> promise;
  io.Post([&] {
    connection.Open(server.Address(), kAnswerTimeout, [&](bool opened) {
      REQUIRE(opened);
      HttpRequest request;
      request.method = method;
      request.target = "/";
      connection.Send(std::move(request), "h", kAnswerTimeout, nullptr,
                      [&](std::optional<HttpResult> result) {
                        promise.set_value(std::move(result));
                      });
    });
  });
  std::optional<HttpResult> result = promise.get_future().get();
  std::promise<void> closed;
  io.Post([&] {
    connection.Close();
    closed.set_value();
  });
  closed.get_future().wait();
  return result;
}

std::string Chunked(const std::string& body) {
  return "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" +
         body;
}

std::string WithHeaders(const std::string& headers) {
  return "POST / HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n";
}

}  // namespace

// Guards against request smuggling: a recipient that delimits a message
// differently takes a part of its body for the next request.
TEST_CASE("A request whose extent is uncertain gets 400 and isn't passed on") {
  const ScriptedServer server(AnswerOk, ShortIdle());
  const std::string chunk = "1\r\nx\r\n0\r\n\r\n";
  for (const std::string& input : {
           WithHeaders("Transfer-Encoding: gzip\r\n"),
           WithHeaders("Transfer-Encoding: identity\r\n"),
           WithHeaders("Transfer-Encoding: chunked, identity\r\n") + chunk,
           WithHeaders("Transfer-Encoding: xchunked\r\n"),
           WithHeaders("Transfer-Encoding: gzip, chunked\r\n") + chunk,
           WithHeaders("Transfer-Encoding: chunked, chunked\r\n") + chunk,
           WithHeaders("Transfer-Encoding: \"chunked\"\r\n") + chunk,
           WithHeaders("Transfer-Encoding:\r\n") + chunk,
           WithHeaders("Transfer-Encoding: gzip\r\n"
                       "Transfer-Encoding: chunked\r\n") +
               chunk,
           std::string("POST / HTTP/1.0\r\nHost: h\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n") +
               chunk,
           WithHeaders("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n") +
               "0\r\n\r\n",
           WithHeaders("Transfer-Encoding: chunked\r\nContent-Length: 5\r\n") +
               "0\r\n\r\n",
           WithHeaders("Transfer-Encoding: gzip\r\nContent-Length: 0\r\n"),
           WithHeaders("Content-Length: 1\r\nContent-Length: 1\r\n") + "x",
           WithHeaders("Content-Length: 1, 1\r\n") + "x",
           WithHeaders("Content-Length: +1\r\n") + "x",
           WithHeaders("Content-Length: -1\r\n") + "x",
           WithHeaders("Content-Length: 1 1\r\n") + "x",
           WithHeaders("Content-Length: 0x1\r\n") + "x",
           WithHeaders("Content-Length: 1;\r\n") + "x",
           WithHeaders("Content-Length:\r\n"),
           WithHeaders("Content-Length: 18446744073709551617\r\n") + "x",
           WithHeaders("Content-Length: 9223372036854775808\r\n"),
           WithHeaders("Content-Length : 1\r\n") + "x",
           WithHeaders("A: 1\r\n folded\r\n"),
           WithHeaders("A: 1\r\n\tContent-Length: 1\r\n"),
           WithHeaders("A: 1\nContent-Length: 1\r\n") + "x",
           WithHeaders("A: 1\rContent-Length: 1\r\n") + "x",
           WithHeaders("A : 1\r\n"),
           WithHeaders("A\t: 1\r\n"),
           WithHeaders("A\x01: 1\r\n"),
           WithHeaders("A: 1\x01\r\n"),
           WithHeaders(std::string("A: 1\0\r\n", 7)),
           WithHeaders("A: 1\x7f\r\n"),
           WithHeaders("A\x80: 1\r\n"),
           WithHeaders(": 1\r\n"),
           WithHeaders("no colon\r\n"),
           std::string("GET / HTTP/1.1\nHost: h\n\n"),
           std::string("GET / HTTP/1.1\r\nHost: h\n\r\n"),
           std::string("GET / HTTP/1.1\r\n Host: h\r\n\r\n"),
           std::string("GET  / HTTP/1.1\r\nHost: h\r\n\r\n"),
           std::string("GET /\t HTTP/1.1\r\nHost: h\r\n\r\n"),
           std::string("GET / HTTP/1.1 \r\nHost: h\r\n\r\n"),
           std::string("GET / HTTP/1.2\r\nHost: h\r\n\r\n"),
           std::string("GET /\x80 HTTP/1.1\r\nHost: h\r\n\r\n"),
           std::string("GET /\xff HTTP/1.1\r\nHost: h\r\n\r\n"),
           std::string("GET /\x7f HTTP/1.1\r\nHost: h\r\n\r\n"),
           std::string("CONNECT / HTTP/1.1\r\nHost: h\r\n\r\n"),
           std::string("TRACE / HTTP/1.1\r\nHost: h\r\n"
                       "Content-Length: 1\r\n\r\nx"),
           std::string("TRACE / HTTP/1.1\r\nHost: h\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
           std::string("GET / HTTP/1.1\r\n\r\n"),
           std::string("GET / HTTP/1.1\r\nHost: a\r\nHost: a\r\n\r\n"),
           std::string("GET / HTTP/1.1\r\nHost: a b\r\n\r\n"),
           std::string("GET / HTTP/1.1\r\nHost: a, b\r\n\r\n"),
           Chunked("ffffffffffffffff1\r\nx\r\n0\r\n\r\n"),
           Chunked("10000000000000001\r\nx\r\n0\r\n\r\n"),
           Chunked("0x1\r\nx\r\n0\r\n\r\n"),
           Chunked("-1\r\nx\r\n0\r\n\r\n"),
           Chunked("+1\r\nx\r\n0\r\n\r\n"),
           Chunked(" 1\r\nx\r\n0\r\n\r\n"),
           Chunked("1 \r\nx\r\n0\r\n\r\n"),
           Chunked("\r\n0\r\n\r\n"),
           Chunked("1;\r\nx\r\n0\r\n\r\n"),
           Chunked("1;=a\r\nx\r\n0\r\n\r\n"),
           Chunked("1;a=\r\nx\r\n0\r\n\r\n"),
           Chunked("1;a=\"b\r\nx\r\n0\r\n\r\n"),
           Chunked("1;a=b c\r\nx\r\n0\r\n\r\n"),
           Chunked("1;a\x01\r\nx\r\n0\r\n\r\n"),
           Chunked("1;a\nx\r\n0\r\n\r\n"),
           Chunked("1\nx\r\n0\r\n\r\n"),
           Chunked("1\r\nx\n0\r\n\r\n"),
           Chunked("1\r\nxy0\r\n\r\n"),
           Chunked("1\r\nx\r\n0\r\nT : 1\r\n\r\n"),
           Chunked("1\r\nx\r\n0\r\nT\r\n\r\n"),
           Chunked("1\r\nx\r\n0\r\n folded\r\n\r\n"),
           Chunked("1\r\nx\r\n0\r\nT: a\x01\r\n\r\n"),
           Chunked("1\r\nx\r\n0\r\nT: a\n\r\n"),
           Chunked("1\r\nx\r\n0\r\nContent-Length: 1\r\n\r\n"),
           Chunked("1\r\nx\r\n0\r\nTransfer-Encoding: chunked\r\n\r\n"),
           Chunked("1\r\nx\r\n0\r\nHost: other\r\n\r\n"),
       }) {
    CAPTURE(input);
    const std::optional<std::string> read =
        ReadAll(server, input + std::string(kSmuggled));
    REQUIRE(read.has_value());
    CHECK(read->rfind("HTTP/1.1 400", 0) == 0);
    CHECK(read->find("HTTP/1.1 ", 1) == std::string::npos);
  }
  CHECK(server.handler.requests.Values().empty());
}

TEST_CASE("Unusual requests of certain extent are passed on unchanged") {
  const ScriptedServer server(AnswerOk, ShortIdle());
  RawClient client(server.server.Port());
  const std::string a_headers = "Host: h\r\nA: \xe9\t!  \r\nX-Empty:\r\n";
  client.Send("POST /1 HTTP/1.1\r\n" + a_headers +
              "Transfer-Encoding: Chunked\r\n\r\n"
              "0002;a=b;c=\"d;\\\"e\"\r\nxy\r\n01\r\nz\r\n"
              "000;last\r\nA: trailer\r\nT: 1\r\n\r\n");
  client.ReadUntil("ok");
  client.Send("GET /2 HTTP/1.1\r\nhost:\r\nContent-Length:  000 \r\n\r\n" +
              std::string("GET /3 HTTP/1.0\r\n\r\n"));
  REQUIRE(server.handler.requests.WaitForCount(3));
  const std::vector<HttpRequest> requests = server.handler.requests.Values();
  CHECK(requests[0].body == "xyz");
  CHECK(FindHeader(requests[0].headers, "A") == "\xe9\t!");
  CHECK(FindHeader(requests[0].headers, "T").empty());
  CHECK(requests[1].target == "/2");
  CHECK(requests[2].target == "/3");
}

// Guards against a request that is read after the client has said that none
// follows, and against an upstream's connection that is used again though the
// upstream closes it.
TEST_CASE("A connection ends if any Connection header says so") {
  const std::string close =
      "Connection: keep-alive\r\nConnection: x, Close\r\n";
  const ScriptedServer server(AnswerOk, ShortIdle());
  const auto read = ReadAll(server, "GET / HTTP/1.1\r\nHost: h\r\n" + close +
                                        "\r\n" + std::string(kSmuggled));
  REQUIRE(read.has_value());
  CHECK(server.handler.requests.Values().size() == 1);
  IoThread io;
  io.Start();
  const auto answer = ReadAnswer(
      io, "GET", "HTTP/1.1 200 OK\r\n" + close + "Content-Length: 0\r\n\r\n");
  io.Stop();
  REQUIRE(answer.has_value());
  CHECK_FALSE(answer->keep_alive);
}

// Guards against a caller that receives bytes of another answer or of none.
TEST_CASE("An answer whose extent is uncertain breaks its connection") {
  IoThread io;
  io.Start();
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
  for (const std::string& bytes : {
           ok + "Transfer-Encoding: gzip\r\n\r\nx",
           ok + "Transfer-Encoding: identity\r\n\r\nx",
           ok + "Transfer-Encoding: chunked, identity\r\n\r\nx",
           ok + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
           ok + "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n"
                "0\r\n\r\n",
           std::string("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                       "0\r\n\r\n"),
           ok + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
                "0\r\n\r\n",
           ok + "Transfer-Encoding: gzip\r\nContent-Length: 1\r\n\r\nx",
           ok + "Content-Length: 1\r\nContent-Length: 1\r\n\r\nx",
           ok + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nxy",
           ok + "Content-Length: 1, 1\r\n\r\nx",
           ok + "Content-Length: +1\r\n\r\nx",
           ok + "Content-Length : 1\r\n\r\nx",
           ok + "Content-Length:\r\n\r\n",
           ok + "A: 1\r\n folded\r\nContent-Length: 1\r\n\r\nx",
           ok + "A: 1\x01\r\nContent-Length: 1\r\n\r\nx",
           ok + "A: 1\nContent-Length: 1\r\n\r\nx",
           std::string("HTTP/1.1 200 OK\nContent-Length: 1\n\nx"),
           std::string("HTTP/1.1 204 No Content\r\nContent-Length: 1\r\n\r\nx"),
           std::string("HTTP/1.1 101 Switching Protocols\r\n\r\n") + ok +
               "Content-Length: 1\r\n\r\nx",
           std::string("HTTP/1.1 099 Odd\r\n\r\n") + ok +
               "Content-Length: 1\r\n\r\nx",
           std::string("HTTP/1.1 600 Odd\r\nContent-Length: 1\r\n\r\nx"),
           std::string("HTTP/1.2 200 OK\r\nContent-Length: 1\r\n\r\nx"),
           chunked + "0x1\r\nx\r\n0\r\n\r\n",
           chunked + "1 \r\nx\r\n0\r\n\r\n",
           chunked + "1;\r\nx\r\n0\r\n\r\n",
           chunked + "10000000000000001\r\nx\r\n0\r\n\r\n",
           chunked + "1\r\nx\r\n0\r\nT : 1\r\n\r\n",
           chunked + "1\r\nx\r\n0\r\nContent-Length: 1\r\n\r\n",
       }) {
    CAPTURE(bytes);
    CHECK_FALSE(ReadAnswer(io, "GET", bytes).has_value());
  }
  const auto trailers =
      ReadAnswer(io, "GET", chunked + "1\r\nx\r\n0\r\nT: 1\r\n\r\n");
  REQUIRE(trailers.has_value());
  CHECK(trailers->answer.body == "x");
  CHECK(FindHeader(trailers->answer.headers, "T").empty());
  const auto head = ReadAnswer(io, "HEAD", ok + "Content-Length: 9\r\n\r\n");
  REQUIRE(head.has_value());
  CHECK(FindHeader(head->answer.headers, "Content-Length") == "9");
  const auto until_close = ReadAnswer(io, "GET", ok + "\r\nabc");
  REQUIRE(until_close.has_value());
  CHECK(until_close->answer.body == "abc");
  CHECK_FALSE(until_close->keep_alive);
  io.Stop();
}

TEST_CASE("An upstream's headers that concern one connection aren't returned") {
  const OneAnswerServer upstream(
      "HTTP/1.1 200 OK\r\nConnection: A, close\r\nA: 1\r\nB: 2\r\n"
      "Keep-Alive: timeout=5\r\nUpgrade: h2c\r\nContent-Length: 1\r\n\r\nx");
  IoThread io;
  RecordingEvents events;
  const LinkDelays delays{ZoneName("a"), std::nullopt};
  UpstreamClient client(io, events, delays, MakeNativeDialect().upstreams);
  io.Start();
  constexpr ConnectionId kConnection{1};
  io.Post([&] {
    client.Open({kConnection, UpstreamId("u"), upstream.Address()});
  });
  REQUIRE(events.Get<ConnectionOpened>(0).has_value());
  SendUpstream effect{kConnection,
                      ReadSystemClock().monotonic + kAnswerTimeout,
                      kAnswerTimeout,
                      {}};
  effect.http.method = "GET";
  effect.http.target = "/";
  io.Post([&] { client.Send(effect); });
  const auto answered = events.Get<UpstreamAnswered>(1);
  REQUIRE(answered.has_value());
  io.Stop();
  std::ostringstream out;
  out << ToBeast(answered->answer, true, false);
  CHECK(out.str() == "HTTP/1.1 200 OK\r\nB: 2\r\nContent-Length: 1\r\n\r\nx");
}

namespace {

/** Chooses parts of a message by drawn bytes; those that are missing choose the
 * first valid part, so that rapidcheck can shrink a failing case. */
class Chooser {
 public:
  explicit Chooser(std::vector<std::uint8_t> bytes)
      : m_bytes(std::move(bytes)) {}

  std::size_t Next(std::size_t count) {
    return m_next < m_bytes.size() ? m_bytes[m_next++] % count : 0;
  }

  /** Returns one of `faulty` once in kFaultPeriod choices. */
  std::string Pick(const std::vector<std::string>& valid,
                   const std::vector<std::string>& faulty) {
    const bool fault = Next(kFaultPeriod) == kFaultPeriod - 1;
    const std::vector<std::string>& parts = fault ? faulty : valid;
    return parts[Next(parts.size())];
  }

 private:
  static constexpr std::size_t kFaultPeriod = 32;

  std::vector<std::uint8_t> m_bytes;
  std::size_t m_next = 0;
};

/** Joins parts that are drawn in the order of the list; the operands of an
 * addition may be drawn in any order. */
std::string Join(std::initializer_list<std::string> parts) {
  std::string joined;
  for (const std::string& part : parts) {
    joined += part;
  }
  return joined;
}

std::string DrawLineEnd(Chooser& chooser) {
  return chooser.Pick({"\r\n"}, {"\n", "\r", "\r\r\n", " \r\n"});
}

std::string DrawBody(Chooser& chooser) {
  return chooser.Pick({"", "x", std::string(kSmuggled)}, {"\r\n", "0\r\n\r\n"});
}

std::string DrawField(Chooser& chooser) {
  return chooser.Pick(
      {"", "A: 1\r\n", "X-Empty:\r\n", "X-Latin: \xe9\r\n",
       "Connection: X-Hop, keep-alive\r\nX-Hop: 1\r\n", "TE: trailers\r\n",
       "Keep-Alive: timeout=5\r\n", "Upgrade: h2c\r\n", "Trailer: T\r\n",
       "Connection: close\r\n", "Proxy-Connection: close\r\n"},
      {" folded\r\n", "B: 1\r\n\tfolded\r\n", "C : 1\r\n", ": x\r\n",
       "D: a\x01\r\n", "E: a\rb\r\n", "F: a\n", "G\x80: 1\r\n", "H: \x7f\r\n",
       "none\r\n", "Content-Length: 3\r\n", "Transfer-Encoding: chunked\r\n"});
}

std::string Hex(std::size_t number) {
  std::ostringstream out;
  out << std::hex << number;
  return out.str();
}

std::string DrawChunk(Chooser& chooser, const std::string& data) {
  return Join(
      {chooser.Pick({"", "0", "000"}, {"0x", "-", "+", " ", "1", "g"}),
       Hex(data.size()),
       chooser.Pick({"", ";a", ";a=b", ";a=\"q;\\\"\""},
                    {";", ";=", ";a=", ";a=\"x", " ", ";\x01", ";a=b c"}),
       DrawLineEnd(chooser), data});
}

std::string DrawChunks(Chooser& chooser) {
  std::string body;
  for (std::size_t count = chooser.Next(3); count > 0; --count) {
    const std::string data = "y" + DrawBody(chooser);
    body += Join({DrawChunk(chooser, data),
                  chooser.Pick({"\r\n"}, {"", "\n", "xx", "x\r\n", "\r"})});
  }
  body += DrawChunk(chooser, "");
  body += chooser.Pick({"", "T: 1\r\n"},
                       {"T : 1\r\n", "T\r\n", " T: 1\r\n", "T: \x01\r\n",
                        "Content-Length: 1\r\n", "Host: t\r\n",
                        "Transfer-Encoding: chunked\r\n"});
  return body + DrawLineEnd(chooser);
}

/** Draws the headers that state the framing, the end of the head and the body.
 */
std::string DrawFramedRest(Chooser& chooser) {
  const std::size_t kind = chooser.Next(3);
  if (kind == 0) {
    return DrawLineEnd(chooser);
  }
  if (kind == 1) {
    const std::string body = DrawBody(chooser);
    const std::string size = std::to_string(body.size());
    return Join(
        {chooser.Pick(
             {"Content-Length: ", "content-length:", "Content-Length:\t 00"},
             {"Content-Length : ", "Content-Length: +", "Content-Length: -",
              "Content-Length: 1", "Content-Length: 0x", "Content-Length: 1, ",
              "Content-Length: 99999999999999999999"}),
         size,
         chooser.Pick({"", " "},
                      {", " + size, " 1", ";", "\r\nContent-Length: " + size,
                       "\r\nTransfer-Encoding: chunked",
                       "\r\nTransfer-Encoding: gzip", "\n"}),
         "\r\n", DrawLineEnd(chooser), body});
  }
  return Join(
      {"Transfer-Encoding: ",
       chooser.Pick({"chunked", "Chunked", " chunked\t"},
                    {"gzip", "identity", "chunked, identity", "xchunked",
                     "gzip, chunked", "chunked, chunked", "\"chunked\"",
                     "chunked;q=1", "", "chunked\r\nTransfer-Encoding: gzip",
                     "gzip\r\nTransfer-Encoding: chunked",
                     "chunked\r\nContent-Length: 3"}),
       "\r\n", DrawLineEnd(chooser), DrawChunks(chooser)});
}

std::string DrawRequest(Chooser& chooser) {
  return Join(
      {chooser.Pick({"GET", "POST", "PUT", "HEAD", "TRACE"},
                    {"", "P OST", "G\x01T", "CONNECT", "\r\nGET", " GET"}),
       chooser.Pick({" "}, {"  ", "\t"}),
       chooser.Pick({"/", "/a?b=c", "/%00", "*"},
                    {"", "/\x80", "/\xff", "/\x7f", "/a b", "/\t"}),
       chooser.Pick({" "}, {"  ", "\t"}),
       chooser.Pick({"HTTP/1.1"}, {"HTTP/1.0", "HTTP/1.2", "HTTP/2.0",
                                   "http/1.1", "HTTP/1.1 ", "HTTP/01.1"}),
       DrawLineEnd(chooser),
       chooser.Pick({"Host: h\r\n", "host:h:80\r\n"},
                    {"", "Host: a\r\nHost: b\r\n", "Host : h\r\n",
                     "Host: a b\r\n", "Host: a,b\r\n", "Host: \x80\r\n"}),
       DrawField(chooser), DrawField(chooser), DrawFramedRest(chooser)});
}

std::string DrawAnswer(Chooser& chooser) {
  std::string interim =
      chooser.Pick({"", "HTTP/1.1 100 Continue\r\n\r\n"},
                   {"HTTP/1.1 101 Switching Protocols\r\n\r\n",
                    "HTTP/1.1 100 Continue\r\nContent-Length: 1\r\n\r\n"});
  return Join(
      {interim,
       chooser.Pick({"HTTP/1.1"},
                    {"HTTP/1.0", "HTTP/1.2", "HTTP/2.0", "http/1.1"}),
       chooser.Pick({" "}, {"  ", "\t", ""}),
       chooser.Pick(
           {"200", "404", "503", "204", "304"},
           {"000", "099", "600", "999", "20", "2000", "-20", "2x0", ""}),
       chooser.Pick({" OK", " "}, {"\x01", " a\x7f"}), DrawLineEnd(chooser),
       DrawField(chooser), DrawField(chooser), DrawFramedRest(chooser)});
}

bool HasHeader(const std::vector<HttpHeader>& headers, std::string_view name) {
  return std::any_of(headers.begin(), headers.end(),
                     [&](const HttpHeader& header) {
                       return IsSameHeader(header.name, name);
                     });
}

bool EndsConnection(const StrictMessage& message) {
  bool close = message.is_http10;
  for (const HttpHeader& header : message.headers) {
    if (IsSameHeader(header.name, "Connection")) {
      if (header.value == "close") {
        return true;
      }
      close = close && header.value.find("keep-alive") == std::string::npos;
    }
  }
  return close;
}

/** Checks with the strict reader what an upstream gets for a request. */
void CheckPassedOn(HttpRequest request) {
  RemoveHeadersNamedInConnection(request.headers);
  std::ostringstream out;
  out << ToBeast(request, "h");
  const std::string sent = out.str();
  StrictHttpReader reader(sent);
  StrictMessage message;
  RC_ASSERT(reader.ReadRequest(message) == StrictResult::kValid);
  RC_ASSERT(reader.Rest().empty());
  RC_ASSERT(message.method == request.method);
  RC_ASSERT(message.target == request.target);
  RC_ASSERT(message.body == request.body);
  for (const char* name : {"X-Hop", "Connection", "Keep-Alive", "TE", "Upgrade",
                           "Trailer", "Proxy-Connection"}) {
    RC_ASSERT(!HasHeader(message.headers, name));
  }
}

}  // namespace

TEST_CASE(
    "Drawn requests are passed on as a strict reader reads them, or not") {
  ScriptedServer server(AnswerOk, ShortIdle());
  const bool held = rc::check([&] {
    const auto bytes =
        *rc::gen::resize(400, rc::gen::arbitrary<std::vector<std::uint8_t>>());
    Chooser chooser(bytes);
    std::string input;
    for (int i = 0; i < 3; ++i) {
      input += DrawRequest(chooser);
    }
    const std::size_t split = chooser.Next(256) % (input.size() + 1);

    std::vector<StrictMessage> expected;
    StrictHttpReader reader(input);
    StrictResult result = StrictResult::kValid;
    bool ended = false;
    while (!ended && !reader.Rest().empty() && result == StrictResult::kValid) {
      StrictMessage message;
      result = reader.ReadRequest(message);
      if (result == StrictResult::kValid) {
        ended = EndsConnection(message);
        expected.push_back(std::move(message));
      }
    }

    const std::size_t before = server.handler.requests.Values().size();
    RawClient client(server.server.Port());
    client.Send(std::string_view(input).substr(0, split));
    client.Send(std::string_view(input).substr(split));
    if (ended || result == StrictResult::kInvalid) {
      RC_ASSERT(client.ReadToEnd());
      const std::string read = client.ReadUntil("");
      RC_ASSERT(ended || read.find("HTTP/1.1 400") != std::string::npos);
    } else {
      RC_ASSERT(server.handler.requests.WaitForCount(before + expected.size()));
    }
    client.Close();
    server.Run([] {});
    std::vector<HttpRequest> passed = server.handler.requests.Values();
    passed.erase(passed.begin(),
                 passed.begin() + static_cast<std::ptrdiff_t>(before));
    RC_ASSERT(passed.size() == expected.size());
    for (std::size_t i = 0; i < passed.size(); ++i) {
      RC_ASSERT(passed[i].method == expected[i].method);
      RC_ASSERT(passed[i].target == expected[i].target);
      RC_ASSERT(passed[i].body == expected[i].body);
      RC_ASSERT(passed[i].headers == expected[i].headers);
      CheckPassedOn(passed[i]);
    }
  });
  CHECK(held);
}

TEST_CASE("Drawn answers are read as a strict reader reads them, or not") {
  IoThread io;
  io.Start();
  const bool held = rc::check([&] {
    const auto bytes =
        *rc::gen::resize(200, rc::gen::arbitrary<std::vector<std::uint8_t>>());
    Chooser chooser(bytes);
    const bool to_head = chooser.Next(8) == 7;
    const std::string input = DrawAnswer(chooser);

    StrictHttpReader reader(input);
    StrictMessage expected;
    StrictResult result = StrictResult::kValid;
    do {
      expected = {};
      result = reader.ReadAnswer(to_head, expected);
    } while (result == StrictResult::kValid && expected.target[0] == '1');

    const std::optional<HttpResult> read =
        ReadAnswer(io, to_head ? "HEAD" : "GET", input);
    RC_ASSERT(read.has_value() == (result == StrictResult::kValid));
    if (!read) {
      return;
    }
    RC_ASSERT(std::to_string(read->answer.status) == expected.target);
    RC_ASSERT(read->answer.body == expected.body);
    RC_ASSERT(read->answer.headers == expected.headers);

    std::ostringstream out;
    out << ToBeast(read->answer, true, to_head);
    const std::string sent = out.str();
    StrictHttpReader caller(sent);
    StrictMessage received;
    RC_ASSERT(caller.ReadAnswer(to_head, received) == StrictResult::kValid);
    RC_ASSERT(caller.Rest().empty());
    RC_ASSERT(!received.is_until_close);
    RC_ASSERT(received.target == expected.target);
    RC_ASSERT(received.body == expected.body);
  });
  CHECK(held);
  io.Stop();
}

}  // namespace kumquatcove
