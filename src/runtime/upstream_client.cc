#include "runtime/upstream_client.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <utility>

#include <boost/json/parse.hpp>

#include "runtime/http_fields.h"
#include "runtime/message_guard.h"
#include "runtime/system_clock.h"

namespace kumquatcove {

namespace {

constexpr Duration kConnectTimeout = Seconds(5);
/** Longer than the maximum request deadline of 60 s. */
constexpr Duration kAnswerTimeout = Seconds(70);
constexpr Duration kProbeTimeout = Seconds(2);
constexpr std::size_t kMaxProbes = 4096;
/** Limits the memory used by one answer. */
constexpr std::size_t kMaxAnswerBytes = 16U << 20U;
constexpr std::int32_t kOk = 200;

bool HasTrueHeader(const HttpAnswer& answer, std::string_view name) {
  return IsSameHeader(FindHeader(answer.headers, name), "true");
}

/** Returns a member of a JSON object, or a JSON null if the body is not an
 * object or has no such member. */
boost::json::value FindMember(const std::string& body, const char* name) {
  boost::system::error_code error;
  const boost::json::value json = boost::json::parse(body, error);
  if (error || !json.is_object()) {
    return nullptr;
  }
  const boost::json::value* found = json.get_object().if_contains(name);
  return found != nullptr ? *found : boost::json::value(nullptr);
}

bool IsDraining(const HttpAnswer& health) {
  const boost::json::value member = FindMember(health.body, "draining");
  return HasTrueHeader(health, "X-Draining") ||
         (member.is_bool() && member.get_bool());
}

std::int32_t ReportedLoad(const HttpAnswer& load) {
  const boost::json::value member = FindMember(load.body, "in_flight");
  if (!member.is_int64()) {
    return 0;
  }
  return static_cast<std::int32_t>(std::clamp<std::int64_t>(
      member.get_int64(), 0, std::numeric_limits<std::int32_t>::max()));
}

HttpRequest MakeGet(const std::string& target) {
  HttpRequest request;
  request.method = "GET";
  request.target = target;
  return request;
}

}  // namespace

/** A probe in progress. */
struct UpstreamClient::ProbeState {
  explicit ProbeState(IoThread& io) : http(io) {}

  HttpConnection http;
  std::string address;
  ProbeCompleted result;
};

UpstreamClient::UpstreamClient(IoThread& io,
                               EventSink& events,
                               const LinkDelays& delays,
                               UpstreamDialect dialect)
    : m_io(io),
      m_events(events),
      m_delays(delays),
      m_dialect(std::move(dialect)) {}

UpstreamClient::~UpstreamClient() = default;

void UpstreamClient::RunAfter(Duration delay, std::function<void()> work) {
  if (delay == Duration::zero()) {
    work();
  } else {
    m_io.PostAfter(delay, std::move(work));
  }
}

void UpstreamClient::Open(const OpenConnection& effect) {
  const ConnectionId id = effect.connection;
  Connection& connection = m_connections[id];
  connection.address = effect.address;
  connection.delay = m_delays.ToAddress(effect.address);
  connection.http =
      std::make_unique<HttpConnection>(m_io, kMaxAnswerBytes, m_answer_budget);
  // The loss is reported with the same delay as an answer, so that it does not
  // overtake an answer.
  connection.http->SetIdleLostCallback([this, id, delay = connection.delay] {
    RunAfter(delay, [this, id] { ReportLost(id); });
  });
  connection.http->Open(
      effect.address, kConnectTimeout, [this, id](bool opened) {
        const auto found = m_connections.find(id);
        const Duration round_trip = found->second.delay * 2;
        RunAfter(round_trip, [this, id, opened] { OnOpened(id, opened); });
      });
}

void UpstreamClient::OnOpened(ConnectionId connection, bool opened) {
  if (!m_connections.contains(connection)) {
    return;
  }
  if (opened) {
    m_events.Post(ConnectionOpened{connection});
  } else {
    ReportLost(connection);
  }
}

void UpstreamClient::Send(SendUpstream effect) {
  const auto found = m_connections.find(effect.connection);
  if (found == m_connections.end()) {
    return;  // ConnectionLost has been posted to the reducer.
  }
  const Duration delay = found->second.delay;
  if (delay == Duration::zero()) {
    SendNow(std::move(effect));
    return;
  }
  m_io.PostAfter(delay, [this, effect = std::move(effect)]() mutable {
    SendNow(std::move(effect));
  });
}

void UpstreamClient::SendNow(SendUpstream effect) {
  const ConnectionId id = effect.connection;
  const auto found = m_connections.find(id);
  if (found == m_connections.end()) {
    return;
  }
  Connection& connection = found->second;
  if (!connection.http->IsUsable()) {
    ReportLost(id);
    return;
  }
  connection.attempt = effect.attempt;
  HttpRequest request = std::move(effect.http);
  if (!GuardConnection(id, [&] { m_dialect.write_request(effect, request); })) {
    return;
  }
  const std::string host =
      request.host.empty() ? connection.address : request.host;
  // The process may have been paused since the reducer made its decision, so
  // the clock is read immediately before the write.
  if (ReadSystemClock().monotonic >= effect.send_before) {
    ReportLost(id);
    return;
  }
  connection.written = true;
  connection.http->SetMessageId(effect.attempt);
  const auto belongs = [this, attempt = effect.attempt](const HttpAnswer& a) {
    return m_dialect.belongs(attempt, a);
  };
  connection.http->Send(std::move(request), host, kAnswerTimeout, belongs,
                        [this, id](std::optional<HttpResult> r) {
                          const auto answered = m_connections.find(id);
                          RunAfter(answered->second.delay,
                                   [this, id, result = std::move(r)]() mutable {
                                     OnAnswered(id, std::move(result));
                                   });
                        });
}

void UpstreamClient::OnAnswered(ConnectionId connection,
                                std::optional<HttpResult> result) {
  if (!m_connections.contains(connection)) {
    return;
  }
  if (!result) {
    ReportLost(connection);
    return;
  }
  UpstreamAnswered event;
  event.connection = connection;
  event.keep_alive = result->keep_alive;
  bool usable = false;
  if (!GuardConnection(connection, [&] {
        usable = m_dialect.read_answer(result->answer, event);
      })) {
    return;
  }
  if (!usable) {
    ReportLost(connection);
    return;
  }
  m_connections[connection].written = false;
  RemoveHeadersNamedInConnection(result->answer.headers);
  event.answer = std::move(result->answer);
  if (!event.keep_alive) {
    m_connections.erase(connection);
  }
  m_events.Post(std::move(event));
}

bool UpstreamClient::GuardConnection(ConnectionId connection,
                                     const std::function<void()>& work) {
  bool done = true;
  RunGuarded(work, [&](std::string_view error) {
    done = false;
    ReportMessageFailure("attempt", m_connections[connection].attempt, error);
    ReportLost(connection);
  });
  return done;
}

void UpstreamClient::Close(ConnectionId connection) {
  m_connections.erase(connection);
}

void UpstreamClient::ReportLost(ConnectionId connection) {
  const auto found = m_connections.find(connection);
  if (found == m_connections.end()) {
    return;
  }
  const bool unwritten = !found->second.written;
  m_connections.erase(found);
  m_events.Post(ConnectionLost{connection, unwritten});
}

void UpstreamClient::Probe(const ProbeUpstream& effect) {
  if (m_probes.size() >= kMaxProbes) {
    return;
  }
  const std::uint64_t number = ++m_probe_count;
  auto& probe = m_probes[number];
  probe = std::make_unique<ProbeState>(m_io);
  probe->address = effect.address;
  probe->result.upstream = effect.upstream;
  probe->http.Open(effect.address, kProbeTimeout, [this, number](bool opened) {
    if (!opened) {
      FinishProbe(number);
      return;
    }
    ProbeState& state = *m_probes[number];
    state.http.Send(MakeGet("/health"), state.address, kProbeTimeout, nullptr,
                    [this, number](const std::optional<HttpResult>& r) {
                      OnHealth(number, r);
                    });
  });
}

void UpstreamClient::OnHealth(std::uint64_t probe,
                              const std::optional<HttpResult>& result) {
  ProbeState& state = *m_probes[probe];
  if (!result) {
    FinishProbe(probe);
    return;
  }
  state.result.healthy = result->answer.status == kOk;
  state.result.draining = IsDraining(result->answer);
  if (!state.http.IsIdle()) {
    FinishProbe(probe);
    return;
  }
  state.http.Send(MakeGet("/load"), state.address, kProbeTimeout, nullptr,
                  [this, probe](const std::optional<HttpResult>& load) {
                    if (load && load->answer.status == kOk) {
                      m_probes[probe]->result.reported_load =
                          ReportedLoad(load->answer);
                    }
                    FinishProbe(probe);
                  });
}

void UpstreamClient::FinishProbe(std::uint64_t probe) {
  const auto found = m_probes.find(probe);
  const std::unique_ptr<ProbeState> state = std::move(found->second);
  m_probes.erase(found);
  // Connecting, /health and /load take three round trips.
  const Duration delay = m_delays.ToAddress(state->address) * 6;
  RunAfter(delay, [this, result = state->result] { m_events.Post(result); });
}

}  // namespace kumquatcove
