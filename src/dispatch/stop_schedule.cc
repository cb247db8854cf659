#include "dispatch/stop_schedule.h"

#include <algorithm>
#include <chrono>

namespace kumquatcove {
namespace {

// Some callers cache a lookup answer for this many times to live.
constexpr int kLookupKeepFactor = 3;
// Allows for heartbeats and lookups in transit when the instance starts to
// leave.
constexpr Duration kLeavingMargin = Milliseconds(700);

// Shares of the time until SIGKILL. More than half of it is kept for requests
// whose work turns out to be long.
constexpr double kMaxLookupShare = 0.45;
constexpr double kMaxIntakeShare = 0.65;

// Work is begun only if this many times its expected duration is left.
constexpr int kDurationMargin = 2;

// Time before SIGKILL at which the process exits in any case; peers then get
// what is queued for them.
constexpr Duration kKillMargin = Milliseconds(300);
// Time for an upstream's answer in transit, and for writing the last answers.
constexpr Duration kAnswerTime = Milliseconds(320);

Duration ShareOf(Duration time, double share) {
  return std::chrono::duration_cast<Duration>(time * share);
}

}  // namespace

StopSchedule::StopSchedule(MonotonicTime begin, Duration grace) {
  const Duration cached = kLookupTimeToLive * kLookupKeepFactor;
  m_exit_end = begin + std::max(grace - kKillMargin, Duration::zero());
  m_work_end = std::max(m_exit_end - kAnswerTime, begin);
  m_intake_end =
      std::min(m_work_end, begin + std::min(cached + kLeavingMargin,
                                            ShareOf(grace, kMaxIntakeShare)));
  m_lookups_end = std::min(
      m_intake_end, begin + std::min(cached, ShareOf(grace, kMaxLookupShare)));
}

bool StopSchedule::IsAdmissible(MonotonicTime now,
                                MonotonicTime deadline) const {
  return now < m_work_end && (now < m_lookups_end || deadline <= m_work_end);
}

bool StopSchedule::MayBegin(MonotonicTime now, Duration expected) const {
  return now + expected * kDurationMargin <= m_work_end;
}

}  // namespace kumquatcove
