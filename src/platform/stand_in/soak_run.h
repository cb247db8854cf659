#ifndef PLATFORM_STAND_IN_SOAK_RUN_H_
#define PLATFORM_STAND_IN_SOAK_RUN_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/clock_reading.h"
#include "base/enum_table.h"
#include "base/random.h"
#include "deployment/child_process.h"
#include "platform/stand_in/caller_stand_in.h"
#include "platform/stand_in/soak_ledger.h"
#include "platform/stand_in/upstream_stand_in.h"
#include "platform/stand_in/user_store_stand_in.h"
#include "runtime/io_thread.h"

namespace kumquatcove::stand_in {

/** Faults of a soak. */
enum class SoakFault {
  kInstanceKilled,
  kInstanceFrozen,
  kStoreDown,
  kStoreSilent,
  kStoreBusy,
  kStoreLosesReplies,
  kStoreForgets,
  kUpstreamCrashed,
};

constexpr auto EnumNames(SoakFault) {
  using Row = EnumName<SoakFault>;
  return std::array{Row{SoakFault::kInstanceKilled, "instance killed"},
                    Row{SoakFault::kInstanceFrozen, "instance frozen"},
                    Row{SoakFault::kStoreDown, "store down"},
                    Row{SoakFault::kStoreSilent, "store silent"},
                    Row{SoakFault::kStoreBusy, "store busy"},
                    Row{SoakFault::kStoreLosesReplies, "store loses replies"},
                    Row{SoakFault::kStoreForgets, "store forgets its history"},
                    Row{SoakFault::kUpstreamCrashed, "upstream crashed"}};
}

/** Planned work of a soak. */
enum class SoakWork {
  kUpstreamReplaced,
  kConfigurationChanged,
  kInstanceRestarted
};

constexpr auto EnumNames(SoakWork) {
  using Row = EnumName<SoakWork>;
  return std::array{
      Row{SoakWork::kUpstreamReplaced, "upstream replaced"},
      Row{SoakWork::kConfigurationChanged, "configuration changed"},
      Row{SoakWork::kInstanceRestarted, "instance restarted"}};
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
  /** Number of faults, each followed by planned work. */
  int rounds = 6;
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
};

/**
 * Entry instances as processes on loopback, before stand-ins of the platform,
 * upstreams and callers, under faults drawn from a seed.
 *
 * Each round plays one fault (an instance killed, frozen or stopped; the store
 * down, silent, busy, losing replies or forgetting; an upstream crashed), lets
 * it end, and then does planned work (an upstream drained and replaced, a new
 * configuration), whose bounds are checked. Everything listens on addresses in
 * 127.0.0.0/8 that no other run uses at the same time. Thread safety: none.
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
  struct Instance {
    std::string zone;
    std::string ip;
    std::string settings_file;
    std::optional<ChildProcess> process;
  };

  /** Runs work on the thread of the stand-ins and waits for its end. */
  void OnIoThread(const std::function<void()>& work);
  std::string FillTemplate(const std::string& name,
                           const Instance& instance) const;
  void StartInstance(const std::string& name);
  void WaitUntilReady(const std::string& name);
  /** Returns the status that an instance answers to a request; 0 if none. */
  std::int32_t Ask(const std::string& address,
                   const std::string& host,
                   const std::string& target);
  void PublishConfiguration(int version);
  void AddUpstream(const std::string& service, const std::string& zone);
  void PlayFault(SoakFault fault);
  void PlayStoreFault(StoreFault fault, Duration time);
  void PlayWork(SoakWork work);
  void DrainAndReplace();
  void ChangeConfiguration();
  /** Ends an instance in order; it must exit with 0 within its grace time. */
  void Stop(const std::string& name);
  void NoteDisturbance(const std::function<void()>& fault);
  /** Reports instances that have ended by themselves. */
  void CheckProcesses();
  std::string PickInstance();

  SoakSettings m_settings;
  std::string m_network;
  Random m_random;
  SoakLedger m_ledger;
  std::map<std::string, Instance> m_instances;
  int m_version = 0;
  int m_last_upstream = 0;
  int m_last_probe = 0;
  /** The stand-ins run on this thread, which is stopped before they go. */
  IoThread m_io;
  std::unique_ptr<UserStoreStandIn> m_store;
  std::vector<std::unique_ptr<UpstreamStandIn>> m_upstreams;
  /** Upstreams that have left; timers may still refer to them. */
  std::vector<std::unique_ptr<UpstreamStandIn>> m_retired;
  std::unique_ptr<CallerStandIn> m_callers;
};

}  // namespace kumquatcove::stand_in

#endif  // PLATFORM_STAND_IN_SOAK_RUN_H_
