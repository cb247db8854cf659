#include "platform/stand_in/soak_ledger.h"

#include <algorithm>

#include <absl/strings/str_cat.h>

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

}  // namespace

void SoakLedger::OnSent(const std::string& attempt,
                        bool idempotent,
                        MonotonicTime now) {
  Attempt& sent = m_attempts[attempt];
  sent.idempotent = idempotent;
  sent.sent = now;
}

void SoakLedger::OnRun(const std::string& attempt,
                       const std::string& service,
                       const std::string& target) {
  // The routes of a soak are named after their service, but for those that
  // tell the versions of its configuration apart.
  if (!target.starts_with("/" + service + "/") &&
      !(service == "browse" && target.starts_with("/version/"))) {
    OnViolation(absl::StrCat("an upstream of ", service, " ran ", target, ": ",
                             attempt));
  }
  const auto found = m_attempts.find(attempt);
  if (found == m_attempts.end()) {
    OnViolation("a request ran that no caller has sent: " + attempt);
    return;
  }
  ++found->second.runs;
}

void SoakLedger::OnArrivalAfterLeaving(const std::string& upstream,
                                       MonotonicTime left,
                                       MonotonicTime now) {
  if (now - left > kLeavingLimit) {
    m_late_arrivals.push_back({upstream, left, now});
  }
}

void SoakLedger::OnAnswer(const std::string& attempt,
                          std::int32_t status,
                          bool whole,
                          MonotonicTime now) {
  Attempt& ended = m_attempts[attempt];
  ended.status = status;
  ended.ended = now;
  if (!whole) {
    OnViolation("a success isn't the upstream's answer: " + attempt);
  }
}

void SoakLedger::OnRequestEnd(MonotonicTime started, bool served) {
  m_requests.emplace_back(started, served);
}

void SoakLedger::OnDisturbance(MonotonicTime begin, MonotonicTime end) {
  m_disturbances.emplace_back(begin, end);
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

void SoakLedger::CheckLost(std::vector<std::string>& violations) const {
  for (const auto& [id, attempt] : m_attempts) {
    if (attempt.runs > 0 && attempt.status == 0 &&
        attempt.ended != MonotonicTime{} &&
        IsCalm(attempt.sent, attempt.ended)) {
      violations.push_back("passed on and never answered: " + id);
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
    if (spent >= kRouteTimeout && IsCalm(attempt.sent, attempt.ended)) {
      ++reached;
      late += spent > kRouteTimeout + kTimeoutSlack ? 1 : 0;
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
    if (attempt.idempotent) {
      continue;
    }
    if (attempt.runs > 1) {
      violations.push_back(absl::StrCat("ran ", attempt.runs, " times: ", id));
    }
    if (attempt.runs > 0 && PromisesNotRun(attempt.status)) {
      violations.push_back(
          absl::StrCat("answered ", attempt.status, " and has run: ", id));
    }
  }
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
