#ifndef EMULATOR_EMULATED_UPSTREAM_H_
#define EMULATOR_EMULATED_UPSTREAM_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/describe/class.hpp>
#include <boost/json/value.hpp>

#include "emulator/http_server.h"
#include "emulator/occupancy_meter.h"
#include "emulator/upstream_model.h"
#include "emulator/upstream_settings.h"

namespace kumquatcove::emulator {

/** A request that arrived although the upstream was draining. */
struct LateArrival {
  WallTime time;
  /** Milliseconds since the drain began. */
  std::int64_t after_drain_ms = 0;
};
BOOST_DESCRIBE_STRUCT(LateArrival, (), (time, after_drain_ms))

/** An idempotency key whose request ran more than once. */
struct RepeatedKey {
  std::string key;
  std::int64_t executions = 0;
};
BOOST_DESCRIBE_STRUCT(RepeatedKey, (), (key, executions))

/** What one upstream has done since the start of the process. */
struct UpstreamCounters {
  UpstreamId upstream;
  ServiceName service;
  std::int64_t arrived = 0;
  /** Requests that got a slot or crashed the upstream. */
  std::int64_t executed = 0;
  std::int64_t finished = 0;
  std::int64_t shed = 0;
  /** Dropped from the queue because their deadline had passed. */
  std::int64_t expired = 0;
  std::int64_t cancelled_waiting = 0;
  std::int64_t cancelled_running = 0;
  std::int64_t crashes = 0;
  std::int64_t probes = 0;
  std::int64_t max_in_flight = 0;
  std::int64_t max_running = 0;
  std::int64_t max_connections = 0;
  std::int64_t distinct_keys = 0;
  std::int64_t arrived_after_drain = 0;
  /** The newest late arrivals, oldest first. */
  std::vector<LateArrival> late_arrivals;
  std::vector<RepeatedKey> repeated_keys;
};
BOOST_DESCRIBE_STRUCT(UpstreamCounters,
                      (),
                      (upstream,
                       service,
                       arrived,
                       executed,
                       finished,
                       shed,
                       expired,
                       cancelled_waiting,
                       cancelled_running,
                       crashes,
                       probes,
                       max_in_flight,
                       max_running,
                       max_connections,
                       distinct_keys,
                       arrived_after_drain,
                       late_arrivals,
                       repeated_keys))

/**
 * One emulated upstream on a port of its own.
 *
 * Thread safety: none; used from the thread that runs the I/O context.
 */
class EmulatedUpstream {
 public:
  /** Throws std::invalid_argument if the address has the wrong form. */
  EmulatedUpstream(boost::asio::io_context& io,
                   const UpstreamSettings& settings,
                   std::uint64_t seed);

  /** Begins to serve. Throws boost::system::system_error if the port is taken.
   */
  void Open() { m_server.Open(); }

  /** Refuses new connections and ends after the requests that have arrived are
   * answered. */
  void Finish();
  bool HasConnections() const { return m_server.HasConnections(); }

  /**
   * Switches faults; members left out stay as they are.
   *
   * `cold` (bool), `silence_connections` (bool) and `restart_after_ms` (goes
   * down now and starts again that much later) act once. Returns the faults
   * that are switched on. Throws JsonCodecError.
   */
  boost::json::value ApplyFaults(const boost::json::value& changes);

  /** Counts busy slots by `meter` from now on. */
  void CountSlotsBy(std::shared_ptr<OccupancyMeter> meter);

  /** Returns the counters; `late_arrivals` holds at most kMaxLateArrivals. */
  UpstreamCounters Counters() const;

  /** Returns how often the request of each idempotency key was executed. */
  const std::unordered_map<std::string, std::int64_t>& ExecutionsByKey() const {
    return m_executions;
  }

  const UpstreamSettings& Settings() const { return m_settings; }
  std::uint16_t Port() const { return m_server.Port(); }

  static constexpr std::size_t kMaxLateArrivals = 1000;

 private:
  using Session = std::shared_ptr<HttpSession>;
  struct Pending {
    Session session;
    std::string key;
    bool is_running = false;
    OccupancyMeter::Slot slot;
  };

  void Handle(const Session& session);
  void HandleWork(const Session& session);
  void HandleControl(const Session& session, std::string_view path);
  void AnswerProbe(const Session& session, bool is_load);
  void CountArrival(MonotonicTime now);
  void CountExecution(const std::string& key);
  void Advance();
  void Take(const WorkStep& step);
  void Drop(std::uint64_t id);
  void Crash(const Session& session);
  void GoDown(std::optional<Duration> restart_after);
  void ComeUp();
  HttpAnswer Answer(const Session& session) const;
  HttpAnswer NotExecuted(std::string_view reason) const;
  void Send(const Session& session, HttpAnswer answer) const;

  boost::asio::io_context& m_io;
  UpstreamSettings m_settings;
  UpstreamModel m_model;
  std::shared_ptr<OccupancyMeter> m_meter;
  UpstreamFaults m_faults;
  UpstreamCounters m_counters;
  std::deque<LateArrival> m_late_arrivals;
  std::unordered_map<std::string, std::int64_t> m_executions;
  std::unordered_map<std::uint64_t, Pending> m_pending;
  std::uint64_t m_work_count = 0;
  MonotonicTime m_drain_start;
  boost::asio::steady_timer m_work_timer;
  boost::asio::steady_timer m_restart_timer;
  HttpServer m_server;
};

}  // namespace kumquatcove::emulator

#endif  // EMULATOR_EMULATED_UPSTREAM_H_
