#include "runtime/log_volume.h"

#include <algorithm>
#include <utility>

namespace kumquatcove {
namespace {

constexpr std::string_view kAnswered = "request_answered";
constexpr std::string_view kOther = "other";

double RateOf(std::string_view event) {
  return event == kAnswered ? LogVolume::kAnsweredPerSecond
                            : LogVolume::kPerSecond;
}

}  // namespace

bool LogVolume::Admit(std::string_view event, MonotonicTime now) {
  auto found = m_events.find(event);
  if (found == m_events.end() && m_events.size() >= kMaxEvents) {
    event = kOther;
    found = m_events.find(event);
  }
  const double rate = RateOf(event);
  const double max_lines = rate * kBurstSeconds;
  if (found == m_events.end()) {
    found =
        m_events.emplace(std::string(event), Budget{max_lines, now, 0}).first;
  }
  Budget& budget = found->second;
  const double elapsed =
      std::chrono::duration<double>(now - budget.updated).count();
  budget.updated = now;
  budget.lines =
      std::min(max_lines, budget.lines + std::max(0.0, elapsed) * rate);
  if (budget.lines < 1) {
    ++budget.omitted;
    return false;
  }
  --budget.lines;
  return true;
}

std::vector<OmittedLines> LogVolume::TakeOmitted() {
  std::vector<OmittedLines> omitted;
  for (auto& [event, budget] : m_events) {
    if (budget.omitted > 0) {
      omitted.push_back({event, std::exchange(budget.omitted, 0)});
    }
  }
  return omitted;
}

}  // namespace kumquatcove
