#ifndef PLATFORM_STAND_IN_SOAK_LEDGER_H_
#define PLATFORM_STAND_IN_SOAK_LEDGER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/clock_reading.h"

namespace kumquatcove::stand_in {

/** How many of a caller's requests ended with a success. */
struct SoakShare {
  int requests = 0;
  int served = 0;
};

/**
 * What callers and upstreams of a soak have seen, and which of the platform's
 * rules that breaks.
 *
 * Thread safety: none.
 */
class SoakLedger {
 public:
  /** An upstream that leaves must get nothing this long after its row says so,
   * by the platform's bound for this kind of deployment and a margin for the
   * scheduling of processes on a busy machine. */
  static constexpr Duration kLeavingLimit = Milliseconds(2'500);
  /** Time around a disturbance for which bounds don't hold. */
  static constexpr Duration kContactTime = Seconds(3);

  /** From kContactTime after an upstream first stated a rate limit, a span of
   * this length may bring kMaxLimitExcess times what the limit allows, and
   * kLimitSlack requests. */
  static constexpr Duration kLimitWindow = Seconds(4);
  static constexpr double kMaxLimitExcess = 1.5;
  static constexpr double kLimitSlack = 5;

  /** Longest time that the soak's routes let a request wait. */
  static constexpr Duration kRouteTimeout = Seconds(1);
  /** A request that has waited so long has this long to be answered. */
  static constexpr Duration kTimeoutSlack = Milliseconds(500);

  /** Notes a caller's send under a new id. */
  void OnSent(const std::string& attempt, bool idempotent, MonotonicTime now);
  /** Notes that an upstream of a service has begun to work on a request. */
  void OnRun(const std::string& attempt,
             const std::string& service,
             const std::string& target);
  /** Notes a request that reached an upstream which left at `left`. */
  void OnArrivalAfterLeaving(const std::string& upstream,
                             MonotonicTime left,
                             MonotonicTime now);
  /** Notes that an upstream states a rate limit from now on, or none. */
  void OnRateLimit(const std::string& upstream,
                   std::optional<double> rate,
                   MonotonicTime now);
  /** Notes a request that reached an upstream which states a rate limit. */
  void OnLimitedArrival(const std::string& upstream, MonotonicTime now);
  /** Notes the end of a send; a status of 0 stands for no answer. `whole` says
   * whether a success is what the upstream has made of this request. */
  void OnAnswer(const std::string& attempt,
                std::int32_t status,
                bool whole,
                MonotonicTime now);
  /** Notes the end of a caller's request with all its sends. */
  void OnRequestEnd(MonotonicTime started, bool served);
  /** Notes a time for which bounds don't hold. */
  void OnDisturbance(MonotonicTime begin, MonotonicTime end);
  /** Notes something else that must not happen. */
  void OnViolation(std::string text);

  /** Checks what can be told only at the end, and returns all that broke a
   * rule. */
  std::vector<std::string> FindViolations() const;

  /** Returns the requests that started from `begin` on. */
  SoakShare ShareSince(MonotonicTime begin) const;

 private:
  struct Attempt {
    bool idempotent = false;
    int runs = 0;
    std::int32_t status = 0;
    MonotonicTime sent;
    MonotonicTime ended;
  };

  /** Time in which an upstream stated one rate limit, and its arrivals then. */
  struct LimitedTime {
    std::string upstream;
    double rate = 0;
    MonotonicTime begin;
    std::vector<MonotonicTime> arrivals;
  };

  /** Checks that rate limits were kept in calm. */
  void CheckRateLimits(std::vector<std::string>& violations) const;
  bool IsCalm(MonotonicTime begin, MonotonicTime end) const;
  void CheckRuns(std::vector<std::string>& violations) const;
  /** Checks that calm requests which were passed on got an answer. */
  void CheckLost(std::vector<std::string>& violations) const;
  /** Checks that calm requests which reach their timeout are ended then. */
  void CheckTimeouts(std::vector<std::string>& violations) const;

  std::map<std::string, Attempt> m_attempts;
  std::vector<std::pair<MonotonicTime, bool>> m_requests;
  std::vector<std::pair<MonotonicTime, MonotonicTime>> m_disturbances;
  std::vector<std::string> m_violations;
  struct LateArrival {
    std::string upstream;
    MonotonicTime left;
    MonotonicTime arrived;
  };
  std::vector<LateArrival> m_late_arrivals;
  std::vector<LimitedTime> m_limited_times;
  /** Index of the limited time of each upstream that has a limit now. */
  std::map<std::string, std::size_t> m_limits;
};

}  // namespace kumquatcove::stand_in

#endif  // PLATFORM_STAND_IN_SOAK_LEDGER_H_
