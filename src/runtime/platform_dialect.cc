#include "runtime/platform_dialect.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "base/json_codec.h"
#include "runtime/http_fields.h"
#include "runtime/store_codec.h"

namespace kumquatcove {

namespace {

constexpr std::string_view kLookupPath = "/kumquatcove/v1/entries";
constexpr std::string_view kServiceHeader = "Kumquatcove-Service";
constexpr std::string_view kKeyHeader = "Idempotency-Key";
constexpr std::string_view kDeadlineHeader = "Kumquatcove-Deadline-Ms";
constexpr std::int64_t kMaxDeadlineMs = 3'600'000;
constexpr std::size_t kMaxKeyBytes = 256;
constexpr std::int32_t kBadRequest = 400;
constexpr std::int32_t kNotFound = 404;
constexpr std::int32_t kMethodNotAllowed = 405;
constexpr std::int32_t kConflict = 409;
constexpr std::int32_t kUnprocessable = 422;
constexpr std::int32_t kTooManyRequests = 429;
constexpr std::int32_t kBadGateway = 502;
constexpr std::int32_t kUnavailable = 503;
constexpr std::int32_t kGatewayTimeout = 504;
constexpr std::int32_t kOk = 200;

bool IsSteeringHeader(std::string_view name) {
  return IsSameHeader(name, kServiceHeader) || IsSameHeader(name, kKeyHeader) ||
         IsSameHeader(name, kDeadlineHeader);
}

/** Moves the steering headers of a request into its members. Returns a problem
 * if the request is invalid, otherwise `std::nullopt`. */
std::optional<RequestProblem> SplitHeaders(HttpRequest& request) {
  if (PathOfTarget(request.target) == kLookupPath) {
    return RequestProblem{kMethodNotAllowed, "use GET"};
  }
  request.host = FindHeader(request.headers, "Host");
  request.service_code = FindHeader(request.headers, kServiceHeader);
  request.idempotency_key = FindHeader(request.headers, kKeyHeader);
  const std::string deadline = FindHeader(request.headers, kDeadlineHeader);
  RemoveHeadersNamedInConnection(request.headers);
  std::erase_if(request.headers, [](const HttpHeader& header) {
    return IsSteeringHeader(header.name) || IsConnectionHeader(header.name);
  });
  if (request.idempotency_key.size() > kMaxKeyBytes) {
    return RequestProblem{kBadRequest,
                          "Idempotency-Key is longer than 256 bytes"};
  }
  if (deadline.empty()) {
    return std::nullopt;
  }
  std::int64_t milliseconds = 0;
  const auto [end, error] = std::from_chars(
      deadline.data(), deadline.data() + deadline.size(), milliseconds);
  if (error != std::errc() || end != deadline.data() + deadline.size() ||
      milliseconds < 1 || milliseconds > kMaxDeadlineMs) {
    return RequestProblem{
        kBadRequest,
        "Kumquatcove-Deadline-Ms isn't a number from 1 to 3600000"};
  }
  request.deadline = Milliseconds(milliseconds);
  return std::nullopt;
}

HttpAnswer MakeRefusalAnswer(Outcome outcome,
                             RefusalReason reason,
                             std::int32_t status) {
  boost::json::object document;
  document["outcome"] = ToString(outcome);
  document["reason"] = ToString(reason);
  return MakeJsonAnswer(status, boost::json::serialize(document));
}

std::string FormatLookup(const LookupAnswer& answer) {
  boost::json::array entries;
  for (const LookupEntry& entry : answer.entries) {
    entries.push_back(ToJson(entry));
  }
  boost::json::object document;
  document["entries"] = std::move(entries);
  document["ttl_ms"] = answer.time_to_live.count() / 1000;
  return boost::json::serialize(document);
}

std::optional<LookupArrived> ReadLookup(const ServedRequest& request) {
  const bool is_lookup = PathOfTarget(request.http.target) == kLookupPath &&
                         request.http.method == "GET";
  if (!is_lookup) {
    return std::nullopt;
  }
  LookupArrived event;
  event.service = FindQueryParameter(request.http.target, "service");
  event.client_address = FindQueryParameter(request.http.target, "client");
  if (event.client_address.empty()) {
    event.client_address = request.remote_address;
  }
  return event;
}

HttpAnswer WriteLookup(const LookupAnswer& answer) {
  if (answer.reason == RefusalReason::kNone) {
    return MakeJsonAnswer(kOk, FormatLookup(answer));
  }
  const bool unknown = answer.reason == RefusalReason::kUnknownService;
  return MakeErrorAnswer(unknown ? kNotFound : kUnavailable,
                         ToString(answer.reason));
}

HttpAnswer WriteRefusal(const AnswerCaller& answer) {
  const RefusalReason reason = answer.answer.reason;
  return MakeRefusalAnswer(answer.answer.outcome, reason,
                           StatusOfReason(reason));
}

void WriteRequest(const SendUpstream& effect, HttpRequest& request) {
  const std::int64_t milliseconds =
      std::max<std::int64_t>(effect.patience.count() / 1000, 1);
  request.headers.push_back(
      {std::string(kDeadlineHeader), std::to_string(milliseconds)});
  if (!request.idempotency_key.empty()) {
    request.headers.push_back(
        {std::string(kKeyHeader), request.idempotency_key});
  }
}

bool HasTrueHeader(const HttpAnswer& answer, std::string_view name) {
  return IsSameHeader(FindHeader(answer.headers, name), "true");
}

bool ReadAnswer(const HttpAnswer& answer, UpstreamAnswered& event) {
  event.draining = HasTrueHeader(answer, "X-Draining");
  event.not_executed =
      answer.status == kUnavailable && HasTrueHeader(answer, "X-Not-Executed");
  return answer.body.size() <= kMaxBodyBytes;
}

}  // namespace

std::int32_t StatusOfReason(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kMissingKey:
    case RefusalReason::kInvalidRequest:
      return kBadRequest;
    case RefusalReason::kUnknownService:
      return kNotFound;
    case RefusalReason::kKeyReused:
      return kConflict;
    case RefusalReason::kQuarantined:
      return kUnprocessable;
    case RefusalReason::kHeadroom:
    case RefusalReason::kLinkBudget:
    case RefusalReason::kShiftCap:
    case RefusalReason::kRetryBudget:
      return kTooManyRequests;
    case RefusalReason::kDeadlineTooShort:
    case RefusalReason::kDeadlineExpired:
      return kGatewayTimeout;
    case RefusalReason::kNotReady:
    case RefusalReason::kIsolated:
    case RefusalReason::kLeaving:
    case RefusalReason::kStoreUnavailable:
    case RefusalReason::kNoUpstream:
    case RefusalReason::kQueueFull:
    case RefusalReason::kPeerUnreachable:
    case RefusalReason::kOverloaded:
      return kUnavailable;
    case RefusalReason::kNone:
    case RefusalReason::kUpstreamFailed:
    case RefusalReason::kOwnerUnreachable:
      return kBadGateway;
  }
  return kBadGateway;
}

PlatformDialect MakeNativeDialect() {
  PlatformDialect dialect;
  dialect.callers = {
      ReadLookup,
      [](RequestArrived& event) { return SplitHeaders(event.http); },
      WriteLookup, WriteRefusal};
  dialect.upstreams = {
      WriteRequest,
      [](const std::string& /*attempt*/, const HttpAnswer&) { return true; },
      ReadAnswer};
  dialect.store = {EncodeStoreOperation, DecodeStoreReply};
  return dialect;
}

}  // namespace kumquatcove
