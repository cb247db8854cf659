#ifndef ROUTING_UPSTREAM_HEALTH_H_
#define ROUTING_UPSTREAM_HEALTH_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "base/clock_reading.h"
#include "base/name.h"
#include "protocol/context.h"
#include "protocol/event.h"
#include "protocol/peer_message.h"
#include "routing/routing_settings.h"

namespace kumquatcove {

/**
 * Determines the state of upstreams, primarily from this instance's own
 * attempts, and also from peers' notices, probes and the platform.
 *
 * Thread safety: none; owned by one reducer.
 */
class UpstreamHealth {
 public:
  explicit UpstreamHealth(RoutingSettings settings = {})
      : m_settings(settings) {}

  /**
   * Records the result of an attempt, made by this instance or reported to it
   * as slot home in SlotRelease.
   *
   * The reducer calls it once for each attempt: when an attempt of its own
   * ends, and for a SlotRelease of another instance that names an upstream. A
   * looped-back SlotRelease of its own must not be counted again; SlotHome
   * itself never calls this.
   */
  void OnAttempt(Context& context,
                 const UpstreamId& upstream,
                 AttemptResult result,
                 Duration service_time);

  /** Records that the upstream or the platform reported that the upstream is
   * leaving. */
  void OnDrainSignal(Context& context, const UpstreamId& upstream);

  /** Records whether a fresh connection could be opened. */
  void OnFreshConnection(Context& context,
                         const UpstreamId& upstream,
                         bool opened);

  void OnNotice(Context& context, const UpstreamNotice& notice);
  void OnProbe(Context& context, const ProbeCompleted& probe);

  /** Records whether this instance is the slot home of a service in its region;
   * the home probes upstreams without traffic at shorter intervals. */
  void Watch(const Context& context, const ServiceName& service, bool watched);

  /** Emits due probes of upstreams that are down, draining or without recent
   * attempts. */
  void OnTick(Context& context);

  /** Returns the state; an upstream that the catalogue marks as drained is
   * kDraining. */
  UpstreamState StateOf(const Context& context,
                        const UpstreamId& upstream) const;

  /** Returns whether the upstream may get new work. */
  bool TakesNewWork(const Context& context, const UpstreamId& upstream) const;

  /** Returns the number of slots that may be used now, which is lower than
   * declared while the upstream is slowed or starts cold. */
  std::int32_t UsableSlots(const Context& context,
                           const UpstreamId& upstream) const;

  /** Returns the smoothed service time; zero if unknown. */
  Duration ServiceTime(const UpstreamId& upstream) const;

  /** Returns the requests in progress that the upstream last reported. */
  std::int32_t ReportedLoad(const UpstreamId& upstream) const;

  /** Returns whether a slowed upstream should get one request to check whether
   * it has recovered. */
  bool IsTrialDue(const Context& context, const UpstreamId& upstream) const;

  /** Returns the state changes detected by this instance since the last call,
   * for broadcast to all peers. */
  std::vector<UpstreamNotice> TakeNotices();

 private:
  /** Number of recent service times whose median is the smoothed one. */
  static constexpr std::size_t kWindow = 8;

  struct Record {
    UpstreamState state = UpstreamState::kServing;
    /** Time of the last evidence for `state`. */
    MonotonicTime since;
    std::array<Duration, kWindow> samples{};
    std::size_t sample_count = 0;
    std::size_t next_sample = 0;
    Duration service_time{0};
    /** Median of the service when `state` was last evaluated. */
    Duration reference{0};
    std::int32_t failures = 0;
    std::int32_t healthy_probes = 0;
    /** Start of the cold start ramp, while the upstream is cold. */
    std::optional<MonotonicTime> ramp_start;
    MonotonicTime last_used;
    MonotonicTime next_trial;
    Duration trial_interval{0};
    MonotonicTime next_probe;
    /** This instance is the slot home of the upstream's service. */
    bool watched = false;
    Duration probe_interval{0};
    /** Time of the probe that isn't answered yet. */
    std::optional<MonotonicTime> probe_sent;
    std::int32_t reported_load = 0;
  };

  const Record* Find(const UpstreamId& upstream) const;
  Record* SyncAndFind(Context& context, const UpstreamId& upstream);
  void SyncWithCatalogue(Context& context);
  static void AddSample(Record& record, Duration service_time);
  void UpdateSlowed(Context& context,
                    const UpstreamId& upstream,
                    Record& record);
  Duration MedianOfService(const Context& context,
                           const UpstreamId& upstream) const;
  void RecordFailure(Context& context,
                     const UpstreamId& upstream,
                     Record& record);
  void MarkDown(Context& context, const UpstreamId& upstream, Record& record);
  static void Recover(Context& context, Record& record);
  static void RecordSlowed(Context& context,
                           const UpstreamId& upstream,
                           const Record& record);
  static void Enter(Context& context, Record& record, UpstreamState state);
  void AddNotice(const UpstreamId& upstream, UpstreamState state);
  static Duration UnusedProbeInterval(const Record& record);
  bool IsProbeDue(const Context& context, const Record& record) const;
  void Probe(Context& context,
             const UpstreamId& upstream,
             Record& record) const;

  RoutingSettings m_settings;
  absl::flat_hash_map<UpstreamId, Record> m_records;
  std::vector<UpstreamNotice> m_notices;
  std::int64_t m_synced_revision = -1;
};

}  // namespace kumquatcove

#endif  // ROUTING_UPSTREAM_HEALTH_H_
