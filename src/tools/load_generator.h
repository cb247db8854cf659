#ifndef TOOLS_LOAD_GENERATOR_H_
#define TOOLS_LOAD_GENERATOR_H_

#include <memory>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/random.h"
#include "tools/caller_connections.h"
#include "tools/entry_directory.h"
#include "tools/load_report.h"
#include "tools/load_settings.h"

namespace kumquatcove {

/**
 * Sends requests at random times that don't depend on the answers, and reports
 * on the answers.
 *
 * Thread safety: none.
 */
class LoadGenerator {
 public:
  /** Throws LoadSettingsError. */
  LoadGenerator(boost::asio::io_context& io, LoadSettings settings);
  ~LoadGenerator();
  LoadGenerator(const LoadGenerator&) = delete;
  LoadGenerator& operator=(const LoadGenerator&) = delete;

  /** Schedules the first requests. */
  void Start();

  /** Returns whether all requests have been sent and answered. */
  bool IsFinished() const { return m_all_sent && m_outstanding == 0; }

  /** Sends no further requests. */
  void Stop();

  const LoadReport& Report() const { return m_report; }
  const EntryDirectory& Directory() const { return m_directory; }
  /** Returns the length of the part that is reported. */
  Duration Measured() const { return m_settings.duration - m_settings.warm_up; }

 private:
  class Request;
  struct Source {
    ServiceLoad load;
    Random random;
    MonotonicTime next;
  };

  void ScheduleNext();
  void SendDue();
  void Send(Source& source, MonotonicTime intended);
  void Finish(const LoadResult& result, MonotonicTime intended);

  boost::asio::io_context& m_io;
  LoadSettings m_settings;
  std::vector<std::string> m_clients;
  CallerConnections m_connections;
  EntryDirectory m_directory;
  LoadReport m_report;
  std::vector<Source> m_sources;
  Random m_random;
  boost::asio::steady_timer m_timer;
  MonotonicTime m_start;
  bool m_is_stopped = false;
  bool m_all_sent = false;
  std::int32_t m_outstanding = 0;
  std::uint64_t m_request_count = 0;
};

}  // namespace kumquatcove

#endif  // TOOLS_LOAD_GENERATOR_H_
