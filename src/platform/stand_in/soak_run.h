#ifndef PLATFORM_STAND_IN_SOAK_RUN_H_
#define PLATFORM_STAND_IN_SOAK_RUN_H_

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/clock_reading.h"
#include "base/enum_table.h"
#include "base/random.h"
#include "platform/stand_in/caller_stand_in.h"
#include "platform/stand_in/link_proxy.h"
#include "platform/stand_in/planned_stops.h"
#include "platform/stand_in/soak_instances.h"
#include "platform/stand_in/soak_ledger.h"
#include "platform/stand_in/upstream_stand_in.h"
#include "platform/stand_in/user_store_stand_in.h"
#include "runtime/io_thread.h"

namespace kumquatcove::stand_in {

/** Faults of a soak. */
enum class SoakFault {
  kInstanceKilled,
  kInstanceFrozen,
  kInstanceRestarted,
  kStoreDown,
  kStoreSilent,
  kStoreBusy,
  kStoreLosesReplies,
  kStoreForgets,
  kStoreLinkSilent,
  kStoreLinkCut,
  kStoreLinkOneWay,
  kStoreLinkDelayed,
  kStoreLinkReset,
  kUpstreamCrashed,
  kAddressReused,
  kUpstreamLinkSilent,
  kUpstreamLinkCut,
  kUpstreamLinkOneWay,
  kUpstreamLinkDelayed,
  kUpstreamLinkReset,
  kUpstreamRateLimited,
  kStoreRestored,
  kUploadsBrokenOff,
};

constexpr auto EnumNames(SoakFault) {
  using Row = EnumName<SoakFault>;
  return std::array{
      Row{SoakFault::kInstanceKilled, "instance killed"},
      Row{SoakFault::kInstanceFrozen, "instance frozen"},
      Row{SoakFault::kInstanceRestarted, "instance restarted"},
      Row{SoakFault::kStoreDown, "store down"},
      Row{SoakFault::kStoreSilent, "store silent"},
      Row{SoakFault::kStoreBusy, "store busy"},
      Row{SoakFault::kStoreLosesReplies, "store loses replies"},
      Row{SoakFault::kStoreForgets, "store forgets its history"},
      Row{SoakFault::kStoreLinkSilent, "store link silent"},
      Row{SoakFault::kStoreLinkCut, "store link cut"},
      Row{SoakFault::kStoreLinkOneWay, "store link cut one way"},
      Row{SoakFault::kStoreLinkDelayed, "store link delayed"},
      Row{SoakFault::kStoreLinkReset, "store link reset"},
      Row{SoakFault::kUpstreamCrashed, "upstream crashed"},
      Row{SoakFault::kAddressReused, "address reused"},
      Row{SoakFault::kUpstreamLinkSilent, "upstream link silent"},
      Row{SoakFault::kUpstreamLinkCut, "upstream link cut"},
      Row{SoakFault::kUpstreamLinkOneWay, "upstream link cut one way"},
      Row{SoakFault::kUpstreamLinkDelayed, "upstream link delayed"},
      Row{SoakFault::kUpstreamLinkReset, "upstream link reset"},
      Row{SoakFault::kUpstreamRateLimited, "upstream rate limited"},
      Row{SoakFault::kStoreRestored, "store restored"},
      Row{SoakFault::kUploadsBrokenOff, "uploads broken off"}};
}

/** Planned work of a soak. */
enum class SoakWork {
  kUpstreamReplaced,
  kConfigurationChanged,
  kInstanceRestarted,
  kUpstreamRateLimited,
};

constexpr auto EnumNames(SoakWork) {
  using Row = EnumName<SoakWork>;
  return std::array{
      Row{SoakWork::kUpstreamReplaced, "upstream replaced"},
      Row{SoakWork::kConfigurationChanged, "configuration changed"},
      Row{SoakWork::kInstanceRestarted, "instance restarted"},
      Row{SoakWork::kUpstreamRateLimited, "upstream rate limited"}};
}

/** What a soak plays. */
struct SoakSettings {
  /** The entry instance's program. */
  std::string program;
  /** The settings template that the platform fills. */
  std::string template_file;
  /** Folder for settings and logs; made if it doesn't exist. */
  std::string work_folder;
  std::uint64_t seed = 1;
  /** Rounds of planned stops, played before the faults. */
  int stop_rounds = 0;
  PlannedStopsSettings stops;
  /** Number of rounds: faults that overlap, then planned work. */
  int rounds = 6;
  /** Faults of each round; empty to draw them. */
  std::vector<std::vector<SoakFault>> script;
  int instances_per_zone = 2;
  double requests_per_second = 60;
};

/** What a soak has found. */
struct SoakReport {
  /** Broken rules, and processes that ended by themselves. */
  std::vector<std::string> violations;
  /** All requests, and those of the calm seconds at the end. */
  SoakShare all;
  SoakShare calm;
  std::size_t store_calls = 0;
  /** Requests that came late in a planned stop. */
  int late_sends = 0;
};

/** Reads a script: rounds separated by commas, the faults of one by `+`, each
 * by its name. Throws std::invalid_argument that names what isn't a fault. */
std::vector<std::vector<SoakFault>> ParseSoakScript(const std::string& text);

/**
 * Entry instances as processes on loopback, before stand-ins of the platform,
 * upstreams and callers, under faults drawn from a seed.
 *
 * Each round plays up to three faults that overlap, with planned work among
 * them in half of the rounds, lets them end, and then does planned work (an
 * upstream drained and replaced, a new configuration, an instance restarted, a
 * rate limit stated)
 * whose bounds are checked. Links to the store and to upstreams pass a proxy of
 * their own. Everything listens on addresses in 127.0.0.0/8 that no other run
 * uses at the same time. Thread safety: none.
 */
class SoakRun {
 public:
  /** Starts all. Throws DeploymentError if an instance doesn't get ready. */
  explicit SoakRun(SoakSettings settings);
  ~SoakRun();
  SoakRun(const SoakRun&) = delete;
  SoakRun& operator=(const SoakRun&) = delete;

  /** Plays all rounds, ends all instances in order and returns the report. */
  SoakReport Play();

 private:
  /** Runs work on the thread of the stand-ins and waits for its end. */
  void OnIoThread(const std::function<void()>& work) { RunAndWait(m_io, work); }
  void PublishConfiguration(int version);
  void AddUpstream(const std::string& service, const std::string& zone);
  std::vector<SoakFault> DrawFaults();
  void PlayFaults(const std::vector<SoakFault>& faults);
  /** Begins a fault and returns what ends it; nothing if all that it could
   * concern has another fault. */
  std::function<void()> Begin(SoakFault fault);
  std::function<void()> BeginStoreFault(StoreFault fault);
  /** The store is away, then back from a copy of some seconds ago; the operator
   * and the upstreams write their rows again. */
  std::function<void()> BeginStoreRestore();
  void RenewUpstreams();
  std::function<void()> BeginInstanceFault(SoakFault fault);
  std::function<void()> BeginStoreLinkFault(LinkFault fault);
  std::function<void()> BeginUpstreamFault(SoakFault fault);
  std::function<void()> BeginUpstreamLinkFault(LinkFault fault);
  /** Callers send uploads, and the upstreams of their service answer them in
   * part and reset the connection. */
  std::function<void()> BeginBrokenUploads();
  /** Returns an instance without a fault, or null; it has one from now on. */
  std::pair<const std::string, SoakInstance>* TakeInstance();
  /** The same for an upstream. */
  UpstreamStandIn* TakeUpstream();
  void PlayWork(SoakWork work);
  void DrainAndReplace();
  /** Lets an upstream state a rate limit, which must be kept. */
  void LimitRate();
  /** Publishes a configuration, which must be in force in time. */
  void ChangeConfiguration();
  /** Plays planned stops, which are no disturbance. */
  void PlayStops();
  void NoteDisturbance(const std::function<void()>& fault);
  /** Counts the times at which this process doesn't run, as when the whole
   * machine is suspended, as disturbances. `last` is the time of the previous
   * call. */
  void WatchForPauses(MonotonicTime last);

  SoakSettings m_settings;
  std::string m_network;
  Random m_random;
  SoakLedger m_ledger;
  int m_version = 0;
  int m_last_upstream = 0;
  int m_last_probe = 0;
  bool m_store_in_use = false;
  std::set<UpstreamStandIn*> m_upstreams_in_use;
  /** The stand-ins run on this thread, which is stopped before they go. */
  IoThread m_io;
  std::unique_ptr<UserStoreStandIn> m_store;
  std::vector<std::unique_ptr<UpstreamStandIn>> m_upstreams;
  /** Upstreams that have left; timers may still refer to them. */
  std::vector<std::unique_ptr<UpstreamStandIn>> m_retired;
  std::unique_ptr<SoakInstances> m_instances;
  std::unique_ptr<CallerStandIn> m_callers;
};

}  // namespace kumquatcove::stand_in

#endif  // PLATFORM_STAND_IN_SOAK_RUN_H_
