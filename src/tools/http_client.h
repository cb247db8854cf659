#ifndef TOOLS_HTTP_CLIENT_H_
#define TOOLS_HTTP_CLIENT_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/clock_reading.h"
#include "protocol/http_message.h"

namespace kumquatcove {

/** A request of a tool, sent on a connection of its own. */
struct ToolRequest {
  std::string method;
  std::string target;
  std::vector<HttpHeader> headers;
  std::string body;
};

/** Why there is no answer. */
enum class HttpFailure {
  /** No connection was made, so the request had no effect. */
  kNotSent,
  /** The request may have had an effect. */
  kNoReply,
};

using HttpResult = std::variant<HttpAnswer, HttpFailure>;

/**
 * Sends a request to `address` (IP number and port) and waits for the answer.
 *
 * Blocks for at most `timeout`. Thread safety: full.
 */
HttpResult SendHttp(const std::string& address,
                    const ToolRequest& request,
                    Duration timeout);

}  // namespace kumquatcove

#endif  // TOOLS_HTTP_CLIENT_H_
