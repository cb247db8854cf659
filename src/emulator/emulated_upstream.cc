#include "emulator/emulated_upstream.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <stdexcept>
#include <string_view>
#include <utility>

#include <glog/logging.h>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "base/json_codec.h"
#include "emulator/json_merge.h"
#include "emulator/network_address.h"
#include "emulator/steady_clock.h"

namespace kumquatcove::emulator {
namespace {

/** Idempotency keys whose executions are counted; those beyond are not, which
 * is logged. */
constexpr std::size_t kMaxKeys = 2'000'000;
/** Pause before the port is opened again after that failed, because a
 * connection of another process may hold the port for a moment. */
constexpr Duration kReopenDelay = Milliseconds(100);

boost::asio::ip::tcp::endpoint EndpointOf(const UpstreamSettings& settings) {
  const auto endpoint = ParseAddress(settings.address);
  if (!endpoint) {
    throw std::invalid_argument("upstream " + settings.id.Text() +
                                ": address '" + settings.address +
                                "' is not an IP number and port");
  }
  return *endpoint;
}

Duration FromMilliseconds(double milliseconds) {
  return Duration(static_cast<Duration::rep>(milliseconds * 1000));
}

/** Work is long if one of the first two segments of its path begins with
 * `long`; the first may name the service. */
bool IsLong(std::string_view path) {
  const std::size_t second = path.find('/', 1);
  return path.starts_with("/long") ||
         (second != std::string_view::npos &&
          path.substr(second).starts_with("/long"));
}

std::optional<std::int64_t> ToInteger(std::string_view text) {
  std::int64_t number = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  return error == std::errc{} && end == text.data() + text.size()
             ? std::optional(number)
             : std::nullopt;
}

/** Returns the key by which executions are counted; callers that test give it
 * in a header of its own, since entry instances may keep the usual one. */
std::string KeyOf(const HttpSession& session) {
  const std::string key = session.Header("Idempotency-Key");
  return key.empty() ? session.Header("X-Emulator-Key") : key;
}

std::string Target(const HttpSession& session) {
  return std::string(session.GetRequest().target());
}

void RaiseTo(std::int64_t& maximum, std::size_t number) {
  maximum = std::max(maximum, static_cast<std::int64_t>(number));
}

}  // namespace

EmulatedUpstream::EmulatedUpstream(boost::asio::io_context& io,
                                   const UpstreamSettings& settings,
                                   std::uint64_t seed)
    : m_io(io),
      m_settings(settings),
      m_model(settings, seed, ReadMonotonicClock()),
      m_work_timer(io),
      m_restart_timer(io),
      m_server(
          io,
          EndpointOf(settings),
          [this](const Session& session) { Handle(session); },
          FromMilliseconds(settings.connection_cost_ms)) {
  m_counters.upstream = settings.id;
  m_counters.service = settings.service;
}

void EmulatedUpstream::Finish() {
  m_restart_timer.cancel();
  m_server.Finish();
}

boost::json::value EmulatedUpstream::ApplyFaults(
    const boost::json::value& changes) {
  boost::json::object lasting = detail::JsonToObject(changes, "$");
  const auto take = [&](std::string_view name) -> boost::json::value {
    const boost::json::value* found = lasting.if_contains(name);
    boost::json::value taken = found == nullptr ? boost::json::value() : *found;
    lasting.erase(name);
    return taken;
  };
  take("upstream");
  const boost::json::value cold = take("cold");
  const boost::json::value silence = take("silence_connections");
  const boost::json::value restart = take("restart_after_ms");
  const UpstreamFaults before = m_faults;
  m_faults = MergeJson(m_faults, boost::json::value(std::move(lasting)));
  m_model.SetSlowFactor(m_faults.slow_factor);
  if (m_faults.drain && !before.drain) {
    m_drain_start = ReadMonotonicClock();
  }
  if (!cold.is_null() && detail::JsonToBool(cold, "$.cold")) {
    m_model.BecomeCold(ReadMonotonicClock());
  }
  if (!silence.is_null() &&
      detail::JsonToBool(silence, "$.silence_connections")) {
    m_server.SilenceConnections();
  }
  if (!restart.is_null()) {
    GoDown(Milliseconds(detail::JsonToSigned(restart, "$.restart_after_ms")));
  } else if (m_faults.down && !before.down) {
    GoDown(std::nullopt);
  } else if (!m_faults.down && before.down) {
    ComeUp();
  }
  return ToJson(m_faults);
}

UpstreamCounters EmulatedUpstream::Counters() const {
  UpstreamCounters counters = m_counters;
  counters.max_connections =
      static_cast<std::int64_t>(m_server.MaxConnections());
  counters.distinct_keys = static_cast<std::int64_t>(m_executions.size());
  counters.late_arrivals.assign(m_late_arrivals.begin(), m_late_arrivals.end());
  for (const auto& [key, executions] : m_executions) {
    if (executions > 1) {
      counters.repeated_keys.push_back({key, executions});
    }
  }
  return counters;
}

void EmulatedUpstream::CountSlotsBy(std::shared_ptr<OccupancyMeter> meter) {
  m_meter = std::move(meter);
  m_meter->AddSlots(m_settings.slots);
}

void EmulatedUpstream::Handle(const Session& session) {
  const std::string target = Target(*session);
  const std::string_view path = TargetPath(target);
  if (path.starts_with("/emulator/")) {
    HandleControl(session, path);
  } else if (path == "/health" || path == "/load") {
    AnswerProbe(session, path == "/load");
  } else {
    HandleWork(session);
  }
}

void EmulatedUpstream::HandleControl(const Session& session,
                                     std::string_view path) {
  if (path == "/emulator/counters") {
    session->Respond(
        JsonAnswer(200, boost::json::serialize(ToJson(Counters()))));
    return;
  }
  if (path != "/emulator/faults") {
    session->Respond(JsonAnswer(404, "{}"));
    return;
  }
  try {
    const std::string& body = session->GetRequest().body();
    const auto faults = ApplyFaults(
        boost::json::parse(body.empty() ? std::string("{}") : body));
    session->Respond(JsonAnswer(200, boost::json::serialize(faults)));
  } catch (const std::exception& error) {
    session->Respond(JsonAnswer(400, boost::json::serialize(boost::json::object{
                                         {"error", error.what()}})));
  }
}

void EmulatedUpstream::AnswerProbe(const Session& session, bool is_load) {
  ++m_counters.probes;
  m_model.AddProbe();
  const auto timer = std::make_shared<boost::asio::steady_timer>(
      m_io, FromMilliseconds(m_settings.probe_cost_ms));
  timer->async_wait(
      [this, timer, session, is_load](boost::system::error_code error) {
        if (error) {
          return;
        }
        boost::json::object body;
        if (is_load) {
          body["in_flight"] = m_model.ReportedInFlight(ReadMonotonicClock());
        } else {
          body["status"] = m_faults.drain ? "draining" : "serving";
        }
        Send(session, JsonAnswer(200, boost::json::serialize(body)));
      });
}

void EmulatedUpstream::HandleWork(const Session& session) {
  const MonotonicTime now = ReadMonotonicClock();
  const std::string target = Target(*session);
  CountArrival(now);
  if (session->Header("X-Emulator-Crash") == "1" ||
      TargetParameter(target, "crash") == "1") {
    Crash(session);
    return;
  }
  UpstreamWork work{++m_work_count, IsLong(TargetPath(target)), std::nullopt};
  if (const auto budget =
          ToInteger(session->Header("Kumquatcove-Deadline-Ms"))) {
    work.deadline = now + Milliseconds(*budget);
  }
  if (m_faults.shed || !m_model.Arrive(work, now)) {
    ++m_counters.shed;
    Send(session, NotExecuted("shed"));
    return;
  }
  m_pending[work.id] = {session, KeyOf(*session), false, {}};
  session->OnPeerClosed([this, id = work.id] { Drop(id); });
  RaiseTo(m_counters.max_in_flight, m_model.InFlight());
  Advance();
}

void EmulatedUpstream::CountArrival(MonotonicTime now) {
  ++m_counters.arrived;
  if (!m_faults.drain) {
    return;
  }
  ++m_counters.arrived_after_drain;
  const Duration since = now - m_drain_start;
  m_late_arrivals.push_back({ReadWallClock(), since.count() / 1000});
  if (m_late_arrivals.size() > kMaxLateArrivals) {
    m_late_arrivals.pop_front();
  }
}

void EmulatedUpstream::CountExecution(const std::string& key) {
  ++m_counters.executed;
  if (key.empty()) {
    return;
  }
  if (m_executions.size() >= kMaxKeys && m_executions.count(key) == 0) {
    LOG_FIRST_N(ERROR, 1) << "event=key_not_counted upstream=" << m_settings.id;
    return;
  }
  ++m_executions[key];
}

void EmulatedUpstream::Advance() {
  for (const WorkStep& step : m_model.Advance(ReadMonotonicClock())) {
    Take(step);
  }
  RaiseTo(m_counters.max_running, m_model.Running());
  const auto next = m_model.NextFinish();
  if (!next) {
    return;
  }
  m_work_timer.expires_at(ToSteadyTime(*next));
  m_work_timer.async_wait([this](boost::system::error_code error) {
    if (!error) {
      Advance();
    }
  });
}

void EmulatedUpstream::Take(const WorkStep& step) {
  const auto found = m_pending.find(step.id);
  if (found == m_pending.end()) {
    return;
  }
  if (step.change == WorkChange::kStarted) {
    found->second.is_running = true;
    if (m_meter) {
      found->second.slot =
          m_meter->Occupy(OriginOf(found->second.session->Header("X-Echo")),
                          ReadMonotonicClock());
    }
    CountExecution(found->second.key);
    return;
  }
  const Session session = found->second.session;
  m_pending.erase(found);
  if (step.change == WorkChange::kFinished) {
    ++m_counters.finished;
    Send(session, Answer(session));
  } else {
    ++m_counters.expired;
    Send(session, NotExecuted("deadline expired"));
  }
}

void EmulatedUpstream::Drop(std::uint64_t id) {
  const auto found = m_pending.find(id);
  if (found == m_pending.end()) {
    return;
  }
  const bool was_running = found->second.is_running;
  if (m_model.Cancel(id, ReadMonotonicClock())) {
    ++(was_running ? m_counters.cancelled_running
                   : m_counters.cancelled_waiting);
    m_pending.erase(found);
    Advance();
  }
}

void EmulatedUpstream::Crash(const Session& session) {
  CountExecution(KeyOf(*session));
  ++m_counters.crashes;
  LOG(INFO) << "event=crashed upstream=" << m_settings.id;
  GoDown(Milliseconds(m_settings.crash_down_ms));
}

void EmulatedUpstream::GoDown(std::optional<Duration> restart_after) {
  m_server.StopListening();
  m_pending.clear();
  m_model.Clear(ReadMonotonicClock());
  m_work_timer.cancel();
  m_restart_timer.cancel();
  m_server.ResetConnections();
  if (!restart_after) {
    return;
  }
  m_restart_timer.expires_after(*restart_after);
  m_restart_timer.async_wait([this](boost::system::error_code error) {
    if (!error && !m_faults.down) {
      ComeUp();
    }
  });
}

void EmulatedUpstream::ComeUp() {
  if (m_server.IsListening()) {
    return;
  }
  try {
    m_server.Open();
    m_model.BecomeCold(ReadMonotonicClock());
  } catch (const std::exception& error) {
    LOG(WARNING) << "event=reopen_failed upstream=" << m_settings.id
                 << " error=\"" << error.what() << "\"";
    GoDown(kReopenDelay);
  }
}

HttpAnswer EmulatedUpstream::Answer(const Session& session) const {
  const std::string target = Target(*session);
  const std::int64_t bytes = std::clamp<std::int64_t>(
      ToInteger(TargetParameter(target, "bytes")).value_or(0), 0,
      static_cast<std::int64_t>(kMaxBodyBytes) / 2);
  const boost::json::object body{
      {"upstream", m_settings.id.Text()},
      {"path", target},
      {"echo", session->Header("X-Echo")},
      {"request_bytes", session->GetRequest().body().size()},
      {"bytes", bytes},
      {"padding", std::string(static_cast<std::size_t>(bytes), 'x')}};
  return JsonAnswer(200, boost::json::serialize(body));
}

HttpAnswer EmulatedUpstream::NotExecuted(std::string_view reason) const {
  HttpAnswer answer = JsonAnswer(
      503, boost::json::serialize(boost::json::object{
               {"upstream", m_settings.id.Text()}, {"error", reason}}));
  answer.headers.push_back({"X-Not-Executed", "true"});
  return answer;
}

void EmulatedUpstream::Send(const Session& session, HttpAnswer answer) const {
  if (m_faults.drain) {
    answer.headers.push_back({"X-Draining", "true"});
  }
  session->Respond(answer);
}

}  // namespace kumquatcove::emulator
