#ifndef PLATFORM_STAND_IN_SOAK_INSTANCES_H_
#define PLATFORM_STAND_IN_SOAK_INSTANCES_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/clock_reading.h"
#include "base/random.h"
#include "deployment/child_process.h"
#include "platform/stand_in/link_proxy.h"
#include "platform/stand_in/soak_ledger.h"
#include "runtime/io_thread.h"

namespace kumquatcove::stand_in {

/** Availability zones of a soak, each with its region. */
const std::map<std::string, std::string>& SoakZones();

/** Runs work on the thread and waits for its end; rethrows what it throws. */
void RunAndWait(IoThread& io, const std::function<void()>& work);

/** Which instances a soak runs. */
struct SoakInstancesSettings {
  std::string program;
  std::string template_file;
  std::string work_folder;
  int per_zone = 2;
  /** Network of the run, such as `127.3.4.`. */
  std::string network;
  boost::asio::ip::tcp::endpoint store;
};

/** An entry instance of a soak. */
struct SoakInstance {
  std::string zone;
  std::string ip;
  std::string settings_file;
  std::optional<ChildProcess> process;
  std::unique_ptr<LinkProxy> store_link;
  /** A fault of the present round concerns it. */
  bool in_use = false;
};

/**
 * The entry instances of a soak as processes on loopback, each with a link of
 * its own to the store. Their signals are noted in the ledger.
 *
 * Thread safety: none; not used on the thread of the stand-ins.
 */
class SoakInstances {
 public:
  /** Starts all and waits until they are ready. The references must outlive
   * this object. Throws DeploymentError. */
  SoakInstances(IoThread& io,
                SoakLedger& ledger,
                Random& random,
                SoakInstancesSettings settings);

  std::map<std::string, SoakInstance>& All() { return m_instances; }
  SoakInstance& At(const std::string& name) { return m_instances.at(name); }
  std::vector<std::string> Names() const;
  std::vector<std::string> LookupAddresses() const;
  /** Returns where callers reach an instance. */
  static std::string CallerAddress(const SoakInstance& instance);

  /** Starts an instance whose process has ended. */
  void Start(const std::string& name);
  /** Sends a signal, and notes it. kKill also waits for the end. Precondition:
   * it is neither kStarted nor kEnded. */
  void Signal(const std::string& name, InstanceSignal signal);
  /** Notes that the process of an instance has ended. */
  void NoteEnd(const std::string& name);
  /** Throws DeploymentError if an instance doesn't get ready. */
  void WaitUntilReady(const std::string& name);
  void WaitUntilAllReady();
  /** Waits for the end of an instance that was told to end; it must exit with 0
   * within `timeout`. */
  void CheckEnd(const std::string& name, Duration timeout = SoakLedger::kGrace);
  /** Reports instances that have ended by themselves, and starts them. */
  void CheckProcesses();

  /** Returns the status that an instance answers to a request; 0 if none. */
  std::int32_t Ask(const std::string& address,
                   const std::string& host,
                   const std::string& target);
  /** Notes something that must not happen. */
  void Report(const std::string& violation);

 private:
  std::string FillTemplate(const std::string& name,
                           const SoakInstance& instance) const;
  void Note(const std::string& name, InstanceSignal signal);

  IoThread& m_io;
  SoakLedger& m_ledger;
  Random& m_random;
  SoakInstancesSettings m_settings;
  std::map<std::string, SoakInstance> m_instances;
  int m_last_probe = 0;
};

}  // namespace kumquatcove::stand_in

#endif  // PLATFORM_STAND_IN_SOAK_INSTANCES_H_
