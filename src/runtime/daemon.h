#ifndef RUNTIME_DAEMON_H_
#define RUNTIME_DAEMON_H_

#include <functional>
#include <memory>

#include "runtime/event_sink.h"
#include "runtime/node_actor.h"
#include "runtime/platform_dialect.h"
#include "runtime/settings.h"

namespace kumquatcove {

/**
 * One entry instance: the reducer with all adapters.
 *
 * Thread safety: constructor, destructor and Run belong to one thread.
 */
class Daemon {
 public:
  /**
   * Binds all ports and starts.
   *
   * `reduce` decides on events. `incarnation` is the start time in wall
   * microseconds. `dialect` says how the platform speaks. Throws
   * std::runtime_error if a port can't be bound.
   */
  Daemon(const Settings& settings,
         std::int64_t incarnation,
         ReduceFunction reduce,
         const PlatformDialect& dialect);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /** Sets what reads the settings again; called before Run. The function runs
   * on the IoThread and may post events: at each SIGHUP, and once a second
   * without one, since the file may change unannounced. */
  using ReloadFunction = std::function<void(EventSink& events, bool signalled)>;
  void SetReload(ReloadFunction reload);

  /**
   * Runs until the reducer's effect Exit.
   *
   * The first SIGTERM or SIGINT asks the reducer to stop, a second one ends the
   * process at once. Returns the exit status.
   */
  int Run();

 private:
  class Implementation;
  std::unique_ptr<Implementation> m_implementation;
};

}  // namespace kumquatcove

#endif  // RUNTIME_DAEMON_H_
