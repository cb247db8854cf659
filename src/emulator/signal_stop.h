#ifndef EMULATOR_SIGNAL_STOP_H_
#define EMULATOR_SIGNAL_STOP_H_

#include <functional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/clock_reading.h"

namespace kumquatcove::emulator {

/**
 * Stops an emulator process on SIGINT or SIGTERM, once its requests are
 * answered.
 *
 * The first signal calls `finish`. The I/O context is stopped as soon as
 * `is_finished` returns true, after kLimit, or at a second signal. Thread
 * safety: none; used from the thread that runs the I/O context.
 */
class SignalStop {
 public:
  SignalStop(boost::asio::io_context& io,
             std::function<void()> finish,
             std::function<bool()> is_finished);

  /** Covers the longest work of the models that are in use; requests that a
   * fault leaves without an answer would never end. */
  static constexpr Duration kLimit = Seconds(10);

 private:
  void WaitForSignal();
  void OnSignal();
  void StopWhenFinished();

  boost::asio::io_context& m_io;
  std::function<void()> m_finish;
  std::function<bool()> m_is_finished;
  boost::asio::signal_set m_signals;
  boost::asio::steady_timer m_timer;
  MonotonicTime m_end;
  bool m_is_stopping = false;
};

}  // namespace kumquatcove::emulator

#endif  // EMULATOR_SIGNAL_STOP_H_
