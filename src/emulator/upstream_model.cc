#include "emulator/upstream_model.h"

#include <algorithm>
#include <cmath>

namespace kumquatcove::emulator {
namespace {

Duration FromMilliseconds(double milliseconds) {
  return Duration(static_cast<Duration::rep>(milliseconds * 1000));
}

}  // namespace

UpstreamModel::UpstreamModel(const UpstreamSettings& settings,
                             std::uint64_t seed,
                             MonotonicTime start)
    : m_settings(settings), m_random(seed) {
  BecomeCold(start);
}

bool UpstreamModel::Arrive(const UpstreamWork& work, MonotonicTime now) {
  const auto slots = static_cast<std::size_t>(m_settings.slots);
  const auto places = static_cast<std::size_t>(m_settings.queue_length);
  if (m_running.size() >= slots && m_queue.size() >= places) {
    return false;
  }
  m_queue.push_back(work);
  Record(now);
  return true;
}

bool UpstreamModel::Cancel(std::uint64_t id, MonotonicTime now) {
  const auto waiting =
      std::find_if(m_queue.begin(), m_queue.end(),
                   [id](const UpstreamWork& work) { return work.id == id; });
  if (waiting != m_queue.end()) {
    m_queue.erase(waiting);
    Record(now);
    return true;
  }
  if (!m_settings.cancel_running) {
    return false;
  }
  const auto running =
      std::find_if(m_running.begin(), m_running.end(),
                   [id](const auto& entry) { return entry.second == id; });
  if (running == m_running.end()) {
    return false;
  }
  m_running.erase(running);
  Record(now);
  return true;
}

std::vector<WorkStep> UpstreamModel::Advance(MonotonicTime now) {
  std::vector<WorkStep> steps;
  while (!m_running.empty() && m_running.begin()->first <= now) {
    const auto [time, id] = *m_running.begin();
    m_running.erase(m_running.begin());
    steps.push_back({id, WorkChange::kFinished});
    // What waits starts when the slot became free, not when the driver noticed,
    // so that a late timer costs no capacity.
    StartWaiting(time, steps);
  }
  StartWaiting(now, steps);
  if (!steps.empty()) {
    Record(now);
  }
  return steps;
}

std::optional<MonotonicTime> UpstreamModel::NextFinish() const {
  return m_running.empty() ? std::nullopt
                           : std::optional(m_running.begin()->first);
}

void UpstreamModel::AddProbe() {
  m_probe_debt += FromMilliseconds(m_settings.probe_cost_ms);
}

void UpstreamModel::BecomeCold(MonotonicTime now) {
  m_cold_until = now + FromMilliseconds(m_settings.cold_s * 1000);
}

void UpstreamModel::Clear(MonotonicTime now) {
  m_queue.clear();
  m_running.clear();
  Record(now);
}

std::size_t UpstreamModel::ReportedInFlight(MonotonicTime now) {
  const MonotonicTime then = now - FromMilliseconds(m_settings.report_lag_ms);
  while (m_readings.size() > 1 && m_readings[1].time <= then) {
    m_readings.pop_front();
  }
  return m_readings.empty() || m_readings.front().time > then
             ? 0
             : m_readings.front().in_flight;
}

void UpstreamModel::StartWaiting(MonotonicTime now,
                                 std::vector<WorkStep>& steps) {
  const auto slots = static_cast<std::size_t>(m_settings.slots);
  while (!m_queue.empty() && m_running.size() < slots) {
    const UpstreamWork work = m_queue.front();
    m_queue.pop_front();
    if (work.deadline && *work.deadline <= now) {
      steps.push_back({work.id, WorkChange::kExpired});
      continue;
    }
    steps.push_back({work.id, WorkChange::kStarted});
    m_running.emplace(now + DrawServiceTime(work, now), work.id);
  }
}

Duration UpstreamModel::DrawServiceTime(const UpstreamWork& work,
                                        MonotonicTime now) {
  double milliseconds =
      -m_settings.mean_service_ms * std::log(1 - m_random.NextFraction());
  if (m_random.NextFraction() < m_settings.straggler_share) {
    milliseconds *= m_settings.straggler_factor;
  }
  if (work.is_long) {
    milliseconds *= m_settings.long_factor;
  }
  if (now < m_cold_until) {
    milliseconds *= m_settings.cold_factor;
  }
  const Duration probes = m_probe_debt;
  m_probe_debt = Duration(0);
  return FromMilliseconds(milliseconds * m_slow_factor) + probes;
}

void UpstreamModel::Record(MonotonicTime now) {
  ReportedInFlight(now);
  m_readings.push_back({now, InFlight()});
}

}  // namespace kumquatcove::emulator
