#include "platform/user_platform_dialect.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <string_view>
#include <utility>
#include <vector>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <absl/strings/strip.h>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "platform/user_store_codec.h"
#include "runtime/http_fields.h"
#include "runtime/log_line.h"

namespace kumquatcove {

namespace {

constexpr std::string_view kLookupPath = "/kumquatcove/resolve";
constexpr std::string_view kAttemptHeader = "Attempt-Id";
constexpr std::string_view kDeadlineHeader = "Deadline-Ms";
constexpr std::string_view kExpectedUpstreamHeader = "Expect-Instance";
constexpr std::string_view kNotExecutedHeader = "Not-Executed";
constexpr std::string_view kLoadHeader = "Server-Load";
constexpr std::string_view kRateLimitHeader = "Server-Limit";
constexpr std::string_view kSealHeader = "Server-Seal";
constexpr std::string_view kObjectCookie = "Affinity-Key";

constexpr std::int32_t kOk = 200;
constexpr std::int32_t kFirstRedirect = 300;
constexpr std::int32_t kNotFound = 404;
constexpr std::int32_t kMisdirected = 421;
constexpr std::int32_t kBadGateway = 502;
constexpr std::int32_t kUnavailable = 503;
constexpr std::int32_t kGatewayTimeout = 504;

bool IsSuccess(std::int32_t status) {
  return status >= kOk && status < kFirstRedirect;
}

/** Returns the value of a cookie, or an empty string. */
std::string FindCookie(const std::vector<HttpHeader>& headers,
                       std::string_view name) {
  for (const HttpHeader& header : headers) {
    if (!IsSameHeader(header.name, "Cookie")) {
      continue;
    }
    for (absl::string_view cookie : absl::StrSplit(header.value, ';')) {
      cookie = absl::StripAsciiWhitespace(cookie);
      if (absl::ConsumePrefix(&cookie, absl::StrCat(std::string(name), "="))) {
        return std::string(cookie);
      }
    }
  }
  return {};
}

std::optional<LookupArrived> ReadLookup(const ServedRequest& request) {
  if (PathOfTarget(request.http.target) != kLookupPath) {
    return std::nullopt;
  }
  LookupArrived event;
  event.service = FindQueryParameter(request.http.target, "name");
  event.client_address = request.remote_address;
  event.region = RegionName(FindQueryParameter(request.http.target, "region"));
  event.zone = ZoneName(FindQueryParameter(request.http.target, "zone"));
  return event;
}

std::optional<RequestProblem> ReadRequest(RequestArrived& event) {
  HttpRequest& http = event.http;
  http.host = FindHeader(http.headers, "Host");
  event.attempt = FindHeader(http.headers, kAttemptHeader);
  event.object = FindCookie(http.headers, kObjectCookie);
  std::int64_t milliseconds = 0;
  const std::string deadline = FindHeader(http.headers, kDeadlineHeader);
  if (absl::SimpleAtoi(deadline, &milliseconds) && milliseconds >= 0) {
    http.deadline = Milliseconds(milliseconds);
  }
  RemoveHeadersNamedInConnection(http.headers);
  std::erase_if(http.headers, [](const HttpHeader& header) {
    return IsSameHeader(header.name, kDeadlineHeader) ||
           IsSameHeader(header.name, kExpectedUpstreamHeader) ||
           IsConnectionHeader(header.name);
  });
  return std::nullopt;
}

HttpAnswer WriteLookup(const LookupAnswer& answer) {
  if (answer.reason != RefusalReason::kNone) {
    return MakeErrorAnswer(kUnavailable, ToString(answer.reason));
  }
  boost::json::array addresses;
  for (const LookupEntry& entry : answer.entries) {
    addresses.emplace_back(entry.address);
  }
  boost::json::object document;
  document["addresses"] = std::move(addresses);
  document["ttl-s"] =
      static_cast<double>(answer.time_to_live.count()) / 1'000'000;
  return MakeJsonAnswer(kOk, boost::json::serialize(document));
}

/** Statuses 503 and 404 say that the request has not run; 502 and 504 say
 * nothing of that. */
std::int32_t StatusOf(const CallerAnswer& answer) {
  if (answer.outcome == Outcome::kDidNotRun) {
    return answer.reason == RefusalReason::kUnknownService ? kNotFound
                                                           : kUnavailable;
  }
  return answer.reason == RefusalReason::kDeadlineExpired ? kGatewayTimeout
                                                          : kBadGateway;
}

HttpAnswer WriteRefusal(const AnswerCaller& answer) {
  HttpAnswer http =
      MakeErrorAnswer(StatusOf(answer.answer), ToString(answer.answer.reason));
  if (answer.retry_after) {
    const double seconds =
        static_cast<double>(answer.retry_after->count()) / 1'000'000;
    http.headers.push_back({"Retry-After", absl::StrCat(seconds)});
  }
  return http;
}

void WriteRequest(const SendUpstream& effect, HttpRequest& request) {
  const std::int64_t milliseconds =
      std::max<std::int64_t>(effect.patience.count() / 1000, 1);
  request.headers.push_back(
      {std::string(kDeadlineHeader), std::to_string(milliseconds)});
  request.headers.push_back(
      {std::string(kExpectedUpstreamHeader), effect.upstream.Text()});
}

bool Belongs(const std::string& attempt, const HttpAnswer& answer) {
  const std::string echo = FindHeader(answer.headers, kAttemptHeader);
  return echo == attempt || (echo.empty() && !IsSuccess(answer.status));
}

/** Reads `running,waiting,slots` and, if there is a fourth figure, the present
 * time of work in hundredths of the usual one. */
std::optional<UpstreamLoadReport> ReadLoad(const std::string& text) {
  const std::vector<absl::string_view> parts = absl::StrSplit(text, ',');
  constexpr std::size_t kMinFigures = 3;
  std::array<std::int32_t, kMinFigures + 1> figures{0, 0, 0, 100};
  if (parts.size() < kMinFigures) {
    return std::nullopt;
  }
  for (std::size_t i = 0; i < std::min(parts.size(), figures.size()); ++i) {
    if (!absl::SimpleAtoi(absl::StripAsciiWhitespace(parts[i]), &figures[i]) ||
        figures[i] < 0) {
      return std::nullopt;
    }
  }
  return UpstreamLoadReport{figures[0], figures[1], figures[2], figures[3]};
}

/** Reads the decimal number of requests per second. */
void ReadRateLimit(const std::string& text, UpstreamAnswered& event) {
  if (text.empty()) {
    return;
  }
  double rate = 0;
  if (absl::SimpleAtod(text, &rate) && std::isfinite(rate) && rate >= 0) {
    event.rate_limit = rate;
    return;
  }
  event.rate_limit_unreadable = true;
  LogWarning(LogLine("upstream_rate_limit_unreadable").Add("value", text));
}

/** Reads `timeout=SECONDS` of a Keep-Alive header. */
std::optional<Duration> ReadIdleLimit(const std::string& text) {
  for (absl::string_view part : absl::StrSplit(text, ',')) {
    part = absl::StripAsciiWhitespace(part);
    std::int64_t seconds = 0;
    if (absl::ConsumePrefix(&part, "timeout=") &&
        absl::SimpleAtoi(part, &seconds) && seconds >= 0) {
      return Seconds(seconds);
    }
  }
  return std::nullopt;
}

/** A success without a seal, or with an encoding that nobody asked for, isn't
 * the upstream's answer. */
bool ReadAnswer(const HttpAnswer& answer, UpstreamAnswered& event) {
  event.wrong_upstream = answer.status == kMisdirected;
  event.not_executed = !FindHeader(answer.headers, kNotExecutedHeader).empty();
  event.load = ReadLoad(FindHeader(answer.headers, kLoadHeader));
  ReadRateLimit(FindHeader(answer.headers, kRateLimitHeader), event);
  event.idle_limit = ReadIdleLimit(FindHeader(answer.headers, "Keep-Alive"));
  const bool encoded = !FindHeader(answer.headers, "Content-Encoding").empty();
  const bool sealed = !FindHeader(answer.headers, kSealHeader).empty();
  return !encoded && (sealed || !IsSuccess(answer.status));
}

}  // namespace

PlatformDialect MakeUserPlatformDialect() {
  PlatformDialect dialect;
  dialect.callers = {ReadLookup, ReadRequest, WriteLookup, WriteRefusal};
  dialect.upstreams = {WriteRequest, Belongs, ReadAnswer};
  dialect.store = {WriteUserStoreOperation, ReadUserStoreReply};
  return dialect;
}

}  // namespace kumquatcove
