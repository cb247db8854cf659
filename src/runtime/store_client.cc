#include "runtime/store_client.h"

#include <algorithm>
#include <functional>
#include <optional>
#include <utility>

#include <boost/json/parse.hpp>

#include "base/json_codec.h"
#include "runtime/log_line.h"
#include "runtime/message_guard.h"

namespace kumquatcove {

namespace {

constexpr Duration kListTimeout = Seconds(2);
/** A store that does not accept a connection within this time is treated as
 * unavailable. */
constexpr Duration kConnectTimeout = Seconds(1);
constexpr std::int32_t kOk = 200;
/** Maximum number of concurrent calls; the reducer's own limits are far lower.
 */
constexpr std::size_t kMaxCalls = 512;
constexpr std::size_t kMaxIdleConnections = 8;
/** Maximum reply size; a scan returns a whole table in base64. */
constexpr std::size_t kMaxReplyBytes = 64U << 20U;

/** Parses the answer to GET /instances. Returns `std::nullopt` if it is
 * invalid. */
std::optional<InstanceListArrived> ParseList(const HttpAnswer& answer) {
  if (answer.status != kOk) {
    return std::nullopt;
  }
  try {
    return FromJson<InstanceListArrived>(boost::json::parse(
        boost::json::string_view(answer.body.data(), answer.body.size())));
  } catch (const std::exception& error) {
    LogWarning(LogLine("instance_list_invalid").Add("problem", error.what()));
    return std::nullopt;
  }
}

}  // namespace

/** A request to the platform in progress. */
struct StoreClient::PlatformCall {
  std::uint64_t number = 0;
  HttpRequest request;
  Duration timeout{0};
  std::unique_ptr<HttpConnection> connection;
  /** Receives `std::nullopt` if there was no answer. */
  std::function<void(std::optional<HttpAnswer>)> done;
};

StoreClient::StoreClient(IoThread& io,
                         EventSink& events,
                         const LinkDelays& delays,
                         Metrics& metrics,
                         StoreDialect dialect,
                         std::string platform_address)
    : m_io(io),
      m_events(events),
      m_delays(delays),
      m_metrics(metrics),
      m_dialect(std::move(dialect)),
      m_address(std::move(platform_address)) {}

StoreClient::~StoreClient() = default;

void StoreClient::Call(CallStore effect) {
  if (m_calls.size() >= kMaxCalls) {
    StoreReply reply;
    reply.status = StoreStatus::kRefused;
    m_events.Post(StoreReplyArrived{effect.id, std::move(reply)});
    return;
  }
  if (effect.fresh_connection) {
    m_idle.clear();
  }
  auto call = std::make_unique<PlatformCall>();
  call->request = m_dialect.write_operation(effect.operation);
  call->timeout = effect.timeout;
  call->done = [this, id = effect.id, operation = std::move(effect.operation)](
                   const std::optional<HttpAnswer>& answer) {
    StoreReply reply;
    if (answer) {
      RunGuarded([&] { reply = m_dialect.read_reply(operation, *answer); },
                 [](std::string_view error) {
                   ReportMessageFailure("operation", "", error);
                 });
    }
    m_metrics.Add("store_replies_" + std::string(ToString(reply.status)) +
                  "_total");
    m_events.Post(StoreReplyArrived{id, std::move(reply)});
  };
  Start(std::move(call));
}

void StoreClient::FetchInstances() {
  if (std::exchange(m_fetching, true)) {
    return;
  }
  auto call = std::make_unique<PlatformCall>();
  call->request.method = "GET";
  call->request.target = "/instances";
  call->timeout = kListTimeout;
  call->done = [this](const std::optional<HttpAnswer>& answer) {
    m_fetching = false;
    std::optional<InstanceListArrived> list;
    if (answer) {
      list = ParseList(*answer);
    }
    if (list) {
      m_events.Post(std::move(*list));
    }
  };
  Start(std::move(call));
}

void StoreClient::Start(std::unique_ptr<PlatformCall> call) {
  const std::uint64_t number = ++m_count;
  call->number = number;
  PlatformCall& started = *call;
  m_calls[number] = std::move(call);
  m_io.PostAfter(started.timeout, [this, number] { OnTimeout(number); });
  const Duration delay = m_delays.ToAddress(m_address);
  if (delay == Duration::zero()) {
    Connect(started);
    return;
  }
  m_io.PostAfter(delay, [this, number] {
    const auto found = m_calls.find(number);
    if (found != m_calls.end()) {
      Connect(*found->second);
    }
  });
}

void StoreClient::Connect(PlatformCall& call) {
  DropClosedConnections();
  const std::uint64_t number = call.number;
  if (!m_idle.empty()) {
    call.connection = std::move(m_idle.back());
    m_idle.pop_back();
    Write(number);
    return;
  }
  call.connection = std::make_unique<HttpConnection>(m_io, kMaxReplyBytes);
  call.connection->EnableKeepAlive();
  call.connection->Open(m_address, std::min(call.timeout, kConnectTimeout),
                        [this, number](bool opened) {
                          if (opened) {
                            Write(number);
                          } else {
                            Finish(number, std::nullopt);
                          }
                        });
}

void StoreClient::Write(std::uint64_t number) {
  PlatformCall& call = *m_calls[number];
  call.connection->Send(call.request, m_address, call.timeout, nullptr,
                        [this, number](std::optional<HttpResult> result) {
                          Finish(number, std::move(result));
                        });
}

void StoreClient::Finish(std::uint64_t number,
                         std::optional<HttpResult> result) {
  const auto found = m_calls.find(number);
  const std::unique_ptr<PlatformCall> call = std::move(found->second);
  m_calls.erase(found);
  if (result && result->keep_alive && m_idle.size() < kMaxIdleConnections) {
    m_idle.push_back(std::move(call->connection));
  }
  std::optional<HttpAnswer> answer;
  if (result) {
    answer = std::move(result->answer);
  }
  const Duration delay = m_delays.ToAddress(m_address);
  if (delay == Duration::zero()) {
    call->done(std::move(answer));
    return;
  }
  m_io.PostAfter(
      delay, [done = call->done, answer = std::move(answer)] { done(answer); });
}

void StoreClient::OnTimeout(std::uint64_t number) {
  if (!m_calls.contains(number)) {
    return;
  }
  m_metrics.Add("store_timeouts_total");
  m_idle.clear();
  Finish(number, std::nullopt);
}

void StoreClient::DropClosedConnections() {
  std::erase_if(m_idle, [](const std::unique_ptr<HttpConnection>& connection) {
    return !connection->IsIdle();
  });
}

}  // namespace kumquatcove
