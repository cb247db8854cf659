#include "runtime/io_thread.h"

#include <algorithm>
#include <cassert>
#include <chrono>
#include <cstdint>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace kumquatcove {

namespace {

using SteadyTime = std::chrono::steady_clock::time_point;

/** Work scheduled for a point in time. `number` orders work that is due at the
 * same time. */
struct Delayed {
  SteadyTime due;
  std::uint64_t number = 0;
  std::function<void()> work;
};

bool IsLater(const Delayed& left, const Delayed& right) {
  return left.due != right.due ? left.due > right.due
                               : left.number > right.number;
}

}  // namespace

class IoThread::Implementation {
 public:
  Implementation()
      : m_context(1), m_guard(m_context.get_executor()), m_timer(m_context) {}

  void Start() {
    m_thread = std::thread([this] { m_context.run(); });
  }

  void Stop() {
    m_context.stop();
    if (m_thread.joinable()) {
      m_thread.join();
    }
  }

  void AddDelayed(Delayed delayed) {
    delayed.number = m_count++;
    const bool first = m_delayed.empty() || delayed.due < m_delayed[0].due;
    m_delayed.push_back(std::move(delayed));
    std::push_heap(m_delayed.begin(), m_delayed.end(), IsLater);
    if (first) {
      ArmTimer();
    }
  }

  boost::asio::io_context& Context() { return m_context; }

 private:
  void ArmTimer() {
    if (m_delayed.empty()) {
      return;
    }
    m_timer.expires_at(m_delayed[0].due);
    m_timer.async_wait([this](const boost::system::error_code& error) {
      if (!error) {
        RunDue();
      }
    });
  }

  void RunDue() {
    while (!m_delayed.empty() &&
           m_delayed[0].due <= std::chrono::steady_clock::now()) {
      std::pop_heap(m_delayed.begin(), m_delayed.end(), IsLater);
      const Delayed delayed = std::move(m_delayed.back());
      m_delayed.pop_back();
      delayed.work();
    }
    ArmTimer();
  }

  boost::asio::io_context m_context;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      m_guard;
  boost::asio::steady_timer m_timer;
  std::vector<Delayed> m_delayed;
  std::uint64_t m_count = 0;
  std::thread m_thread;
};

IoThread::IoThread() : m_implementation(std::make_unique<Implementation>()) {}

IoThread::~IoThread() {
  Stop();
}

void IoThread::Start() {
  m_implementation->Start();
}

void IoThread::Stop() {
  m_implementation->Stop();
}

void IoThread::Post(std::function<void()> work) {
  boost::asio::post(m_implementation->Context(), std::move(work));
}

void IoThread::PostAfter(Duration delay, std::function<void()> work) {
  assert(delay >= Duration::zero());
  const SteadyTime due = std::chrono::steady_clock::now() + delay;
  Post([this, due, work = std::move(work)]() mutable {
    m_implementation->AddDelayed({due, 0, std::move(work)});
  });
}

boost::asio::io_context& IoThread::Context() {
  return m_implementation->Context();
}

}  // namespace kumquatcove
