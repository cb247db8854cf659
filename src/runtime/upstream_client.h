#ifndef RUNTIME_UPSTREAM_CLIENT_H_
#define RUNTIME_UPSTREAM_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <absl/container/flat_hash_map.h>

#include "protocol/effect.h"
#include "runtime/event_sink.h"
#include "runtime/http_connection.h"
#include "runtime/io_thread.h"
#include "runtime/link_delays.h"
#include "runtime/platform_dialect.h"

namespace kumquatcove {

/**
 * Manages connections to upstreams and probes upstreams.
 *
 * The reducer decides on timeouts; the timeouts here only limit the lifetime of
 * connections that the reducer no longer tracks. Thread safety: all functions
 * but the constructor run on the IoThread.
 */
class UpstreamClient {
 public:
  /** Bytes of answers that are read at the same time, over all connections,
   * beyond the first kSmallAnswerBytes of each. */
  static constexpr std::size_t kMaxBufferedBytes = 24U << 20U;
  static constexpr std::size_t kSmallAnswerBytes = 64U << 10U;

  /** All references must outlive this object. */
  UpstreamClient(IoThread& io,
                 EventSink& events,
                 const LinkDelays& delays,
                 UpstreamDialect dialect);
  ~UpstreamClient();
  UpstreamClient(const UpstreamClient&) = delete;
  UpstreamClient& operator=(const UpstreamClient&) = delete;

  /** Executes effects of the reducer. */
  void Open(const OpenConnection& effect);
  void Send(SendUpstream effect);
  void Close(ConnectionId connection);
  void Probe(const ProbeUpstream& effect);

  /** Returns the number of connections, including those being opened. */
  std::size_t Connections() const { return m_connections.size(); }

 private:
  struct Connection {
    std::unique_ptr<HttpConnection> http;
    std::string address;
    Duration delay{0};
    /** Whether a request has been written and is still unanswered. */
    bool written = false;
    /** Id of the caller's send that the last request belongs to. */
    std::string attempt;
  };
  struct ProbeState;

  void OnOpened(ConnectionId connection, bool opened);
  /** Writes the request unless its `send_before` has passed. Reports the
   * connection as lost if it cannot be used. */
  void SendNow(SendUpstream effect);
  void OnAnswered(ConnectionId connection, std::optional<HttpResult> result);
  void ReportLost(ConnectionId connection);
  /** Runs work on a message of a connection, which is reported as lost after an
   * exception. Returns whether the work completed. */
  bool GuardConnection(ConnectionId connection,
                       const std::function<void()>& work);
  void RunAfter(Duration delay, std::function<void()> work);
  void FinishProbe(std::uint64_t probe);
  void OnHealth(std::uint64_t probe, const std::optional<HttpResult>& result);

  IoThread& m_io;
  EventSink& m_events;
  const LinkDelays& m_delays;
  UpstreamDialect m_dialect;
  std::shared_ptr<ByteBudget> m_answer_budget =
      std::make_shared<ByteBudget>(kMaxBufferedBytes, kSmallAnswerBytes);
  absl::flat_hash_map<ConnectionId, Connection> m_connections;
  absl::flat_hash_map<std::uint64_t, std::unique_ptr<ProbeState>> m_probes;
  std::uint64_t m_probe_count = 0;
};

}  // namespace kumquatcove

#endif  // RUNTIME_UPSTREAM_CLIENT_H_
