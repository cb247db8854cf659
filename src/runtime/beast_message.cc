#include "runtime/beast_message.h"

#include <algorithm>
#include <cassert>
#include <utility>

#include "runtime/http_fields.h"

namespace kumquatcove {

namespace http = boost::beast::http;

namespace {

constexpr unsigned kHttp11 = 11;
constexpr std::int32_t kBadGateway = 502;

bool MayHaveBody(std::int32_t status) {
  return status >= 200 && status != 204 && status != 304;
}

void CopyValidHeaders(const std::vector<HttpHeader>& headers,
                      http::fields& fields) {
  for (const HttpHeader& header : headers) {
    if (!IsConnectionHeader(header.name) && IsValidHeader(header)) {
      fields.insert(header.name, header.value);
    }
  }
}

}  // namespace

BeastResponse ToBeast(HttpAnswer answer, bool keep_alive, bool is_head) {
  if (answer.status < 200 || answer.status > 599) {
    answer.status = kBadGateway;
  }
  BeastResponse response;
  response.version(kHttp11);
  response.result(static_cast<unsigned>(answer.status));
  CopyValidHeaders(answer.headers, response);
  response.keep_alive(keep_alive);
  if (!is_head && MayHaveBody(answer.status)) {
    response.body() = std::move(answer.body);
  }
  response.prepare_payload();
  if (is_head && MayHaveBody(answer.status)) {
    const std::string length = FindHeader(answer.headers, "Content-Length");
    const bool is_number =
        !length.empty() &&
        std::all_of(length.begin(), length.end(),
                    [](char c) { return c >= '0' && c <= '9'; });
    if (is_number) {
      response.set(http::field::content_length, length);
    }
  }
  return response;
}

BeastRequest ToBeast(HttpRequest request, std::string_view host) {
  assert(IsValidMethod(request.method) && IsValidTarget(request.target));
  BeastRequest result;
  result.version(kHttp11);
  result.method_string(request.method);
  result.target(request.target);
  CopyValidHeaders(request.headers, result);
  if (IsValidHeader({"Host", std::string(host)})) {
    result.set(http::field::host, host);
  }
  result.body() = std::move(request.body);
  result.prepare_payload();
  return result;
}

}  // namespace kumquatcove
