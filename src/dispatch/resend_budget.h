#ifndef DISPATCH_RESEND_BUDGET_H_
#define DISPATCH_RESEND_BUDGET_H_

#include <absl/container/flat_hash_map.h>

#include "base/clock_reading.h"
#include "base/name.h"
#include "dispatch/sliding_count.h"
#include "protocol/dispatch_settings.h"

namespace kumquatcove {

/**
 * Limits the number of resends over all entry instances.
 *
 * A service may get `resend_ratio` of its requests and `resend_extra` more in
 * any window. Each instance uses the ratio of its own requests and an equal
 * share of the extra resends, so that no instance needs the counts of the
 * others. Thread safety: none.
 */
class ResendBudget {
 public:
  explicit ResendBudget(DispatchSettings settings)
      : m_settings(std::move(settings)) {}

  void SetSettings(DispatchSettings settings) {
    m_settings = std::move(settings);
  }

  /** Records a request of a caller. */
  void OnRequest(const ServiceName& service, MonotonicTime now);

  /** Uses one resend if the budget allows it, and returns whether it does.
   * `instances` is the number of entry instances that may send, at least 1. */
  bool TryTake(const ServiceName& service, MonotonicTime now, int instances);

 private:
  struct Counts {
    explicit Counts(Duration window) : requests(window), resends(window) {}
    SlidingCount requests;
    SlidingCount resends;
  };

  Counts& CountsOf(const ServiceName& service);

  DispatchSettings m_settings;
  absl::flat_hash_map<ServiceName, Counts> m_services;
};

}  // namespace kumquatcove

#endif  // DISPATCH_RESEND_BUDGET_H_
