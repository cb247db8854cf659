#include "routing/upstream_health.h"

#include <algorithm>
#include <utility>

namespace kumquatcove {
namespace {

// An upstream becomes slowed above the first and serving again below the second
// multiple of the service's median; the gap prevents noise from toggling it.
constexpr double kSlowedFactor = 3.0;
constexpr double kRecoveredFactor = 1.5;
// An upstream isn't marked as slowed before it has this many service times, so
// that one straggler isn't sufficient.
constexpr std::size_t kMinimumSamples = 3;

constexpr std::int32_t kFailuresUntilDown = 3;
constexpr Duration kRampTime = Seconds(5);

constexpr Duration kFirstTrialInterval = Seconds(1);
constexpr Duration kLastTrialInterval = Seconds(8);
// After one fast answer the next trials use this short interval, so that
// recovery takes less than a second.
constexpr Duration kConfirmInterval = Milliseconds(100);

// A probe costs the upstream up to 6 ms; at these intervals ten instances take
// less than 2% of one slot.
constexpr Duration kFirstProbeInterval = Milliseconds(500);
constexpr Duration kLastProbeInterval = Seconds(8);
constexpr Duration kUnusedProbeInterval = Seconds(30);
// An upstream without traffic reports only at its health endpoint that it
// drains, and must get no new work 2 s later. Only the slot home probes it at
// this interval, which takes less than 1% of one slot.
constexpr Duration kWatchedProbeInterval = Seconds(1);
// The baseline that compares reported load needs fresher reports.
constexpr Duration kLoadReportInterval = Seconds(1);
constexpr Duration kProbeTimeout = Seconds(5);
constexpr int kProbesPerTick = 2;

// Health endpoints lag, so contrary reports are treated as outdated for this
// long after an upstream reported that it drains.
constexpr Duration kDrainHoldTime = Seconds(5);
constexpr std::int32_t kHealthyProbesAfterDrain = 2;
// A peer's notice that an upstream is serving may have been sent before this
// instance detected that it is down, so it is ignored for this long.
constexpr Duration kDownHoldTime = Seconds(1);
// Notices wait here only until the next call of TakeNotices.
constexpr std::size_t kMaximumNotices = 1024;

std::int32_t DeclaredSlots(const Context& context, const ServiceName& service) {
  const ServiceEntry* entry = context.Catalogue().FindService(service);
  return entry == nullptr ? 0 : entry->limits.slots_per_upstream;
}

Duration Jittered(Context& context, Duration interval) {
  const double factor = 0.75 + 0.5 * context.RandomNumbers().NextFraction();
  return Duration(static_cast<Duration::rep>(interval.count() * factor));
}

bool IsAvailable(UpstreamState state) {
  return state == UpstreamState::kServing || state == UpstreamState::kSlowed;
}

}  // namespace

void UpstreamHealth::OnAttempt(Context& context,
                               const UpstreamId& upstream,
                               AttemptResult result,
                               Duration service_time) {
  Record* record = SyncAndFind(context, upstream);
  if (record == nullptr || result == AttemptResult::kNotSent) {
    return;
  }
  record->last_used = context.Now();
  if (result == AttemptResult::kFailed) {
    RecordFailure(context, upstream, *record);
    return;
  }
  // An attempt that was stopped shows only that its service time is longer.
  const bool counts =
      result == AttemptResult::kAnswered ||
      (result != AttemptResult::kShed && service_time > record->service_time);
  if (result == AttemptResult::kAnswered) {
    record->failures = 0;
    record->probe_interval = kFirstProbeInterval;
  }
  if (counts) {
    AddSample(*record, service_time);
    UpdateSlowed(context, upstream, *record);
  }
}

void UpstreamHealth::OnDrainSignal(Context& context,
                                   const UpstreamId& upstream) {
  Record* record = SyncAndFind(context, upstream);
  if (record == nullptr) {
    return;
  }
  record->healthy_probes = 0;
  if (IsAvailable(record->state)) {
    Enter(context, *record, UpstreamState::kDraining);
    AddNotice(upstream, UpstreamState::kDraining);
  } else if (record->state == UpstreamState::kDraining) {
    record->since = context.Now();
  }
}

void UpstreamHealth::OnFreshConnection(Context& context,
                                       const UpstreamId& upstream,
                                       bool opened) {
  Record* record = SyncAndFind(context, upstream);
  if (record == nullptr) {
    return;
  }
  if (!opened) {
    MarkDown(context, upstream, *record);
  } else if (record->state == UpstreamState::kDown) {
    record->next_probe = context.Now();
  }
}

void UpstreamHealth::OnNotice(Context& context, const UpstreamNotice& notice) {
  Record* record = SyncAndFind(context, notice.upstream);
  if (record == nullptr || record->state == notice.state) {
    return;
  }
  const Duration age = context.Now() - record->since;
  switch (notice.state) {
    case UpstreamState::kDraining:
      if (IsAvailable(record->state)) {
        Enter(context, *record, notice.state);
      }
      break;
    case UpstreamState::kDown:
      Enter(context, *record, notice.state);
      break;
    case UpstreamState::kServing:
      if ((record->state == UpstreamState::kDown && age >= kDownHoldTime) ||
          (record->state == UpstreamState::kDraining &&
           age >= kDrainHoldTime)) {
        Recover(context, *record);
      }
      break;
    case UpstreamState::kSlowed:
      // Slowness is determined only from this instance's own service times.
      break;
  }
}

void UpstreamHealth::OnProbe(Context& context, const ProbeCompleted& probe) {
  Record* record = SyncAndFind(context, probe.upstream);
  if (record == nullptr) {
    return;
  }
  record->probe_sent.reset();
  record->reported_load = std::max(probe.reported_load, 0);
  if (!probe.healthy) {
    record->healthy_probes = 0;
    RecordFailure(context, probe.upstream, *record);
    return;
  }
  if (probe.draining) {
    OnDrainSignal(context, probe.upstream);
    return;
  }
  ++record->healthy_probes;
  const bool drain_is_over =
      record->state == UpstreamState::kDraining &&
      record->healthy_probes >= kHealthyProbesAfterDrain &&
      context.Now() - record->since >= kDrainHoldTime;
  if (record->state == UpstreamState::kDown || drain_is_over) {
    Recover(context, *record);
    AddNotice(probe.upstream, UpstreamState::kServing);
  }
}

void UpstreamHealth::Watch(const Context& context,
                           const ServiceName& service,
                           bool watched) {
  for (const UpstreamId& upstream :
       context.Catalogue().UpstreamsIn(service, context.Self().region)) {
    const auto found = m_records.find(upstream);
    if (found == m_records.end() || found->second.watched == watched) {
      continue;
    }
    found->second.watched = watched;
    if (watched) {
      found->second.next_probe = std::min(
          found->second.next_probe, context.Now() + kWatchedProbeInterval);
    }
  }
}

void UpstreamHealth::OnTick(Context& context) {
  SyncWithCatalogue(context);
  int probes = 0;
  for (const ServiceName& service : context.Catalogue().Services()) {
    for (const UpstreamId& upstream :
         context.Catalogue().UpstreamsIn(service, context.Self().region)) {
      const auto found = m_records.find(upstream);
      if (found != m_records.end() && probes < kProbesPerTick &&
          IsProbeDue(context, found->second)) {
        Probe(context, upstream, found->second);
        ++probes;
      }
    }
  }
}

UpstreamState UpstreamHealth::StateOf(const Context& context,
                                      const UpstreamId& upstream) const {
  const Record* record = Find(upstream);
  const UpstreamState state =
      record == nullptr ? UpstreamState::kServing : record->state;
  const UpstreamRecord* declared = context.Catalogue().FindUpstream(upstream);
  const bool drained = declared != nullptr && declared->declaration.drained;
  return drained && IsAvailable(state) ? UpstreamState::kDraining : state;
}

bool UpstreamHealth::TakesNewWork(const Context& context,
                                  const UpstreamId& upstream) const {
  return context.Catalogue().FindUpstream(upstream) != nullptr &&
         IsAvailable(StateOf(context, upstream));
}

std::int32_t UpstreamHealth::UsableSlots(const Context& context,
                                         const UpstreamId& upstream) const {
  if (!TakesNewWork(context, upstream)) {
    return 0;
  }
  const std::int32_t declared = DeclaredSlots(
      context, context.Catalogue().FindUpstream(upstream)->service);
  const Record* record = Find(upstream);
  if (record == nullptr) {
    return declared;
  }
  double share = 1.0;
  if (record->state == UpstreamState::kSlowed &&
      record->service_time > Duration(0)) {
    share = static_cast<double>(record->reference.count()) /
            static_cast<double>(record->service_time.count());
  }
  if (record->ramp_start) {
    const Duration elapsed = context.Now() - *record->ramp_start;
    share = std::min(share, static_cast<double>(elapsed.count()) /
                                static_cast<double>(kRampTime.count()));
  }
  const auto usable = static_cast<std::int32_t>(declared * share);
  return std::clamp(usable, std::min(declared, 1), declared);
}

Duration UpstreamHealth::ServiceTime(const UpstreamId& upstream) const {
  const Record* record = Find(upstream);
  return record == nullptr ? Duration(0) : record->service_time;
}

std::int32_t UpstreamHealth::ReportedLoad(const UpstreamId& upstream) const {
  const Record* record = Find(upstream);
  return record == nullptr ? 0 : record->reported_load;
}

bool UpstreamHealth::IsTrialDue(const Context& context,
                                const UpstreamId& upstream) const {
  const Record* record = Find(upstream);
  return record != nullptr && record->state == UpstreamState::kSlowed &&
         context.Now() >= record->next_trial;
}

std::vector<UpstreamNotice> UpstreamHealth::TakeNotices() {
  return std::exchange(m_notices, {});
}

const UpstreamHealth::Record* UpstreamHealth::Find(
    const UpstreamId& upstream) const {
  const auto found = m_records.find(upstream);
  return found == m_records.end() ? nullptr : &found->second;
}

UpstreamHealth::Record* UpstreamHealth::SyncAndFind(
    Context& context,
    const UpstreamId& upstream) {
  SyncWithCatalogue(context);
  const auto found = m_records.find(upstream);
  return found == m_records.end() ? nullptr : &found->second;
}

void UpstreamHealth::SyncWithCatalogue(Context& context) {
  const CatalogueIndex& catalogue = context.Catalogue();
  if (catalogue.Revision() == m_synced_revision) {
    return;
  }
  m_synced_revision = catalogue.Revision();
  absl::erase_if(m_records, [&](const auto& entry) {
    return catalogue.FindUpstream(entry.first) == nullptr;
  });
  for (const ServiceName& service : catalogue.Services()) {
    const ServiceEntry* entry = catalogue.FindService(service);
    // Upstreams in the first catalogue of their service are treated as warm,
    // since this instance has started, not the upstreams.
    const bool is_known_service =
        std::any_of(entry->upstreams.begin(), entry->upstreams.end(),
                    [&](const UpstreamDeclaration& upstream) {
                      return m_records.contains(upstream.id);
                    });
    for (const UpstreamDeclaration& upstream : entry->upstreams) {
      if (!m_records.contains(upstream.id)) {
        Record record;
        if (is_known_service) {
          record.ramp_start = context.Now();
        }
        record.last_used = context.Now();
        record.next_probe =
            context.Now() + Jittered(context, kFirstProbeInterval);
        record.probe_interval = kFirstProbeInterval;
        m_records.emplace(upstream.id, record);
      }
    }
  }
}

void UpstreamHealth::AddSample(Record& record, Duration service_time) {
  // A slowed upstream that answers fast is evaluated by new service times only,
  // since replacing half a window of old ones would take many trials.
  if (record.state == UpstreamState::kSlowed &&
      service_time < record.reference * kRecoveredFactor &&
      record.service_time > record.reference * kRecoveredFactor) {
    record.sample_count = 0;
    record.next_sample = 0;
  }
  record.samples[record.next_sample] = std::max(service_time, Duration(1));
  record.next_sample = (record.next_sample + 1) % kWindow;
  record.sample_count = std::min(record.sample_count + 1, kWindow);
  std::array<Duration, kWindow> sorted = record.samples;
  const auto end = sorted.begin() + record.sample_count;
  const auto middle = sorted.begin() + (record.sample_count - 1) / 2;
  std::nth_element(sorted.begin(), middle, end);
  record.service_time = *middle;
}

void UpstreamHealth::UpdateSlowed(Context& context,
                                  const UpstreamId& upstream,
                                  Record& record) {
  if (!IsAvailable(record.state)) {
    return;
  }
  record.reference = MedianOfService(context, upstream);
  if (record.reference == Duration(0) ||
      record.sample_count < kMinimumSamples) {
    if (record.state == UpstreamState::kSlowed) {
      record.next_trial = context.Now() + kConfirmInterval;
    }
    return;
  }
  const bool slow = record.service_time > record.reference * kSlowedFactor;
  const bool fast = record.service_time < record.reference * kRecoveredFactor;
  if (record.state == UpstreamState::kServing && slow) {
    Enter(context, record, UpstreamState::kSlowed);
    RecordSlowed(context, upstream, record);
    record.trial_interval = kFirstTrialInterval;
    record.next_trial = context.Now() + record.trial_interval;
  } else if (record.state == UpstreamState::kSlowed && fast) {
    Enter(context, record, UpstreamState::kServing);
    RecordSlowed(context, upstream, record);
  } else if (record.state == UpstreamState::kSlowed &&
             context.Now() >= record.next_trial) {
    // Earlier attempts that are still in flight aren't trials and delay none.
    record.next_trial = context.Now() + record.trial_interval;
    record.trial_interval =
        std::min(record.trial_interval * 2, kLastTrialInterval);
  }
}

Duration UpstreamHealth::MedianOfService(const Context& context,
                                         const UpstreamId& upstream) const {
  const UpstreamRecord* declared = context.Catalogue().FindUpstream(upstream);
  std::vector<Duration> times;
  for (const UpstreamId& other :
       context.Catalogue().UpstreamsIn(declared->service, declared->region)) {
    const Record* record = Find(other);
    if (record != nullptr && record->sample_count >= kMinimumSamples) {
      times.push_back(record->service_time);
    }
  }
  if (times.empty()) {
    return Duration(0);
  }
  const auto middle = times.begin() + (times.size() - 1) / 2;
  std::nth_element(times.begin(), middle, times.end());
  return *middle;
}

void UpstreamHealth::RecordFailure(Context& context,
                                   const UpstreamId& upstream,
                                   Record& record) {
  ++record.failures;
  if (IsAvailable(record.state)) {
    record.next_probe =
        std::min(record.next_probe, context.Now() + kFirstProbeInterval);
  }
  if (record.failures >= kFailuresUntilDown) {
    MarkDown(context, upstream, record);
  }
}

void UpstreamHealth::MarkDown(Context& context,
                              const UpstreamId& upstream,
                              Record& record) {
  record.healthy_probes = 0;
  if (record.state != UpstreamState::kDown) {
    Enter(context, record, UpstreamState::kDown);
    AddNotice(upstream, UpstreamState::kDown);
  }
}

void UpstreamHealth::Recover(Context& context, Record& record) {
  record.state = UpstreamState::kServing;
  record.since = context.Now();
  record.failures = 0;
  record.sample_count = 0;
  record.next_sample = 0;
  record.service_time = Duration(0);
  record.ramp_start = context.Now();
  record.last_used = context.Now();
}

void UpstreamHealth::RecordSlowed(Context& context,
                                  const UpstreamId& upstream,
                                  const Record& record) {
  // Changes that go to all peers are recorded where the notices are sent.
  context.Record(
      "upstream_state", upstream.Text(),
      {{"state", std::string(ToString(record.state))},
       {"service_time_us", std::to_string(record.service_time.count())},
       {"median_us", std::to_string(record.reference.count())}});
}

void UpstreamHealth::Enter(Context& context,
                           Record& record,
                           UpstreamState state) {
  record.state = state;
  record.since = context.Now();
  record.healthy_probes = 0;
  record.next_probe = context.Now() + Jittered(context, record.probe_interval);
}

void UpstreamHealth::AddNotice(const UpstreamId& upstream,
                               UpstreamState state) {
  if (m_notices.size() < kMaximumNotices) {
    m_notices.push_back({upstream, state});
  }
}

bool UpstreamHealth::IsProbeDue(const Context& context,
                                const Record& record) const {
  const MonotonicTime now = context.Now();
  if (record.probe_sent && now - *record.probe_sent < kProbeTimeout) {
    return false;
  }
  if (now < record.next_probe) {
    return false;
  }
  return !IsAvailable(record.state) || record.failures > 0 ||
         m_settings.policy == RoutingPolicy::kTwoChoicesReported ||
         now - record.last_used >= UnusedProbeInterval(record);
}

Duration UpstreamHealth::UnusedProbeInterval(const Record& record) {
  return record.watched ? kWatchedProbeInterval : kUnusedProbeInterval;
}

void UpstreamHealth::Probe(Context& context,
                           const UpstreamId& upstream,
                           Record& record) const {
  const UpstreamRecord* declared = context.Catalogue().FindUpstream(upstream);
  context.Emit(ProbeUpstream{upstream, declared->declaration.address});
  record.probe_sent = context.Now();
  Duration interval = UnusedProbeInterval(record);
  if (m_settings.policy == RoutingPolicy::kTwoChoicesReported) {
    interval = kLoadReportInterval;
  } else if (!IsAvailable(record.state) || record.failures > 0) {
    record.probe_interval =
        std::min(record.probe_interval * 2, kLastProbeInterval);
    interval = record.probe_interval;
  }
  record.next_probe = context.Now() + Jittered(context, interval);
}

}  // namespace kumquatcove
