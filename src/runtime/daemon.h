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
 * One entry instance: the reducer and all its adapters.
 *
 * Thread safety: the constructor, the destructor and Run must be called on the
 * same thread.
 */
class Daemon {
 public:
  /**
   * Binds all ports and starts the adapters.
   *
   * `reduce` handles events. `incarnation` is the start time in wall-clock
   * microseconds. `dialect` implements the protocol of the platform. Throws
   * std::runtime_error if a port cannot be bound.
   */
  Daemon(const Settings& settings,
         std::int64_t incarnation,
         ReduceFunction reduce,
         const PlatformDialect& dialect);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /** Sets the function that reloads the settings. Must be called before Run.
   * The function is called on the IoThread at each SIGHUP, and once a second
   * without one, since the file may change without a signal. It may post
   * events. */
  using ReloadFunction = std::function<void(EventSink& events, bool signalled)>;
  void SetReload(ReloadFunction reload);

  /**
   * Runs until the reducer returns the effect Exit.
   *
   * The first SIGTERM or SIGINT requests a shutdown from the reducer; a second
   * one terminates the process immediately. Returns the exit status.
   */
  int Run();

 private:
  class Implementation;
  std::unique_ptr<Implementation> m_implementation;
};

}  // namespace kumquatcove

#endif  // RUNTIME_DAEMON_H_
