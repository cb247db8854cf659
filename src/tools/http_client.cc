#include "tools/http_client.h"

#include <optional>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include "emulator/network_address.h"
#include "tools/answer_reader.h"

namespace kumquatcove {
namespace {

namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

/** Answers of the operator interface carry whole catalogues. */
constexpr std::size_t kMaxAnswerBytes = 64U << 20U;

http::request<http::string_body> MakeRequest(const std::string& address,
                                             const ToolRequest& request) {
  http::request<http::string_body> message;
  message.method_string(request.method);
  message.target(request.target);
  message.version(11);
  message.set(http::field::host, address);
  for (const HttpHeader& header : request.headers) {
    message.set(header.name, header.value);
  }
  message.keep_alive(false);
  message.body() = request.body;
  message.prepare_payload();
  return message;
}

}  // namespace

HttpResult SendHttp(const std::string& address,
                    const ToolRequest& request,
                    Duration timeout) {
  const auto endpoint = emulator::ParseAddress(address);
  if (!endpoint) {
    return HttpFailure::kNotSent;
  }
  boost::asio::io_context io(1);
  beast::tcp_stream stream(io);
  const auto message = MakeRequest(address, request);
  AnswerReader reader;
  reader.Begin(kMaxAnswerBytes);
  HttpResult result = HttpFailure::kNotSent;
  stream.expires_after(timeout);
  stream.async_connect(*endpoint, [&](error_code connect_error) {
    if (connect_error) {
      return;
    }
    result = HttpFailure::kNoReply;
    http::async_write(stream, message, [&](error_code error, std::size_t) {
      if (error) {
        return;
      }
      reader.Read(stream, [&](error_code read_error, std::size_t) {
        std::optional<HttpAnswer> answer;
        if (!read_error) {
          answer = reader.Take();
        }
        if (answer) {
          result = std::move(*answer);
        }
      });
    });
  });
  io.run();
  return result;
}

}  // namespace kumquatcove
