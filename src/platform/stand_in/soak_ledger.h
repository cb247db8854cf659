#ifndef PLATFORM_STAND_IN_SOAK_LEDGER_H_
#define PLATFORM_STAND_IN_SOAK_LEDGER_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/clock_reading.h"
#include "base/enum_table.h"
#include "platform/stand_in/paced_connection.h"

namespace kumquatcove::stand_in {

/** What happens to the process of an instance. */
enum class InstanceSignal {
  kStarted,
  kTerm,
  kHup,
  kStop,
  kCont,
  kKill,
  kEnded,
};

constexpr auto EnumNames(InstanceSignal) {
  using Row = EnumName<InstanceSignal>;
  return std::array{Row{InstanceSignal::kStarted, "started"},
                    Row{InstanceSignal::kTerm, "TERM"},
                    Row{InstanceSignal::kHup, "HUP"},
                    Row{InstanceSignal::kStop, "STOP"},
                    Row{InstanceSignal::kCont, "CONT"},
                    Row{InstanceSignal::kKill, "KILL"},
                    Row{InstanceSignal::kEnded, "ended"}};
}

/** How an upstream's work on a request ended. */
enum class RunEnd { kAtWork, kAnswered, kPeerClosed, kBrokenOff };

constexpr auto EnumNames(RunEnd) {
  using Row = EnumName<RunEnd>;
  return std::array{Row{RunEnd::kAtWork, "at work"},
                    Row{RunEnd::kAnswered, "answered"},
                    Row{RunEnd::kPeerClosed, "peer closed"},
                    Row{RunEnd::kBrokenOff, "broken off"}};
}

/** What a caller sends. */
struct SentRequest {
  bool idempotent = false;
  /** Address of the instance that it is sent to. */
  std::string address;
  /** Route, connection and pace, for the report. */
  std::string kind;
  /** Longest time that the route lets it wait. */
  Duration timeout = Seconds(1);
  /** Deadline that the caller states. */
  Duration deadline = Seconds(1);
};

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

  /** A request that has reached its route's timeout has this long to be
   * answered. */
  static constexpr Duration kTimeoutSlack = Milliseconds(500);

  /** A process that got SIGTERM may run this long. */
  static constexpr Duration kGrace = Seconds(6);
  /** Planned stops are judged until this long after the grace time. */
  static constexpr Duration kStopMargin = Seconds(1);
  /** A request that was read is lost if its connection ends later than this
   * after its last byte. */
  static constexpr Duration kLossSlack = Milliseconds(200);
  /** Work that lasts into the last sixth of the grace time may be cut if its
   * request was sent by this time after SIGTERM. */
  static constexpr Duration kLastExcusedSend = Seconds(3);
  static constexpr Duration kLastSixth = kGrace / 6;
  /** An instance applies its settings within this time after SIGHUP. */
  static constexpr Duration kReloadTime = Seconds(2);

  /** Notes a caller's send under a new id. */
  void OnSent(const std::string& attempt,
              SentRequest request,
              MonotonicTime now);
  /** Notes that the last byte of a request was sent. */
  void OnLastByte(const std::string& attempt, MonotonicTime now);
  /** Notes that a request has reached an upstream, which may yet refuse it. */
  void OnArrival(const std::string& attempt, MonotonicTime now);
  /** Notes that an upstream of a service has begun to work on a request. */
  void OnRun(const std::string& attempt,
             const std::string& service,
             const std::string& target,
             MonotonicTime now);
  /** Notes the end of the present work on a request. */
  void OnRunEnd(const std::string& attempt, RunEnd end, MonotonicTime now);
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
                ExchangeEnd end,
                std::int32_t status,
                bool whole,
                MonotonicTime now);
  /** Notes a signal to the instance that callers reach at an address. */
  void OnSignal(const std::string& address,
                const std::string& instance,
                InstanceSignal signal,
                MonotonicTime now);
  /** Notes the end of a caller's request with all its sends. */
  void OnRequestEnd(MonotonicTime started, bool served);
  /** Notes a time for which bounds don't hold. */
  void OnDisturbance(MonotonicTime begin, MonotonicTime end);
  /** Notes a time for which bounds don't hold at one instance. */
  void OnDisturbanceAt(const std::string& address,
                       MonotonicTime begin,
                       MonotonicTime end);
  /** Notes something else that must not happen. */
  void OnViolation(std::string text);

  /** Checks what can be told only at the end, and returns all that broke a
   * rule. */
  std::vector<std::string> FindViolations() const;

  /** Returns how many requests reached an instance that got SIGTERM more than
   * kLastExcusedSend before. */
  int LateSends() const;
  /** Returns the requests that started from `begin` on. */
  SoakShare ShareSince(MonotonicTime begin) const;

 private:
  struct Run {
    MonotonicTime begin;
    MonotonicTime end = MonotonicTime::max();
    RunEnd how = RunEnd::kAtWork;
  };

  struct Attempt {
    SentRequest request;
    std::vector<Run> runs;
    ExchangeEnd end = ExchangeEnd::kNotOpened;
    std::int32_t status = 0;
    MonotonicTime sent;
    std::optional<MonotonicTime> last_byte;
    std::optional<MonotonicTime> arrived;
    MonotonicTime ended;
  };

  struct Signal {
    InstanceSignal signal;
    MonotonicTime time;
  };
  struct SignalledInstance {
    std::string name;
    std::vector<Signal> signals;
    std::vector<std::pair<MonotonicTime, MonotonicTime>> disturbances;
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
  /** Returns whether a request had neither general disturbances nor those of
   * its instance. */
  bool IsCalm(const Attempt& attempt) const;
  /** Returns the first SIGTERM of the process beside whose planned stop a
   * request ended. */
  std::optional<MonotonicTime> FindStop(const Attempt& attempt) const;
  /** Returns the SIGHUP beside which a request ended. */
  std::optional<MonotonicTime> FindReload(const Attempt& attempt) const;
  /** Returns whether a request ended without what it was owed, whatever may
   * excuse that. */
  static bool IsCut(const Attempt& attempt);
  /** Checks that requests beside planned stops and reloads aren't lost. */
  void CheckLostAtSignals(std::vector<std::string>& violations) const;
  bool HasStarted(const std::string& address,
                  MonotonicTime begin,
                  MonotonicTime end) const;
  std::string DescribeLost(const std::string& id,
                           const Attempt& attempt,
                           MonotonicTime signal) const;
  void CheckRuns(std::vector<std::string>& violations) const;
  /** Checks that calm requests which were passed on got an answer. */
  void CheckLost(std::vector<std::string>& violations) const;
  /** Checks that calm requests which reach their timeout are ended then. */
  void CheckTimeouts(std::vector<std::string>& violations) const;

  std::map<std::string, Attempt> m_attempts;
  /** By the address that callers use. */
  std::map<std::string, SignalledInstance> m_instances;
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
