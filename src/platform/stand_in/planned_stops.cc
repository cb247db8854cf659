#include "platform/stand_in/planned_stops.h"

#include <csignal>
#include <thread>
#include <utility>
#include <vector>

#include <absl/strings/str_cat.h>

#include "emulator/steady_clock.h"
#include "runtime/log_line.h"

namespace kumquatcove::stand_in {
namespace {

constexpr Duration kTick = Milliseconds(5);
constexpr int kSeries = 2;

// The first stops of the series begin within this time.
constexpr std::int64_t kMaxSeriesDelayMs = 1'500;
// Between two stops of a series.
constexpr std::int64_t kMinStepMs = 300;
constexpr std::int64_t kMaxStepMs = 2'500;
// From the end of a process to its start.
constexpr std::int64_t kMinStartDelayMs = 50;
constexpr std::int64_t kMaxStartDelayMs = 800;

constexpr double kRepeatShare = 0.4;
constexpr std::uint64_t kMaxRepeats = 2;
// Repeated signals come over the whole grace time.
constexpr std::int64_t kMinRepeatMs = 20;
constexpr std::int64_t kMaxRepeatMs = 5'500;

constexpr double kFrozenShare = 0.15;
constexpr std::int64_t kMinFreezeMs = 100;
constexpr std::int64_t kMaxFreezeMs = 600;

constexpr double kEarlyShare = 0.2;
constexpr std::int64_t kMaxEarlyMs = 400;
// A process may not have installed its signal handlers before this time.
constexpr Duration kStartTime = Milliseconds(500);

constexpr int kReloads = 3;
constexpr int kConfigurations = 2;
constexpr std::int64_t kChangesMs = 12'000;

}  // namespace

PlannedStops::PlannedStops(SoakInstances& instances,
                           IoThread& io,
                           SoakLedger& ledger,
                           std::function<void()> publish,
                           PlannedStopsSettings settings,
                           std::uint64_t seed)
    : m_instances(instances),
      m_io(io),
      m_ledger(ledger),
      m_publish(std::move(publish)),
      m_settings(settings),
      m_random(seed) {}

Duration PlannedStops::Draw(std::int64_t least_ms, std::int64_t most_ms) {
  return Milliseconds(least_ms +
                      static_cast<std::int64_t>(m_random.NextBelow(
                          static_cast<std::uint64_t>(most_ms - least_ms))));
}

void PlannedStops::After(Duration delay, std::function<void()> event) {
  m_events.emplace(emulator::ReadMonotonicClock() + delay, std::move(event));
}

void PlannedStops::Play() {
  m_states.clear();
  for (const std::string& name : m_instances.Names()) {
    m_states[name] = {};
  }
  for (int series = 0; series < kSeries; ++series) {
    DrawSeries();
  }
  if (m_settings.changes) {
    DrawChanges();
  }
  bool is_stopping = true;
  while (is_stopping || !m_events.empty()) {
    while (!m_events.empty() &&
           m_events.begin()->first <= emulator::ReadMonotonicClock()) {
      const std::function<void()> event = std::move(m_events.begin()->second);
      m_events.erase(m_events.begin());
      event();
    }
    is_stopping = false;
    for (const auto& [name, state] : m_states) {
      Watch(name);
      is_stopping = is_stopping || state.terminated;
    }
    std::this_thread::sleep_for(kTick);
  }
  m_instances.WaitUntilAllReady();
}

void PlannedStops::DrawSeries() {
  std::vector<std::string> names = m_instances.Names();
  for (std::size_t left = names.size(); left > 1; --left) {
    std::swap(names[left - 1], names[m_random.NextBelow(left)]);
  }
  Duration delay = Draw(0, kMaxSeriesDelayMs);
  for (const std::string& name : names) {
    After(delay, [this, name] { Stop(name); });
    delay += Draw(kMinStepMs, kMaxStepMs);
  }
}

void PlannedStops::DrawChanges() {
  const std::vector<std::string> names = m_instances.Names();
  for (int i = 0; i < kReloads; ++i) {
    const std::string& name = names[m_random.NextBelow(names.size())];
    After(Draw(0, kChangesMs), [this, name] { Reload(name); });
  }
  for (int i = 0; i < kConfigurations; ++i) {
    After(Draw(0, kChangesMs), [this] { RunAndWait(m_io, m_publish); });
  }
}

void PlannedStops::Stop(const std::string& name) {
  // All draws come first, so that they don't depend on the processes' times.
  const bool freezes = Chance(kFrozenShare);
  const Duration freeze_time = Draw(kMinFreezeMs, kMaxFreezeMs);
  const Duration thaw_time = freeze_time + Draw(kMinFreezeMs, kMaxFreezeMs);
  std::vector<Duration> repeats(
      Chance(kRepeatShare) ? 1 + m_random.NextBelow(kMaxRepeats) : 0);
  for (Duration& delay : repeats) {
    delay = Draw(kMinRepeatMs, kMaxRepeatMs);
  }
  Duration delay(0);
  if (m_settings.awkward_times && freezes) {
    Freeze(name);
    After(thaw_time, [this, name] { Thaw(name); });
    delay = freeze_time;
  }
  After(delay, [this, name] { Terminate(name); });
  if (m_settings.repeated_signals) {
    for (const Duration repeat : repeats) {
      After(delay + repeat, [this, name] {
        // It may have ended and run again by now.
        if (m_states[name].terminated) {
          Terminate(name);
        }
      });
    }
  }
}

void PlannedStops::Terminate(const std::string& name) {
  State& state = m_states[name];
  if (state.is_gone || (state.terminated && !m_settings.repeated_signals)) {
    return;
  }
  if (!state.terminated) {
    state.terminated = emulator::ReadMonotonicClock();
  }
  m_instances.Signal(name, InstanceSignal::kTerm);
}

void PlannedStops::Freeze(const std::string& name) {
  State& state = m_states[name];
  if (!state.is_gone && !state.terminated && !state.frozen) {
    state.frozen = emulator::ReadMonotonicClock();
    state.was_frozen = true;
    m_instances.Signal(name, InstanceSignal::kStop);
  }
}

void PlannedStops::Thaw(const std::string& name) {
  State& state = m_states[name];
  const std::optional<MonotonicTime> begin =
      std::exchange(state.frozen, std::nullopt);
  if (!begin) {
    return;
  }
  m_instances.Signal(name, InstanceSignal::kCont);
  RunAndWait(m_io, [&] {
    const MonotonicTime end = emulator::ReadMonotonicClock();
    m_ledger.OnDisturbanceAt(SoakInstances::CallerAddress(m_instances.At(name)),
                             *begin, end);
  });
}

void PlannedStops::Reload(const std::string& name) {
  const State& state = m_states[name];
  // Before a process has installed its handlers, SIGHUP ends it.
  if (!state.is_gone &&
      emulator::ReadMonotonicClock() - state.started > kStartTime) {
    m_instances.Signal(name, InstanceSignal::kHup);
  }
}

void PlannedStops::Watch(const std::string& name) {
  State& state = m_states[name];
  if (state.is_gone) {
    return;
  }
  if (!m_instances.At(name).process->IsRunning()) {
    CheckEnd(name);
    OnEnded(name);
    return;
  }
  if (state.terminated && emulator::ReadMonotonicClock() >=
                              *state.terminated + SoakLedger::kGrace) {
    // A process that was frozen learns of its signal late.
    if (!state.was_frozen) {
      m_instances.Report(
          absl::StrCat("instance ", name, " still runs after its grace time"));
    }
    m_instances.Signal(name, InstanceSignal::kKill);
    OnEnded(name);
  }
}

void PlannedStops::CheckEnd(const std::string& name) {
  const State& state = m_states[name];
  if (!state.terminated) {
    m_instances.Report("instance " + name + " ended by itself");
    return;
  }
  const int code = m_instances.At(name).process->ExitCode();
  const bool is_early = *state.terminated - state.started < kStartTime;
  if (code != 0 && !(is_early && code == SIGTERM)) {
    m_instances.Report(absl::StrCat(
        "instance ", name, " ended with ", code, " ",
        (emulator::ReadMonotonicClock() - *state.terminated).count() / 1000,
        " ms after SIGTERM"));
  }
}

void PlannedStops::OnEnded(const std::string& name) {
  m_instances.NoteEnd(name);
  State& state = m_states[name];
  state = {};
  state.is_gone = true;
  After(Draw(kMinStartDelayMs, kMaxStartDelayMs),
        [this, name] { Start(name); });
}

void PlannedStops::Start(const std::string& name) {
  State& state = m_states[name];
  state.is_gone = false;
  state.started = emulator::ReadMonotonicClock();
  m_instances.Start(name);
  if (m_settings.awkward_times && Chance(kEarlyShare)) {
    After(Draw(0, kMaxEarlyMs), [this, name] { Terminate(name); });
  }
}

}  // namespace kumquatcove::stand_in
