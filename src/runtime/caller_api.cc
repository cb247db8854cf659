#include "runtime/caller_api.h"

#include <cassert>
#include <optional>
#include <utility>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "base/enum_table.h"
#include "runtime/http_fields.h"
#include "runtime/message_guard.h"
#include "runtime/system_clock.h"

namespace kumquatcove {

namespace {

constexpr std::string_view kOutcomeHeader = "Kumquatcove-Outcome";
constexpr std::string_view kRequestIdHeader = "Kumquatcove-Request-Id";
/** Status that doesn't say whether the request ran. */
constexpr std::int32_t kBadGateway = 502;

/** Derives a service name from the service code, the host or the first path
 * segment. Used as a metrics label only. */
std::string ServiceLabel(const HttpRequest& request) {
  if (!request.service_code.empty()) {
    return request.service_code;
  }
  const bool is_address = request.host.empty() ||
                          (request.host[0] >= '0' && request.host[0] <= '9');
  if (!is_address) {
    return request.host.substr(0, request.host.find(':'));
  }
  const std::string_view path = PathOfTarget(request.target);
  const std::string_view rest = path.substr(path.empty() ? 0 : 1);
  return std::string(rest.substr(0, rest.find('/')));
}

void SetOutcome(HttpAnswer& answer, Outcome outcome) {
  std::erase_if(answer.headers, [](const HttpHeader& header) {
    return IsSameHeader(header.name, kOutcomeHeader) ||
           IsSameHeader(header.name, kRequestIdHeader);
  });
  answer.headers.push_back(
      {std::string(kOutcomeHeader), std::string(ToString(outcome))});
}

}  // namespace

CallerApi::CallerApi(IoThread& io,
                     EventSink& events,
                     Metrics& metrics,
                     RequestIdGenerator& numbers,
                     CallerDialect dialect,
                     Duration link_delay)
    : m_io(io),
      m_events(events),
      m_metrics(metrics),
      m_request_ids(numbers),
      m_dialect(std::move(dialect)),
      m_link_delay(link_delay) {}

void CallerApi::OnRequest(ServedRequest request) {
  std::optional<LookupArrived> lookup = m_dialect.read_lookup(request);
  if (lookup) {
    lookup->request = RegisterRequest(request.exchange, "lookup", true);
    PostDelayed(std::move(*lookup));
  } else {
    OnSteeredRequest(std::move(request));
  }
}

void CallerApi::OnSteeredRequest(ServedRequest request) {
  RequestArrived event;
  event.http = std::move(request.http);
  const std::optional<RequestProblem> problem = m_dialect.read_request(event);
  if (problem) {
    Answer(request.exchange, OnMalformed(problem->status, problem->text));
    return;
  }
  event.request =
      RegisterRequest(request.exchange, ServiceLabel(event.http), false);
  PostDelayed(std::move(event));
}

RequestId CallerApi::RegisterRequest(ExchangeId exchange,
                                     std::string service,
                                     bool is_lookup) {
  const RequestId id = m_request_ids.Next();
  m_pending[id] = {exchange, std::move(service), ReadSystemClock().monotonic,
                   is_lookup};
  m_requests[exchange.number] = id;
  return id;
}

bool CallerApi::RemovePending(RequestId request, Pending& pending) {
  const auto found = m_pending.find(request);
  if (found == m_pending.end()) {
    return false;
  }
  pending = std::move(found->second);
  m_pending.erase(found);
  return true;
}

void CallerApi::OnClientDisconnected(ExchangeId exchange) {
  const auto found = m_requests.find(exchange.number);
  if (found == m_requests.end()) {
    return;
  }
  const RequestId request = found->second;
  m_requests.erase(found);
  Pending pending;
  if (!RemovePending(request, pending)) {
    return;
  }
  m_metrics.Add("callers_gone_total");
  if (!pending.is_lookup) {
    PostDelayed(CallerGone{request});
  }
}

HttpAnswer CallerApi::OnMalformed(std::int32_t status,
                                  std::string_view problem) {
  m_metrics.Add("malformed_requests_total");
  boost::json::object document;
  document["outcome"] = ToString(Outcome::kDidNotRun);
  document["reason"] = ToString(RefusalReason::kInvalidRequest);
  document["error"] = boost::json::string(problem);
  HttpAnswer answer = MakeJsonAnswer(status, boost::json::serialize(document));
  SetOutcome(answer, Outcome::kDidNotRun);
  answer.headers.push_back(
      {std::string(kRequestIdHeader), FormatRequestId(m_request_ids.Next())});
  return answer;
}

HttpAnswer CallerApi::OnFailed(ExchangeId exchange, std::string_view error) {
  const auto found = m_requests.find(exchange.number);
  const RequestId request =
      found != m_requests.end() ? found->second : m_request_ids.Next();
  ReportMessageFailure("request", FormatRequestId(request), error);
  if (found != m_requests.end()) {
    m_requests.erase(found);
  }
  Pending pending;
  if (RemovePending(request, pending) && !pending.is_lookup) {
    PostDelayed(CallerGone{request});
  }
  HttpAnswer answer = MakeErrorAnswer(kBadGateway, "internal error");
  SetOutcome(answer, Outcome::kUnknown);
  answer.headers.push_back(
      {std::string(kRequestIdHeader), FormatRequestId(request)});
  return answer;
}

void CallerApi::Execute(AnswerCaller answer) {
  Pending pending;
  if (!RemovePending(answer.request, pending)) {
    return;
  }
  RunGuarded([&] { WriteAnswer(pending, std::move(answer)); },
             [&](std::string_view error) {
               Answer(pending.exchange, OnFailed(pending.exchange, error));
             });
}

void CallerApi::WriteAnswer(const Pending& pending, AnswerCaller answer) {
  const Outcome outcome = answer.answer.outcome;
  const RefusalReason reason = answer.answer.reason;
  HttpAnswer http = outcome == Outcome::kRan ? std::move(answer.answer.http)
                                             : m_dialect.write_refusal(answer);
  SetOutcome(http, outcome);
  http.headers.push_back(
      {std::string(kRequestIdHeader), FormatRequestId(answer.request)});
  m_metrics.CountRequest(pending.service, outcome, reason,
                         ReadSystemClock().monotonic - pending.arrival);
  Answer(pending.exchange, std::move(http));
}

void CallerApi::Execute(const AnswerLookup& answer) {
  Pending pending;
  if (!RemovePending(answer.request, pending)) {
    return;
  }
  m_metrics.Add("lookups_total");
  RunGuarded(
      [&] { Answer(pending.exchange, m_dialect.write_lookup(answer.answer)); },
      [&](std::string_view error) {
        Answer(pending.exchange, OnFailed(pending.exchange, error));
      });
}

void CallerApi::PostDelayed(Event event) {
  if (m_link_delay == Duration::zero()) {
    m_events.Post(std::move(event));
    return;
  }
  m_io.PostAfter(m_link_delay, [this, event = std::move(event)]() mutable {
    m_events.Post(std::move(event));
  });
}

void CallerApi::AnswerNow(ExchangeId exchange, const HttpAnswer& answer) {
  assert(!m_servers.empty());
  // Exchanges are unique within the process, so only one server sends the
  // answer.
  for (RequestServer* server : m_servers) {
    server->Answer(exchange, answer);
  }
  m_requests.erase(exchange.number);
}

void CallerApi::Answer(ExchangeId exchange, HttpAnswer answer) {
  if (m_link_delay == Duration::zero()) {
    AnswerNow(exchange, answer);
    return;
  }
  m_io.PostAfter(m_link_delay, [this, exchange, answer = std::move(answer)] {
    AnswerNow(exchange, answer);
  });
}

}  // namespace kumquatcove
