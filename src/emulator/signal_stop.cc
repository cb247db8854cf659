#include "emulator/signal_stop.h"

#include <csignal>
#include <utility>

#include <glog/logging.h>

#include "emulator/steady_clock.h"

namespace kumquatcove::emulator {
namespace {

constexpr Duration kPollInterval = Milliseconds(5);

}  // namespace

SignalStop::SignalStop(boost::asio::io_context& io,
                       std::function<void()> finish,
                       std::function<bool()> is_finished)
    : m_io(io),
      m_finish(std::move(finish)),
      m_is_finished(std::move(is_finished)),
      m_signals(io, SIGINT, SIGTERM),
      m_timer(io) {
  WaitForSignal();
}

void SignalStop::WaitForSignal() {
  m_signals.async_wait([this](boost::system::error_code error, int) {
    if (!error) {
      OnSignal();
    }
  });
}

void SignalStop::OnSignal() {
  if (m_is_stopping) {
    LOG(WARNING) << "event=second_signal";
    m_io.stop();
    return;
  }
  LOG(INFO) << "event=stop_requested";
  m_is_stopping = true;
  m_end = ReadMonotonicClock() + kLimit;
  m_finish();
  WaitForSignal();
  StopWhenFinished();
}

void SignalStop::StopWhenFinished() {
  const bool finished = m_is_finished();
  if (finished || ReadMonotonicClock() >= m_end) {
    LOG_IF(WARNING, !finished) << "event=requests_cut";
    m_io.stop();
    return;
  }
  m_timer.expires_after(kPollInterval);
  m_timer.async_wait([this](boost::system::error_code error) {
    if (!error) {
      StopWhenFinished();
    }
  });
}

}  // namespace kumquatcove::emulator
