#ifndef RUNTIME_PLATFORM_DIALECT_H_
#define RUNTIME_PLATFORM_DIALECT_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "protocol/effect.h"
#include "protocol/event.h"
#include "runtime/http_handler.h"

namespace kumquatcove {

/** Reason why a request is invalid, and the HTTP status of its answer. */
struct RequestProblem {
  std::int32_t status = 400;
  std::string text;
};

/** Protocol between callers and this instance. */
struct CallerDialect {
  /** Parses a request as a lookup. Returns `std::nullopt` if it is not a
   * lookup. `request` of the result is not set. */
  std::function<std::optional<LookupArrived>(const ServedRequest&)> read_lookup;
  /** Moves the steering headers of a request into the members of the event.
   * Returns a problem if the request is invalid, otherwise `std::nullopt`. */
  std::function<std::optional<RequestProblem>(RequestArrived&)> read_request;
  std::function<HttpAnswer(const LookupAnswer&)> write_lookup;
  /** Returns the answer to a refused request. */
  std::function<HttpAnswer(const AnswerCaller&)> write_refusal;
};

/** Protocol between this instance and upstreams. */
struct UpstreamDialect {
  /** Sets the headers that are specific to one send. */
  std::function<void(const SendUpstream&, HttpRequest&)> write_request;
  /** Returns whether an answer belongs to the request with this attempt id.
   * Other answers belong to an earlier request on the connection. */
  std::function<bool(const std::string& attempt, const HttpAnswer&)> belongs;
  /** Sets the members of the event that describe the state of the upstream.
   * Returns false if the answer must not be forwarded. */
  std::function<bool(const HttpAnswer&, UpstreamAnswered&)> read_answer;
};

/** Protocol between this instance and the platform's store. */
struct StoreDialect {
  std::function<HttpRequest(const StoreOperation&)> write_operation;
  std::function<StoreReply(const StoreOperation&, const HttpAnswer&)>
      read_reply;
};

/** The protocol of a platform. */
struct PlatformDialect {
  CallerDialect callers;
  UpstreamDialect upstreams;
  StoreDialect store;
};

/** Returns the HTTP status for `reason` in the product's own protocol. */
std::int32_t StatusOfReason(RefusalReason reason);

/** Returns the dialect of the product's own protocol, which the emulated
 * platform uses. */
PlatformDialect MakeNativeDialect();

}  // namespace kumquatcove

#endif  // RUNTIME_PLATFORM_DIALECT_H_
