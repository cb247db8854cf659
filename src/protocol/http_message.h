#ifndef PROTOCOL_HTTP_MESSAGE_H_
#define PROTOCOL_HTTP_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <boost/describe/class.hpp>

#include "base/clock_reading.h"
#include "protocol/outcome.h"

namespace kumquatcove {

/** Maximum size of a request or answer body in bytes; the HTTP server refuses
 * larger ones. */
inline constexpr std::size_t kMaxBodyBytes = 1U << 20U;

/** Maximum size of the head of a request in bytes, unless the deployment sets
 * another one. */
inline constexpr std::size_t kMaxRequestHeadBytes = 16'384;

struct HttpHeader {
  std::string name;
  std::string value;
  friend bool operator==(const HttpHeader&, const HttpHeader&) = default;
};
BOOST_DESCRIBE_STRUCT(HttpHeader, (), (name, value))

/** A caller's request. The steering headers are removed from `headers` and
 * stored in separate members. */
struct HttpRequest {
  std::string method;
  /** Path and query as received. */
  std::string target;
  std::string host;
  /** Value of `Kumquatcove-Service`; empty if absent. */
  std::string service_code;
  /** Value of `Idempotency-Key`; empty if absent. */
  std::string idempotency_key;
  /** Value of `Kumquatcove-Deadline-Ms`, relative to the arrival. */
  std::optional<Duration> deadline;
  std::vector<HttpHeader> headers;
  std::string body;
  friend bool operator==(const HttpRequest&, const HttpRequest&) = default;
};
BOOST_DESCRIBE_STRUCT(HttpRequest,
                      (),
                      (method,
                       target,
                       host,
                       service_code,
                       idempotency_key,
                       deadline,
                       headers,
                       body))

/** An upstream's answer. */
struct HttpAnswer {
  std::int32_t status = 0;
  std::vector<HttpHeader> headers;
  std::string body;
  friend bool operator==(const HttpAnswer&, const HttpAnswer&) = default;
};
BOOST_DESCRIBE_STRUCT(HttpAnswer, (), (status, headers, body))

/** Answer to a caller: the upstream's answer if the outcome is kRan, otherwise
 * the reason for the refusal. */
struct CallerAnswer {
  Outcome outcome = Outcome::kUnknown;
  RefusalReason reason = RefusalReason::kNone;
  HttpAnswer http;
  friend bool operator==(const CallerAnswer&, const CallerAnswer&) = default;
};
BOOST_DESCRIBE_STRUCT(CallerAnswer, (), (outcome, reason, http))

}  // namespace kumquatcove

#endif  // PROTOCOL_HTTP_MESSAGE_H_
