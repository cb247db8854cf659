#include <doctest/doctest.h>

#include <chrono>
#include <optional>
#include <string>
#include <thread>
#include <variant>

#include <absl/strings/str_cat.h>
#include <boost/asio/io_context.hpp>

#include "runtime/invalid_answers.h"
#include "runtime/one_answer_server.h"
#include "runtime/stalled_server.h"
#include "tools/caller_connections.h"
#include "tools/http_client.h"

namespace kumquatcove {
namespace {

constexpr Duration kTimeout = Seconds(5);

/** Returns how an exchange of the load tool's callers ends. */
HttpResult ExchangeAsCaller(const std::string& address,
                            const ToolRequest& request) {
  boost::asio::io_context io;
  CallerConnections connections(io);
  std::optional<HttpResult> result;
  connections.Exchange(address, request, kTimeout,
                       [&](HttpResult ended) { result = std::move(ended); });
  while (!result && io.run_one() > 0) {
  }
  REQUIRE(result.has_value());
  return *result;
}

bool IsWithoutReply(const HttpResult& result) {
  return result == HttpResult(HttpFailure::kNoReply);
}

}  // namespace

// Guards against tools that count bytes which are no answer as one, so that an
// instance which passes them on isn't noticed.
TEST_CASE("Tools take no invalid answer for an answer") {
  const ToolRequest request{"GET", "/", {}, ""};
  for (const std::string& bytes : MakeInvalidAnswers()) {
    CAPTURE(bytes);
    {
      const OneAnswerServer instance(bytes);
      CHECK(IsWithoutReply(SendHttp(instance.Address(), request, kTimeout)));
    }
    const OneAnswerServer instance(bytes);
    CHECK(IsWithoutReply(ExchangeAsCaller(instance.Address(), request)));
  }
}

TEST_CASE("Tools take no part of an answer for a whole one") {
  for (const std::size_t body_bytes :
       {std::size_t{1}, std::size_t{32U << 20U}}) {
    for (const bool as_caller : {false, true}) {
      CAPTURE(body_bytes);
      CAPTURE(as_caller);
      const ToolRequest request{"POST", "/", {}, std::string(body_bytes, 'b')};
      StalledServer instance;
      std::thread server([&] {
        instance.Accept();
        instance.Write("HTTP/1.1 200 OK\r\n\r\npart");
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
        instance.Reset();
      });
      CHECK(IsWithoutReply(
          as_caller ? ExchangeAsCaller(instance.Address(), request)
                    : SendHttp(instance.Address(), request, kTimeout)));
      server.join();
    }
  }
}

TEST_CASE("Tools read valid answers, without what trailers state") {
  const ToolRequest request{"GET", "/", {}, ""};
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nA: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
      "1\r\nx\r\n0\r\nT: 1\r\n\r\n";
  for (const std::string& bytes :
       {absl::StrCat(kOkStatusLine, "A: 1\r\n", kEndOfOneByte), chunked,
        absl::StrCat(kOkStatusLine, "A: 1\r\n\r\nx")}) {
    CAPTURE(bytes);
    const OneAnswerServer first(bytes, AnswerPace::kByteByByte);
    const OneAnswerServer second(bytes, AnswerPace::kByteByByte);
    for (const HttpResult& result :
         {SendHttp(first.Address(), request, kTimeout),
          ExchangeAsCaller(second.Address(), request)}) {
      const auto* answer = std::get_if<HttpAnswer>(&result);
      REQUIRE(answer != nullptr);
      CHECK(answer->status == 200);
      CHECK(answer->body == "x");
      CHECK(answer->headers.front() == HttpHeader{"A", "1"});
      for (const HttpHeader& header : answer->headers) {
        CHECK(header.name != "T");
      }
    }
  }
}

}  // namespace kumquatcove
