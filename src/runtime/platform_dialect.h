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

/** Why a request isn't a valid one, and the HTTP status that says so. */
struct RequestProblem {
  std::int32_t status = 400;
  std::string text;
};

/** How callers speak to this instance. */
struct CallerDialect {
  /** Returns the look-up that a request is, or nothing if it isn't one;
   * `request` of the result isn't set. */
  std::function<std::optional<LookupArrived>(const ServedRequest&)> read_lookup;
  /** Moves what steers a request from its headers into the members of the
   * event. Returns the problem with it, or nothing. */
  std::function<std::optional<RequestProblem>(RequestArrived&)> read_request;
  std::function<HttpAnswer(const LookupAnswer&)> write_lookup;
  /** Returns the answer to a refused request. */
  std::function<HttpAnswer(const AnswerCaller&)> write_refusal;
};

/** How this instance speaks to upstreams. */
struct UpstreamDialect {
  /** Sets the headers that concern a single send. */
  std::function<void(const SendUpstream&, HttpRequest&)> write_request;
  /** Returns whether an answer belongs to the request with the attempt id;
   * others are left over on the connection from an earlier request. */
  std::function<bool(const std::string& attempt, const HttpAnswer&)> belongs;
  /** Sets what an answer says of the upstream. Returns false if the answer
   * isn't one that may be passed on. */
  std::function<bool(const HttpAnswer&, UpstreamAnswered&)> read_answer;
};

/** How this instance speaks to the platform's store. */
struct StoreDialect {
  std::function<HttpRequest(const StoreOperation&)> write_operation;
  std::function<StoreReply(const StoreOperation&, const HttpAnswer&)>
      read_reply;
};

/** Names, formats and calls of a platform. */
struct PlatformDialect {
  CallerDialect callers;
  UpstreamDialect upstreams;
  StoreDialect store;
};

/** Returns the HTTP status by which the product's own interface tells a caller
 * `reason`. */
std::int32_t StatusOfReason(RefusalReason reason);

/** Returns the product's own interface, which its emulated platform speaks. */
PlatformDialect MakeNativeDialect();

}  // namespace kumquatcove

#endif  // RUNTIME_PLATFORM_DIALECT_H_
