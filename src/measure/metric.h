#ifndef MEASURE_METRIC_H_
#define MEASURE_METRIC_H_

#include <array>

#include "base/enum_table.h"

namespace kumquatcove::measure {

/** A figure that a scenario yields; the name carries the unit. Latencies are
 * those that callers see, of the idempotent service's short work unless the
 * name says otherwise. */
enum class Metric {
  kP50Ms,
  kP99Ms,
  kP999Ms,
  /** Share of requests that did not run. */
  kNotRunShare,
  kOnceP99Ms,
  kOnceNotRunShare,
  /** Mean share of the idempotent service's slots that were busy. */
  kBusyShare,
  kWithoutLongP99Ms,
  kWithoutLongNotRunShare,
  kLongP99Ms,
  kLongNotRunShare,
  /** Time from the start of a drain to the last new request; 0 if none came. */
  kLastArrivalMs,
  /** Requests to the drained upstream since its process started. */
  kArrivalsBeforeDrain,
  kArrivalsAfterDrain,
  /** Requests without a known outcome. */
  kCutOffRequests,
  kNotRunRequests,
  kCancelledRunning,
  /** Share of the failed region's requests that were refused. */
  kRefusedShare,
  /** Share of all regions' requests that were refused. */
  kRefusedShareOfAll,
  kOtherRegionsP99Ms,
  kOtherRegionsNotRunShare,
  /** Greatest busy share of another region right after spill-over got a slot.
   */
  kBusyShareAtSpillOver,
  kSpillOverShare,
  kSpillOverStarts,
  kSpillOverStartsAboveLimit,
  kHeadroomLimitShare,
  /** Processor time of all entry instances, in cores. */
  kEntryCores,
  /** Processor time for one request of a caller. */
  kEntryUsPerRequest,
  /** Greatest share of one core that an emulator, entry or load process used.
   */
  kBusiestEntryCores,
  kBusiestUpstreamCores,
  kPlatformCores,
  kLoadCores,
  kDirectP50Ms,
  kDirectP99Ms,
  kEntryP50Ms,
  kEntryP99Ms,
  kAddedP50Ms,
  kAddedP99Ms,
  kRequestsPerCore,
  kLookupsPerCore,
  kLookupsPerSecond,
  kEntryResidentMb,
};

constexpr auto EnumNames(Metric) {
  using Row = EnumName<Metric>;
  return std::array{
      Row{Metric::kP50Ms, "p50_ms"},
      Row{Metric::kP99Ms, "p99_ms"},
      Row{Metric::kP999Ms, "p99.9_ms"},
      Row{Metric::kNotRunShare, "not_run_share"},
      Row{Metric::kOnceP99Ms, "non_idempotent_p99_ms"},
      Row{Metric::kOnceNotRunShare, "non_idempotent_not_run_share"},
      Row{Metric::kBusyShare, "busy_share"},
      Row{Metric::kWithoutLongP99Ms, "without_long_p99_ms"},
      Row{Metric::kWithoutLongNotRunShare, "without_long_not_run_share"},
      Row{Metric::kLongP99Ms, "long_p99_ms"},
      Row{Metric::kLongNotRunShare, "long_not_run_share"},
      Row{Metric::kLastArrivalMs, "last_arrival_ms"},
      Row{Metric::kArrivalsBeforeDrain, "arrivals_before_drain"},
      Row{Metric::kCutOffRequests, "cut_off_requests"},
      Row{Metric::kArrivalsAfterDrain, "arrivals_after_drain"},
      Row{Metric::kNotRunRequests, "not_run_requests"},
      Row{Metric::kCancelledRunning, "cancelled_running"},
      Row{Metric::kRefusedShare, "refused_share_failed_region"},
      Row{Metric::kRefusedShareOfAll, "refused_share_all"},
      Row{Metric::kOtherRegionsP99Ms, "other_regions_p99_ms"},
      Row{Metric::kOtherRegionsNotRunShare, "other_regions_not_run_share"},
      Row{Metric::kBusyShareAtSpillOver, "busy_share_at_spill_over"},
      Row{Metric::kSpillOverShare, "spill_over_share"},
      Row{Metric::kSpillOverStarts, "spill_over_starts"},
      Row{Metric::kSpillOverStartsAboveLimit, "spill_over_starts_above_limit"},
      Row{Metric::kHeadroomLimitShare, "headroom_limit_share"},
      Row{Metric::kEntryCores, "entry_cores"},
      Row{Metric::kEntryUsPerRequest, "entry_us_per_request"},
      Row{Metric::kBusiestEntryCores, "busiest_entry_cores"},
      Row{Metric::kBusiestUpstreamCores, "busiest_upstream_process_cores"},
      Row{Metric::kPlatformCores, "platform_cores"},
      Row{Metric::kLoadCores, "busiest_load_tool_cores"},
      Row{Metric::kDirectP50Ms, "direct_p50_ms"},
      Row{Metric::kDirectP99Ms, "direct_p99_ms"},
      Row{Metric::kEntryP50Ms, "entry_p50_ms"},
      Row{Metric::kEntryP99Ms, "entry_p99_ms"},
      Row{Metric::kAddedP50Ms, "added_p50_ms"},
      Row{Metric::kAddedP99Ms, "added_p99_ms"},
      Row{Metric::kRequestsPerCore, "requests_per_core_second"},
      Row{Metric::kLookupsPerCore, "lookups_per_core_second"},
      Row{Metric::kLookupsPerSecond, "lookups_per_second"},
      Row{Metric::kEntryResidentMb, "entry_resident_mb"}};
}

}  // namespace kumquatcove::measure

#endif  // MEASURE_METRIC_H_
