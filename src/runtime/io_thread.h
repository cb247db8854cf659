#ifndef RUNTIME_IO_THREAD_H_
#define RUNTIME_IO_THREAD_H_

#include <functional>
#include <memory>

#include "base/clock_reading.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace kumquatcove {

/**
 * A thread that runs all sockets and timers of the HTTP adapters.
 *
 * Thread safety: Post and PostAfter may be called from any thread.
 */
class IoThread {
 public:
  IoThread();
  /** Stops the thread; pending work is dropped. */
  ~IoThread();
  IoThread(const IoThread&) = delete;
  IoThread& operator=(const IoThread&) = delete;

  /** Starts the thread. Precondition: called once. */
  void Start();
  /** Stops and joins the thread. Precondition: not called on the thread. */
  void Stop();

  /** Runs `work` on the thread after all previously posted work. */
  void Post(std::function<void()> work);

  /** Runs `work` on the thread after `delay`. Work that is due at the same time
   * runs in the order of the calls. */
  void PostAfter(Duration delay, std::function<void()> work);

  boost::asio::io_context& Context();

 private:
  class Implementation;
  std::unique_ptr<Implementation> m_implementation;
};

}  // namespace kumquatcove

#endif  // RUNTIME_IO_THREAD_H_
