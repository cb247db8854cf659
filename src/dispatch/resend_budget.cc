#include "dispatch/resend_budget.h"

#include <cassert>
#include <cmath>

namespace kumquatcove {
namespace {

// Usable share of the budget: windows of the platform and of this instance
// don't start together, and instances may be added.
constexpr double kUsableShare = 0.7;

}  // namespace

ResendBudget::Counts& ResendBudget::CountsOf(const ServiceName& service) {
  const auto window =
      Duration(std::llround(m_settings.resend_window_s * 1'000'000));
  return m_services.try_emplace(service, window).first->second;
}

void ResendBudget::OnRequest(const ServiceName& service, MonotonicTime now) {
  CountsOf(service).requests.Add(now);
}

bool ResendBudget::TryTake(const ServiceName& service,
                           MonotonicTime now,
                           int instances) {
  assert(instances >= 1);
  Counts& counts = CountsOf(service);
  const double allowed =
      kUsableShare * (m_settings.resend_ratio * counts.requests.Sum(now) +
                      m_settings.resend_extra / instances);
  if (counts.resends.Sum(now) + 1 > allowed) {
    return false;
  }
  counts.resends.Add(now);
  return true;
}

}  // namespace kumquatcove
