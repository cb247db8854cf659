#ifndef RUNTIME_HTTP_HANDLER_H_
#define RUNTIME_HTTP_HANDLER_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "protocol/http_message.h"

namespace kumquatcove {

/** One request on a server's connection; unique within the process. */
struct ExchangeId {
  std::uint64_t number = 0;
  friend auto operator<=>(const ExchangeId&, const ExchangeId&) = default;
};

/** A request as read by a server. In `http`, only method, target, headers and
 * body are set. */
struct ServedRequest {
  ExchangeId exchange;
  /** IP address of the client, without the port. */
  std::string remote_address;
  HttpRequest http;
};

/** Handles the requests of a server. All functions are called on the IoThread.
 */
class HttpHandler {
 public:
  HttpHandler() = default;
  HttpHandler(const HttpHandler&) = delete;
  HttpHandler& operator=(const HttpHandler&) = delete;
  virtual ~HttpHandler() = default;

  /** Handles a request. RequestServer::Answer must be called for it exactly
   * once. */
  virtual void OnRequest(ServedRequest request) = 0;

  /** Called when the client closes its connection before the answer; a later
   * answer is ignored. */
  virtual void OnClientDisconnected(ExchangeId exchange) = 0;

  /** Returns the answer to input that is not a valid request. */
  virtual HttpAnswer OnMalformed(std::int32_t status,
                                 std::string_view problem) = 0;

  /** Reports an exception that left the handling of a request, and returns the
   * error for its client; the exchange is no longer pending. `exchange` is 0 if
   * no request was read. */
  virtual HttpAnswer OnFailed(ExchangeId exchange, std::string_view error);
};

}  // namespace kumquatcove

#endif  // RUNTIME_HTTP_HANDLER_H_
