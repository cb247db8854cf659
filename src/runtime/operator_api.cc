#include "runtime/operator_api.h"

#include <cassert>
#include <utility>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "runtime/http_fields.h"

namespace kumquatcove {

namespace {

constexpr std::string_view kCommandPath = "/operator/v1/command";
constexpr std::string_view kBearer = "Bearer ";
constexpr std::int32_t kOk = 200;
constexpr std::int32_t kBadRequest = 400;
constexpr std::int32_t kUnauthorized = 401;
constexpr std::int32_t kForbidden = 403;
constexpr std::int32_t kNotFound = 404;
constexpr std::int32_t kMethodNotAllowed = 405;
constexpr std::int32_t kConflict = 409;
constexpr std::int32_t kUnavailable = 503;

std::int32_t StatusOfResult(OperatorResult result) {
  switch (result) {
    case OperatorResult::kOk:
      return kOk;
    case OperatorResult::kInvalid:
      return kBadRequest;
    case OperatorResult::kForbidden:
      return kForbidden;
    case OperatorResult::kConflict:
      return kConflict;
    case OperatorResult::kUnavailable:
      return kUnavailable;
  }
  return kUnavailable;
}

HttpAnswer MakeTextAnswer(std::string text) {
  HttpAnswer answer;
  answer.status = kOk;
  answer.headers.push_back({"Content-Type", "text/plain; version=0.0.4"});
  answer.body = std::move(text);
  return answer;
}

}  // namespace

bool IsSameSecret(std::string_view left, std::string_view right) {
  if (left.size() != right.size()) {
    return false;
  }
  unsigned difference = 0;
  for (std::size_t i = 0; i < left.size(); ++i) {
    difference |= static_cast<unsigned char>(left[i]) ^
                  static_cast<unsigned>(static_cast<unsigned char>(right[i]));
  }
  return difference == 0;
}

OperatorApi::OperatorApi(EventSink& events,
                         Metrics& metrics,
                         RequestIdGenerator& numbers,
                         std::vector<OperatorSettings> operators)
    : m_events(events),
      m_metrics(metrics),
      m_request_ids(numbers),
      m_operators(std::move(operators)) {}

void OperatorApi::OnRequest(ServedRequest request) {
  assert(m_server != nullptr);
  if (PathOfTarget(request.http.target) == kCommandPath) {
    OnCommand(request);
  } else {
    OnGet(request);
  }
}

void OperatorApi::OnGet(const ServedRequest& request) {
  if (request.http.method != "GET") {
    m_server->Answer(request.exchange,
                     MakeErrorAnswer(kMethodNotAllowed, "use GET"));
    return;
  }
  const std::string_view path = PathOfTarget(request.http.target);
  if (path == "/healthz") {
    m_server->Answer(request.exchange, MakeTextAnswer("ok\n"));
  } else if (path == "/metrics") {
    m_server->Answer(request.exchange, MakeTextAnswer(m_metrics.Format()));
  } else if (path == "/status") {
    Submit(request.exchange, OperatorName(), StatusCommand{}, true);
  } else {
    m_server->Answer(request.exchange,
                     MakeErrorAnswer(kNotFound, "no such path"));
  }
}

void OperatorApi::OnCommand(const ServedRequest& request) {
  if (request.http.method != "POST") {
    m_server->Answer(request.exchange,
                     MakeErrorAnswer(kMethodNotAllowed, "use POST"));
    return;
  }
  const OperatorSettings* found = Authenticate(request.http);
  if (found == nullptr) {
    m_metrics.Add("operator_authentication_failures_total");
    HttpAnswer answer = MakeErrorAnswer(kUnauthorized, "no valid bearer token");
    answer.headers.push_back({"WWW-Authenticate", "Bearer"});
    m_server->Answer(request.exchange, std::move(answer));
    return;
  }
  try {
    OperatorCommand command =
        FromJson<OperatorCommand>(boost::json::parse(request.http.body));
    Submit(request.exchange, found->name, std::move(command), false);
  } catch (const std::exception& error) {
    OperatorAnswer answer;
    answer.result = OperatorResult::kInvalid;
    answer.message = error.what();
    m_server->Answer(
        request.exchange,
        MakeJsonAnswer(kBadRequest, boost::json::serialize(ToJson(answer))));
  }
}

const OperatorSettings* OperatorApi::Authenticate(
    const HttpRequest& request) const {
  const std::string header = FindHeader(request.headers, "Authorization");
  if (header.size() <= kBearer.size() ||
      !IsSameHeader(header.substr(0, kBearer.size()), kBearer)) {
    return nullptr;
  }
  const OperatorSettings* found = nullptr;
  for (const OperatorSettings& candidate : m_operators) {
    if (IsSameSecret(header.substr(kBearer.size()), candidate.token)) {
      found = &candidate;
    }
  }
  return found;
}

void OperatorApi::Submit(ExchangeId exchange,
                         OperatorName name,
                         OperatorCommand command,
                         bool document_only) {
  const RequestId id = m_request_ids.Next();
  m_pending[id] = {exchange, document_only};
  m_events.Post(
      OperatorCommandArrived{id, std::move(name), std::move(command)});
}

void OperatorApi::OnClientDisconnected(ExchangeId exchange) {
  // The command is still executed; only its answer is discarded.
  absl::erase_if(m_pending, [&](const auto& entry) {
    return entry.second.exchange == exchange;
  });
}

HttpAnswer OperatorApi::OnMalformed(std::int32_t status,
                                    std::string_view problem) {
  m_metrics.Add("malformed_operator_requests_total");
  return MakeErrorAnswer(status, problem);
}

void OperatorApi::Execute(const AnswerOperator& answer) {
  const auto found = m_pending.find(answer.request);
  if (found == m_pending.end()) {
    return;
  }
  const Pending pending = found->second;
  m_pending.erase(found);
  std::string body = pending.document_only
                         ? answer.answer.document
                         : boost::json::serialize(ToJson(answer.answer));
  m_server->Answer(
      pending.exchange,
      MakeJsonAnswer(StatusOfResult(answer.answer.result), std::move(body)));
}

}  // namespace kumquatcove
