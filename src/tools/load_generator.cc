#include "tools/load_generator.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <string_view>
#include <utility>

#include <boost/algorithm/string/predicate.hpp>
#include <boost/json/parse.hpp>

#include "base/hash.h"
#include "emulator/steady_clock.h"
#include "protocol/outcome.h"

namespace kumquatcove {
namespace {

/** How much longer than the deadline callers wait for an answer. */
constexpr Duration kAnswerGrace = Seconds(2);
constexpr Duration kLookupTimeout = Seconds(1);

Duration DrawPause(Random& random, double rate) {
  return Duration(static_cast<Duration::rep>(
      -std::log(1 - random.NextFraction()) / rate * 1e6));
}

std::string HeaderOf(const HttpAnswer& answer, std::string_view name) {
  for (const HttpHeader& header : answer.headers) {
    if (boost::algorithm::iequals(header.name, name)) {
      return header.value;
    }
  }
  return {};
}

/** Returns the reason that an entry instance gives in a header or in the body.
 */
std::string ReasonOf(const HttpAnswer& answer) {
  std::string header = HeaderOf(answer, "Kumquatcove-Reason");
  if (!header.empty()) {
    return header;
  }
  boost::system::error_code error;
  const auto json = boost::json::parse(answer.body, error);
  if (!error && json.is_object()) {
    const auto* reason = json.get_object().if_contains("reason");
    if (reason != nullptr && reason->is_string()) {
      return std::string(reason->get_string());
    }
  }
  return "status-" + std::to_string(answer.status);
}

/** Reads the outcome; upstreams that are asked without an entry instance in
 * between say it in other ways. */
Outcome OutcomeOf(const HttpAnswer& answer) {
  const std::string header = HeaderOf(answer, "Kumquatcove-Outcome");
  if (const auto outcome = FromString<Outcome>(header)) {
    return *outcome;
  }
  if (HeaderOf(answer, "X-Not-Executed") == "true") {
    return Outcome::kDidNotRun;
  }
  return answer.status == 200 ? Outcome::kRan : Outcome::kUnknown;
}

}  // namespace

/** One request of a caller, through all its attempts. */
class LoadGenerator::Request : public std::enable_shared_from_this<Request> {
 public:
  Request(LoadGenerator& owner,
          const ServiceLoad& load,
          bool is_long,
          std::string client,
          std::uint64_t number,
          MonotonicTime intended)
      : m_owner(owner),
        m_load(load),
        m_client(std::move(client)),
        m_intended(intended),
        m_timer(owner.m_io) {
    m_result.service = load.service;
    m_result.is_long = is_long;
    m_echo =
        std::to_string(owner.m_settings.seed) + "-" + std::to_string(number);
    m_path = (is_long ? "/long/" : "/short/") + m_echo +
             "?bytes=" + std::to_string(owner.m_settings.answer_bytes);
    m_body = load.with_key ? "order " + m_echo : "";
  }

  void Start() {
    if (!m_owner.m_settings.direct.empty()) {
      m_entries = m_owner.m_settings.direct;
      Attempt();
      return;
    }
    m_owner.m_directory.Find(
        {m_load.service, m_client},
        [self = shared_from_this()](const std::vector<std::string>& found) {
          self->m_entries = found;
          if (found.empty()) {
            self->Finish(LoadOutcome::kFailed, "no-entry-instance");
          } else {
            self->Attempt();
          }
        });
  }

 private:
  void Attempt() {
    Later([this] {
      const auto position = static_cast<std::size_t>(m_result.attempts);
      ++m_result.attempts;
      m_owner.m_connections.Exchange(
          m_entries[position % m_entries.size()], Message(),
          m_owner.m_settings.deadline + kAnswerGrace,
          [self = shared_from_this()](HttpResult result) {
            self->Later([self = self.get(), result = std::move(result)] {
              self->Take(result);
            });
          });
    });
  }

  /** Runs `action` after the delay between callers and entry instances. */
  void Later(std::function<void()> action) {
    if (m_owner.m_settings.caller_delay <= Duration(0)) {
      action();
      return;
    }
    m_timer.expires_after(m_owner.m_settings.caller_delay);
    m_timer.async_wait([self = shared_from_this(), action = std::move(action)](
                           boost::system::error_code error) {
      if (!error) {
        action();
      }
    });
  }

  ToolRequest Message() const {
    ToolRequest request{m_load.with_key ? "POST" : "GET", m_path, {}, m_body};
    switch (m_load.scheme) {
      case NamingScheme::kHost:
        request.headers.push_back({"Host", m_load.service});
        break;
      case NamingScheme::kPath:
        request.target = "/" + m_load.service + m_path;
        break;
      case NamingScheme::kCode:
        request.headers.push_back({"Kumquatcove-Service", m_load.service});
        break;
    }
    request.headers.push_back({"X-Echo", m_echo});
    request.headers.push_back(
        {"Kumquatcove-Deadline-Ms",
         std::to_string(m_owner.m_settings.deadline.count() / 1000)});
    if (m_load.with_key) {
      request.headers.push_back({"Idempotency-Key", m_echo});
      // Emulated upstreams count executions by it if the key isn't passed on.
      request.headers.push_back({"X-Emulator-Key", m_echo});
    }
    return request;
  }

  void Take(const HttpResult& result) {
    if (const auto* failure = std::get_if<HttpFailure>(&result)) {
      TakeFailure(*failure);
      return;
    }
    const HttpAnswer& answer = std::get<HttpAnswer>(result);
    switch (OutcomeOf(answer)) {
      case Outcome::kRan:
        m_result.is_mismatch = !IsOwnAnswer(answer);
        Finish(LoadOutcome::kRan, "");
        return;
      case Outcome::kDidNotRun:
        if (!TryNext()) {
          Finish(LoadOutcome::kDidNotRun, ReasonOf(answer));
        }
        return;
      case Outcome::kUnknown:
        m_may_have_run = true;
        if (!m_owner.m_settings.resend || !TryNext()) {
          Finish(LoadOutcome::kUnknown, ReasonOf(answer));
        }
        return;
    }
  }

  void TakeFailure(HttpFailure failure) {
    const bool was_sent = failure == HttpFailure::kNoReply;
    m_may_have_run = m_may_have_run || was_sent;
    if ((was_sent && !m_owner.m_settings.resend) || !TryNext()) {
      Finish(LoadOutcome::kFailed, was_sent ? "no-reply" : "no-connection");
    }
  }

  bool TryNext() {
    if (m_result.attempts >= m_owner.m_settings.max_attempts) {
      return false;
    }
    Attempt();
    return true;
  }

  /** Returns whether the answer is to this request and whole. The path may lack
   * the segment that names the service. */
  bool IsOwnAnswer(const HttpAnswer& answer) const {
    boost::system::error_code error;
    const auto json = boost::json::parse(answer.body, error);
    if (error || !json.is_object()) {
      return false;
    }
    const auto text = [&](std::string_view name) -> std::string_view {
      const auto* found = json.get_object().if_contains(name);
      return found != nullptr && found->is_string()
                 ? std::string_view(found->get_string())
                 : std::string_view();
    };
    const auto* bytes = json.get_object().if_contains("request_bytes");
    return text("echo") == m_echo && text("path").ends_with(m_path) &&
           text("padding").size() ==
               static_cast<std::size_t>(m_owner.m_settings.answer_bytes) &&
           bytes != nullptr && *bytes == m_body.size();
  }

  void Finish(LoadOutcome outcome, std::string reason) {
    // A refusal by one entry instance says nothing of an earlier attempt that
    // may have run elsewhere.
    m_result.outcome = outcome == LoadOutcome::kDidNotRun && m_may_have_run
                           ? LoadOutcome::kUnknown
                           : outcome;
    m_result.reason = std::move(reason);
    m_result.latency = emulator::ReadMonotonicClock() - m_intended;
    --m_owner.m_outstanding;
    m_owner.Finish(m_result, m_intended);
  }

  LoadGenerator& m_owner;
  const ServiceLoad& m_load;
  std::string m_client;
  MonotonicTime m_intended;
  boost::asio::steady_timer m_timer;
  std::string m_echo;
  std::string m_path;
  std::string m_body;
  std::vector<std::string> m_entries;
  bool m_may_have_run = false;
  LoadResult m_result;
};

LoadGenerator::LoadGenerator(boost::asio::io_context& io, LoadSettings settings)
    : m_io(io),
      m_settings(std::move(settings)),
      m_clients(CallerAddresses(m_settings)),
      m_connections(io),
      m_directory(m_connections, m_settings.lookup, kLookupTimeout),
      m_random(StableHash("callers", m_settings.seed)),
      m_timer(io) {
  if (m_settings.lookup.empty() && m_settings.direct.empty()) {
    throw LoadSettingsError(
        "give --lookup or --direct with addresses of entry instances");
  }
  if (m_clients.empty()) {
    throw LoadSettingsError("no callers");
  }
  if (m_settings.warm_up >= m_settings.duration) {
    throw LoadSettingsError("the warm-up must be shorter than the duration");
  }
  for (const ServiceLoad& load : m_settings.services) {
    m_sources.push_back(
        {load, Random(StableHash(load.service, m_settings.seed)), {}});
  }
}

LoadGenerator::~LoadGenerator() = default;

void LoadGenerator::Start() {
  m_start = emulator::ReadMonotonicClock();
  for (Source& source : m_sources) {
    source.next =
        m_start + DrawPause(source.random, source.load.requests_per_second);
  }
  ScheduleNext();
}

void LoadGenerator::Stop() {
  m_is_stopped = true;
  m_all_sent = true;
  m_timer.cancel();
}

void LoadGenerator::ScheduleNext() {
  const auto first = std::min_element(
      m_sources.begin(), m_sources.end(),
      [](const Source& a, const Source& b) { return a.next < b.next; });
  if (first == m_sources.end() || m_is_stopped ||
      first->next >= m_start + m_settings.duration) {
    m_all_sent = true;
    return;
  }
  m_timer.expires_at(emulator::ToSteadyTime(first->next));
  m_timer.async_wait([this](boost::system::error_code error) {
    if (!error && !m_is_stopped) {
      SendDue();
      ScheduleNext();
    }
  });
}

void LoadGenerator::SendDue() {
  const MonotonicTime now = emulator::ReadMonotonicClock();
  for (Source& source : m_sources) {
    while (source.next <= now && source.next < m_start + m_settings.duration) {
      Send(source, source.next);
      source.next += DrawPause(source.random, source.load.requests_per_second);
    }
  }
}

void LoadGenerator::Send(Source& source, MonotonicTime intended) {
  const bool is_long = source.random.NextFraction() < source.load.long_share;
  if (m_outstanding >= m_settings.max_outstanding) {
    Finish({source.load.service, is_long, LoadOutcome::kNotSent,
            "max-outstanding", Duration(0), false, 0},
           intended);
    return;
  }
  ++m_outstanding;
  const std::string& client = m_clients[m_random.NextBelow(m_clients.size())];
  std::make_shared<Request>(*this, source.load, is_long, client,
                            ++m_request_count, intended)
      ->Start();
}

void LoadGenerator::Finish(const LoadResult& result, MonotonicTime intended) {
  if (intended >= m_start + m_settings.warm_up) {
    m_report.Add(result);
  }
}

}  // namespace kumquatcove
