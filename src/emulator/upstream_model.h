#ifndef EMULATOR_UPSTREAM_MODEL_H_
#define EMULATOR_UPSTREAM_MODEL_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "base/clock_reading.h"
#include "base/random.h"
#include "emulator/upstream_settings.h"

namespace kumquatcove::emulator {

/** A request as the model sees it. */
struct UpstreamWork {
  std::uint64_t id = 0;
  bool is_long = false;
  /** Work that has not started by then is dropped. */
  std::optional<MonotonicTime> deadline;
};

enum class WorkChange { kStarted, kFinished, kExpired };

/** Something that happened to a piece of work. */
struct WorkStep {
  std::uint64_t id = 0;
  WorkChange change = WorkChange::kStarted;
  friend bool operator==(const WorkStep&, const WorkStep&) = default;
};

/**
 * Slots, first-in first-out queue and service times of one upstream.
 *
 * Does no I/O and reads no clock: the driver calls Advance() when NextFinish()
 * is due and after each arrival. Thread safety: none. Precondition of all
 * methods: times don't go back.
 */
class UpstreamModel {
 public:
  UpstreamModel(const UpstreamSettings& settings,
                std::uint64_t seed,
                MonotonicTime start);

  /** Adds work to the queue; returns false if it is shed because no slot and no
   * place in the queue is free. Advance() must follow. */
  bool Arrive(const UpstreamWork& work, MonotonicTime now);

  /** Drops work that waits and, if the settings say so, ends work that runs.
   * Returns whether there was such work. Advance() must follow. */
  bool Cancel(std::uint64_t id, MonotonicTime now);

  /** Finishes what is due and starts what waits; returns the steps in order. */
  std::vector<WorkStep> Advance(MonotonicTime now);

  /** Returns when the next piece of work finishes. */
  std::optional<MonotonicTime> NextFinish() const;

  /** Accounts for a probe, which makes the next request slower. */
  void AddProbe();

  /** Makes requests slower by the cold factor for the cold time from now on. */
  void BecomeCold(MonotonicTime now);

  void SetSlowFactor(double factor) { m_slow_factor = factor; }

  /** Forgets all work, as a crash does. */
  void Clear(MonotonicTime now);

  std::size_t Running() const { return m_running.size(); }
  std::size_t InFlight() const { return m_running.size() + m_queue.size(); }

  /** Returns the requests in flight as they were when the report lag began. */
  std::size_t ReportedInFlight(MonotonicTime now);

 private:
  struct Reading {
    MonotonicTime time;
    std::size_t in_flight = 0;
  };

  void StartWaiting(MonotonicTime now, std::vector<WorkStep>& steps);
  Duration DrawServiceTime(const UpstreamWork& work, MonotonicTime now);
  void Record(MonotonicTime now);

  UpstreamSettings m_settings;
  Random m_random;
  double m_slow_factor = 1;
  Duration m_probe_debt{0};
  MonotonicTime m_cold_until;
  std::deque<UpstreamWork> m_queue;
  std::multimap<MonotonicTime, std::uint64_t> m_running;
  /** Readings within the report lag and the last one before it. */
  std::deque<Reading> m_readings;
};

}  // namespace kumquatcove::emulator

#endif  // EMULATOR_UPSTREAM_MODEL_H_
