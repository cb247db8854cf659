#include "platform/stand_in/upstream_stand_in.h"

#include <chrono>
#include <cmath>
#include <functional>
#include <utility>

#include <absl/strings/str_cat.h>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "emulator/steady_clock.h"
#include "platform/stand_in/soak_route.h"
#include "runtime/http_fields.h"

namespace kumquatcove::stand_in {
namespace {

constexpr std::size_t kQueueLength = 9;
constexpr Duration kLongMeanWork = Milliseconds(3'300);
constexpr std::int32_t kOk = 200;
constexpr std::int32_t kMisdirected = 421;
constexpr std::int32_t kUnavailable = 503;

std::string ToText(const boost::asio::ip::tcp::endpoint& endpoint) {
  return absl::StrCat(endpoint.address().to_string(), ":", endpoint.port());
}

}  // namespace

std::string UpstreamAnswerBody(const std::string& attempt,
                               const std::string& target) {
  std::string body = absl::StrCat(attempt, " ", target);
  if (target.starts_with(kLargeAnswers)) {
    constexpr std::size_t kLeastBytes = 1'000'000;
    constexpr std::size_t kMostBytes = 3'000'000;
    body.resize(kLeastBytes + std::hash<std::string>{}(attempt) %
                                  (kMostBytes - kLeastBytes),
                '.');
  }
  return body;
}

UpstreamStandIn::UpstreamStandIn(boost::asio::io_context& io,
                                 UserStoreStandIn& store,
                                 SoakLedger& ledger,
                                 UpstreamStandInSettings settings,
                                 std::uint64_t seed)
    : m_io(io),
      m_store(store),
      m_ledger(ledger),
      m_settings(std::move(settings)),
      m_random(seed),
      m_started_ms(emulator::ReadWallClock().microseconds / 1000),
      m_server(io,
               {m_settings.endpoint.address(), 0},
               [this](const Session& session) { Handle(session); }),
      m_link(io, m_settings.endpoint) {
  Open();
  Register(false);
}

void UpstreamStandIn::Open() {
  m_server.Open();
  m_link.Open({m_settings.endpoint.address(), m_server.Port()});
}

void UpstreamStandIn::Register(bool draining) {
  namespace json = boost::json;
  const json::object row{
      {"address", ToText(m_link.Endpoint())},
      {"born", m_started_ms},
      {"info", json::object{{"service", m_settings.service},
                            {"version", "1"},
                            {"zone", m_settings.zone},
                            {"slots", m_settings.slots}}},
      {"status", json::object{{"state", draining ? "draining" : "ready"},
                              {"seq", ++m_sequence},
                              {"cold-left-s", 0}}}};
  m_store.Put("servers", m_settings.id, json::serialize(row));
}

void UpstreamStandIn::Drain() {
  Register(true);
  m_left = emulator::ReadMonotonicClock();
}

void UpstreamStandIn::Renew() {
  Register(m_left.has_value());
}

void UpstreamStandIn::Deregister() {
  m_store.Remove("servers", m_settings.id);
}

void UpstreamStandIn::Crash() {
  if (m_rate_limit) {
    SetRateLimit(std::nullopt);
  }
  ++m_incarnation;
  for (const Session& session : m_running) {
    NoteRunEnd(session, RunEnd::kBrokenOff);
  }
  m_running.clear();
  m_waiting.clear();
  m_link.Close();
  m_server.StopListening();
  m_server.ResetConnections();
}

void UpstreamStandIn::Restart(const std::string& id,
                              const std::string& service) {
  m_store.Remove("servers", m_settings.id);
  m_settings.id = id;
  m_settings.service = service;
  m_started_ms = emulator::ReadWallClock().microseconds / 1000;
  m_sequence = 0;
  Open();
  Register(false);
}

void UpstreamStandIn::SetRateLimit(std::optional<double> rate) {
  m_rate_limit = rate;
  m_ledger.OnRateLimit(m_settings.id, rate, emulator::ReadMonotonicClock());
}

void UpstreamStandIn::Handle(const Session& session) {
  if (PathOfTarget(std::string(session->GetRequest().target())) == "/health") {
    session->Respond(MakeAnswer(kOk, ""));
    return;
  }
  if (session->Header("Expect-Instance") != m_settings.id) {
    session->Respond(MakeAnswer(kMisdirected, ""));
    return;
  }
  m_ledger.OnArrival(session->Header("Attempt-Id"),
                     emulator::ReadMonotonicClock());
  if (m_rate_limit) {
    m_ledger.OnLimitedArrival(m_settings.id, emulator::ReadMonotonicClock());
  }
  if (m_left) {
    m_ledger.OnArrivalAfterLeaving(m_settings.id, *m_left,
                                   emulator::ReadMonotonicClock());
  }
  if (m_running.size() < m_settings.slots) {
    Run(session);
  } else if (m_waiting.size() < kQueueLength) {
    m_waiting.push_back(session);
    session->OnPeerClosed([this, session] { std::erase(m_waiting, session); });
  } else {
    HttpAnswer answer = MakeAnswer(kUnavailable, "full");
    answer.headers.push_back({"Not-Executed", "1"});
    session->Respond(answer);
  }
}

void UpstreamStandIn::Run(const Session& session) {
  const std::string target(session->GetRequest().target());
  m_ledger.OnRun(session->Header("Attempt-Id"), m_settings.service, target,
                 emulator::ReadMonotonicClock());
  m_running.insert(session);
  session->OnPeerClosed([this, session] {
    if (m_running.erase(session) > 0) {
      NoteRunEnd(session, RunEnd::kPeerClosed);
    }
    StartWaiting();
  });
  const double factor = 0.5 + m_random.NextFraction();
  const Duration mean_work =
      target.starts_with(kLongWork) ? kLongMeanWork : m_settings.mean_work;
  const auto timer = std::make_shared<boost::asio::steady_timer>(
      m_io, std::chrono::microseconds(
                std::llround(static_cast<double>(mean_work.count()) * factor)));
  timer->async_wait([this, timer, session, incarnation = m_incarnation](
                        boost::system::error_code error) {
    if (!error && incarnation == m_incarnation && m_running.contains(session)) {
      Finish(session);
    }
  });
}

void UpstreamStandIn::Finish(const Session& session) {
  m_running.erase(session);
  NoteRunEnd(session, RunEnd::kAnswered);
  const std::string attempt = session->Header("Attempt-Id");
  HttpAnswer answer = MakeAnswer(
      kOk,
      UpstreamAnswerBody(attempt, std::string(session->GetRequest().target())));
  answer.headers.push_back({"Attempt-Id", attempt});
  answer.headers.push_back({"Server-Seal", "sealed"});
  session->Respond(answer);
  StartWaiting();
}

void UpstreamStandIn::NoteRunEnd(const Session& session, RunEnd end) {
  m_ledger.OnRunEnd(session->Header("Attempt-Id"), end,
                    emulator::ReadMonotonicClock());
}

void UpstreamStandIn::StartWaiting() {
  if (!m_waiting.empty() && m_running.size() < m_settings.slots) {
    const Session next = m_waiting.front();
    m_waiting.pop_front();
    Run(next);
  }
}

HttpAnswer UpstreamStandIn::MakeAnswer(std::int32_t status,
                                       std::string body) const {
  HttpAnswer answer{status, {}, std::move(body)};
  answer.headers.push_back({"Instance-Id", m_settings.id});
  answer.headers.push_back(
      {"Server-Load", absl::StrCat(m_running.size(), ",", m_waiting.size(), ",",
                                   m_settings.slots)});
  if (m_rate_limit) {
    answer.headers.push_back({"Server-Limit", absl::StrCat(*m_rate_limit)});
  }
  return answer;
}

}  // namespace kumquatcove::stand_in
