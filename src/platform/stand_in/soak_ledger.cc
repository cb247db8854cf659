#include "platform/stand_in/soak_ledger.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include "emulator/steady_clock.h"
#include "platform/stand_in/soak_route.h"

namespace kumquatcove::stand_in {
namespace {

/** Returns whether a status tells a caller that its request has not run and
 * never will. */
bool PromisesNotRun(std::int32_t status) {
  constexpr std::int32_t kRequestTimeout = 408;
  constexpr std::int32_t kMisdirected = 421;
  constexpr std::int32_t kTooManyRequests = 429;
  constexpr std::int32_t kUnavailable = 503;
  return status == kRequestTimeout || status == kMisdirected ||
         status == kTooManyRequests || status == kUnavailable;
}

/** Returns a time of day, in UTC. */
std::string FormatTimeOfDay(MonotonicTime time) {
  constexpr std::int64_t kDay = 86'400'000'000;
  const Duration ago = emulator::ReadMonotonicClock() - time;
  const std::chrono::hh_mm_ss split(
      std::chrono::floor<std::chrono::milliseconds>(Duration(
          (emulator::ReadWallClock().microseconds - ago.count()) % kDay)));
  return absl::StrFormat("%02d:%02d:%02d.%03d", split.hours().count(),
                         split.minutes().count(), split.seconds().count(),
                         split.subseconds().count());
}

}  // namespace

void SoakLedger::OnSent(const std::string& attempt,
                        SentRequest request,
                        MonotonicTime now) {
  Attempt& sent = m_attempts[attempt];
  sent.request = std::move(request);
  sent.sent = now;
}

void SoakLedger::OnLastByte(const std::string& attempt, MonotonicTime now) {
  m_attempts[attempt].last_byte = now;
}

void SoakLedger::OnArrival(const std::string& attempt, MonotonicTime now) {
  const auto found = m_attempts.find(attempt);
  if (found != m_attempts.end() && !found->second.arrived) {
    found->second.arrived = now;
  }
}

void SoakLedger::OnRun(const std::string& attempt,
                       const std::string& service,
                       const std::string& target,
                       MonotonicTime now) {
  const SoakRoute* route = FindSoakRoute(target);
  if ((route == nullptr || route->service != service) &&
      !(service == "browse" && target.starts_with("/version/"))) {
    OnViolation(absl::StrCat("an upstream of ", service, " ran ", target, ": ",
                             attempt));
  }
  const auto found = m_attempts.find(attempt);
  if (found == m_attempts.end()) {
    OnViolation("a request ran that no caller has sent: " + attempt);
    return;
  }
  Run& run = found->second.runs.emplace_back();
  run.begin = now;
}

void SoakLedger::OnRunEnd(const std::string& attempt,
                          RunEnd end,
                          MonotonicTime now) {
  const auto found = m_attempts.find(attempt);
  if (found == m_attempts.end()) {
    return;
  }
  for (Run& run : found->second.runs) {
    if (run.how == RunEnd::kAtWork) {
      run.how = end;
      run.end = now;
      return;
    }
  }
}

void SoakLedger::OnArrivalAfterLeaving(const std::string& upstream,
                                       MonotonicTime left,
                                       MonotonicTime now) {
  if (now - left > kLeavingLimit) {
    m_late_arrivals.push_back({upstream, left, now});
  }
}

void SoakLedger::OnAnswer(const std::string& attempt,
                          ExchangeEnd end,
                          std::int32_t status,
                          bool whole,
                          MonotonicTime now) {
  Attempt& ended = m_attempts[attempt];
  ended.end = end;
  ended.status = status;
  ended.ended = now;
  if (!whole) {
    OnViolation("a success isn't the upstream's answer: " + attempt);
  }
  if (end == ExchangeEnd::kInvalid) {
    OnViolation("not a valid answer: " + attempt);
  }
}

void SoakLedger::OnRequestEnd(MonotonicTime started, bool served) {
  m_requests.emplace_back(started, served);
}

void SoakLedger::OnDisturbance(MonotonicTime begin, MonotonicTime end) {
  m_disturbances.emplace_back(begin, end);
}

void SoakLedger::OnDisturbanceAt(const std::string& address,
                                 MonotonicTime begin,
                                 MonotonicTime end) {
  m_instances[address].disturbances.emplace_back(begin, end);
}

void SoakLedger::OnSignal(const std::string& address,
                          const std::string& instance,
                          InstanceSignal signal,
                          MonotonicTime now) {
  m_instances[address].name = instance;
  m_instances[address].signals.push_back({signal, now});
}

void SoakLedger::OnViolation(std::string text) {
  m_violations.push_back(std::move(text));
}

bool SoakLedger::IsCalm(MonotonicTime begin, MonotonicTime end) const {
  return std::none_of(m_disturbances.begin(), m_disturbances.end(),
                      [&](const auto& disturbance) {
                        return disturbance.first < end &&
                               disturbance.second + kContactTime > begin;
                      });
}

bool SoakLedger::IsCalm(const Attempt& attempt) const {
  const auto instance = m_instances.find(attempt.request.address);
  return IsCalm(attempt.sent, attempt.ended) &&
         (instance == m_instances.end() ||
          std::none_of(instance->second.disturbances.begin(),
                       instance->second.disturbances.end(),
                       [&](const auto& disturbance) {
                         return disturbance.first < attempt.ended &&
                                disturbance.second + kContactTime >
                                    attempt.sent;
                       }));
}

std::optional<MonotonicTime> SoakLedger::FindStop(
    const Attempt& attempt) const {
  const auto instance = m_instances.find(attempt.request.address);
  if (instance == m_instances.end()) {
    return std::nullopt;
  }
  std::optional<MonotonicTime> stop;
  bool is_stopping = false;
  for (const Signal& signal : instance->second.signals) {
    if (signal.signal == InstanceSignal::kStarted) {
      is_stopping = false;
    } else if (signal.signal == InstanceSignal::kTerm && !is_stopping) {
      is_stopping = true;
      if (signal.time <= attempt.ended &&
          attempt.ended <= signal.time + kGrace + kStopMargin) {
        stop = signal.time;
      }
    }
  }
  return stop;
}

std::optional<MonotonicTime> SoakLedger::FindReload(
    const Attempt& attempt) const {
  const auto instance = m_instances.find(attempt.request.address);
  if (instance == m_instances.end()) {
    return std::nullopt;
  }
  for (const Signal& signal : instance->second.signals) {
    if (signal.signal == InstanceSignal::kHup &&
        attempt.sent <= signal.time + kReloadTime &&
        signal.time <= attempt.ended) {
      return signal.time;
    }
  }
  return std::nullopt;
}

bool SoakLedger::IsCut(const Attempt& attempt) {
  if (attempt.end == ExchangeEnd::kAnswered) {
    // An answer in place of the upstream's that breaks off its work.
    constexpr std::int32_t kOk = 200;
    return attempt.status != kOk &&
           std::any_of(attempt.runs.begin(), attempt.runs.end(),
                       [&](const Run& run) {
                         return run.begin <= attempt.ended &&
                                run.how != RunEnd::kAnswered &&
                                run.how != RunEnd::kBrokenOff &&
                                run.end + kLossSlack >= attempt.ended;
                       });
  }
  if (attempt.end != ExchangeEnd::kClosed &&
      attempt.end != ExchangeEnd::kReset) {
    return false;
  }
  // An orderly end tells that all was read, if all was sent.
  return attempt.arrived ||
         (attempt.end == ExchangeEnd::kClosed && attempt.last_byte &&
          attempt.ended - *attempt.last_byte > kLossSlack);
}

void SoakLedger::CheckLostAtSignals(
    std::vector<std::string>& violations) const {
  for (const auto& [id, sent] : m_attempts) {
    const Attempt& attempt = sent;
    const std::optional<MonotonicTime> stop = FindStop(attempt);
    const std::optional<MonotonicTime> signal =
        stop ? stop : FindReload(attempt);
    const Duration time =
        std::min(attempt.request.timeout, attempt.request.deadline);
    if (!signal || !IsCut(attempt) || !IsCalm(attempt) ||
        attempt.ended - attempt.sent >= time) {
      continue;
    }
    const bool is_excused = std::any_of(
        attempt.runs.begin(), attempt.runs.end(), [&](const Run& run) {
          return run.how == RunEnd::kBrokenOff ||
                 (stop && attempt.sent <= *stop + kLastExcusedSend &&
                  run.begin < *stop + kGrace &&
                  run.end > *stop + kGrace - kLastSixth);
        });
    if (!is_excused) {
      violations.push_back(DescribeLost(id, attempt, *signal));
    }
  }
}

std::string SoakLedger::DescribeLost(const std::string& id,
                                     const Attempt& attempt,
                                     MonotonicTime signal) const {
  const auto at = [&](MonotonicTime time) {
    return (time - signal).count() / 1000;
  };
  const SignalledInstance& instance = m_instances.at(attempt.request.address);
  std::string text = absl::StrCat("lost at a planned stop: ", id, " (",
                                  attempt.request.kind, ") at ", instance.name,
                                  ", signal at ", FormatTimeOfDay(signal),
                                  "; ms after it: sent ", at(attempt.sent));
  if (attempt.last_byte) {
    absl::StrAppend(&text, ", last byte ", at(*attempt.last_byte));
  }
  if (attempt.arrived) {
    absl::StrAppend(&text, ", reached upstream ", at(*attempt.arrived));
  }
  for (const Run& run : attempt.runs) {
    absl::StrAppend(&text, ", run ", at(run.begin));
    if (run.how != RunEnd::kAtWork) {
      absl::StrAppend(&text, " to ", at(run.end));
    }
    absl::StrAppend(&text, " (", std::string(ToString(run.how)), ")");
  }
  absl::StrAppend(&text, ", connection ", std::string(ToString(attempt.end)),
                  " ", at(attempt.ended));
  if (attempt.end == ExchangeEnd::kAnswered) {
    absl::StrAppend(&text, " with ", attempt.status);
  }
  absl::StrAppend(&text, "; signals");
  for (const Signal& got : instance.signals) {
    if (got.time >= signal - kGrace &&
        got.time <= signal + kGrace + kStopMargin) {
      absl::StrAppend(&text, " ", std::string(ToString(got.signal)), " ",
                      at(got.time));
    }
  }
  return text;
}

void SoakLedger::CheckLost(std::vector<std::string>& violations) const {
  for (const auto& [id, attempt] : m_attempts) {
    // Beside signals, a check of its own applies.
    if (!attempt.runs.empty() && attempt.status == 0 &&
        attempt.ended != MonotonicTime{} && !FindStop(attempt) &&
        IsCalm(attempt)) {
      violations.push_back(absl::StrCat(
          "passed on and never answered: ", id, " (", attempt.request.kind,
          ") ", std::string(ToString(attempt.end)), " after ",
          (attempt.ended - attempt.sent).count() / 1000, " ms, at ",
          FormatTimeOfDay(attempt.ended)));
    }
  }
}

void SoakLedger::CheckTimeouts(std::vector<std::string>& violations) const {
  // The platform allows a quarter of those that reach their timeout, and judges
  // no fewer than this.
  constexpr int kMinJudged = 8;
  constexpr double kMaxLateShare = 0.25;
  int reached = 0;
  int late = 0;
  for (const auto& [id, attempt] : m_attempts) {
    const Duration spent = attempt.ended - attempt.sent;
    const Duration timeout = attempt.request.timeout;
    if (spent >= timeout && IsCalm(attempt)) {
      ++reached;
      late += spent > timeout + kTimeoutSlack ? 1 : 0;
    }
  }
  if (late >= kMinJudged && late > kMaxLateShare * reached) {
    violations.push_back(absl::StrCat(
        late, " of ", reached, " requests were ended late at their timeout"));
  }
}

void SoakLedger::OnRateLimit(const std::string& upstream,
                             std::optional<double> rate,
                             MonotonicTime now) {
  m_limits.erase(upstream);
  if (rate) {
    m_limits[upstream] = m_limited_times.size();
    m_limited_times.push_back({upstream, *rate, now, {}});
  }
}

void SoakLedger::OnLimitedArrival(const std::string& upstream,
                                  MonotonicTime now) {
  const auto limit = m_limits.find(upstream);
  if (limit != m_limits.end()) {
    m_limited_times[limit->second].arrivals.push_back(now);
  }
}

void SoakLedger::CheckRateLimits(std::vector<std::string>& violations) const {
  for (const LimitedTime& limited : m_limited_times) {
    const double allowed =
        kMaxLimitExcess * limited.rate *
            std::chrono::duration<double>(kLimitWindow).count() +
        kLimitSlack;
    const std::vector<MonotonicTime>& arrivals = limited.arrivals;
    for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
      const auto count =
          std::lower_bound(first, arrivals.end(), *first + kLimitWindow) -
          first;
      if (*first >= limited.begin + kContactTime &&
          static_cast<double>(count) > allowed &&
          IsCalm(*first, *first + kLimitWindow)) {
        violations.push_back(absl::StrCat(
            "upstream ", limited.upstream, " got ", count,
            " requests at a limit of ", limited.rate, " a second"));
        break;
      }
    }
  }
}

std::vector<std::string> SoakLedger::FindViolations() const {
  std::vector<std::string> violations = m_violations;
  CheckRuns(violations);
  CheckLost(violations);
  CheckLostAtSignals(violations);
  CheckTimeouts(violations);
  CheckRateLimits(violations);
  for (const LateArrival& late : m_late_arrivals) {
    if (IsCalm(late.left, late.arrived)) {
      violations.push_back(absl::StrCat(
          "upstream ", late.upstream, " got a request ",
          (late.arrived - late.left).count() / 1000, " ms after it left"));
    }
  }
  return violations;
}

void SoakLedger::CheckRuns(std::vector<std::string>& violations) const {
  for (const auto& [id, attempt] : m_attempts) {
    if (attempt.request.idempotent) {
      continue;
    }
    if (attempt.runs.size() > 1) {
      violations.push_back(
          absl::StrCat("ran ", attempt.runs.size(), " times: ", id));
    }
    if (!attempt.runs.empty() && PromisesNotRun(attempt.status)) {
      violations.push_back(
          absl::StrCat("answered ", attempt.status, " and has run: ", id));
    }
  }
}

int SoakLedger::LateSends() const {
  return static_cast<int>(std::count_if(
      m_attempts.begin(), m_attempts.end(), [this](const auto& entry) {
        const Attempt& attempt = entry.second;
        const std::optional<MonotonicTime> stop = FindStop(attempt);
        // A process that was started since has no part in that stop.
        return stop && attempt.end != ExchangeEnd::kNotOpened &&
               attempt.sent > *stop + kLastExcusedSend &&
               !HasStarted(attempt.request.address, *stop, attempt.sent);
      }));
}

bool SoakLedger::HasStarted(const std::string& address,
                            MonotonicTime begin,
                            MonotonicTime end) const {
  const std::vector<Signal>& signals = m_instances.at(address).signals;
  return std::any_of(signals.begin(), signals.end(), [&](const Signal& got) {
    return got.signal == InstanceSignal::kStarted && begin < got.time &&
           got.time < end;
  });
}

SoakShare SoakLedger::ShareSince(MonotonicTime begin) const {
  SoakShare share;
  for (const auto& [started, served] : m_requests) {
    if (started >= begin) {
      ++share.requests;
      share.served += served ? 1 : 0;
    }
  }
  return share;
}

}  // namespace kumquatcove::stand_in
