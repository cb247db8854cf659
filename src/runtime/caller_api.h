#ifndef RUNTIME_CALLER_API_H_
#define RUNTIME_CALLER_API_H_

#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "protocol/effect.h"
#include "runtime/event_sink.h"
#include "runtime/http_handler.h"
#include "runtime/io_thread.h"
#include "runtime/metrics.h"
#include "runtime/platform_dialect.h"
#include "runtime/request_id_generator.h"
#include "runtime/request_server.h"

namespace kumquatcove {

/**
 * HTTP interface for callers: handles lookups and requests to be routed to
 * upstreams.
 *
 * Thread safety: all functions but the constructor run on the IoThread.
 */
class CallerApi : public HttpHandler {
 public:
  /** All references must outlive this object. `link_delay` is added in each
   * direction; it emulates network latency in tests. */
  CallerApi(IoThread& io,
            EventSink& events,
            Metrics& metrics,
            RequestIdGenerator& numbers,
            CallerDialect dialect,
            Duration link_delay);

  /** Adds a server that forwards its requests to this object and receives the
   * answers. Must be called before requests arrive. */
  void AddServer(RequestServer& server) { m_servers.push_back(&server); }

  void OnRequest(ServedRequest request) override;
  void OnClientDisconnected(ExchangeId exchange) override;
  HttpAnswer OnMalformed(std::int32_t status,
                         std::string_view problem) override;
  HttpAnswer OnFailed(ExchangeId exchange, std::string_view error) override;

  /** Returns the number of requests and lookups without an answer. */
  std::size_t PendingCount() const { return m_pending.size(); }

  /** Executes an effect of the reducer; unknown requests are ignored. */
  void Execute(AnswerCaller answer);
  void Execute(const AnswerLookup& answer);

 private:
  struct Pending {
    ExchangeId exchange;
    std::string service;
    MonotonicTime arrival;
    bool is_lookup = false;
  };

  void OnSteeredRequest(ServedRequest request);
  RequestId RegisterRequest(ExchangeId exchange,
                            std::string service,
                            bool is_lookup);
  /** Moves the pending request into `pending` and removes it. Returns false if
   * it is not pending. */
  bool RemovePending(RequestId request, Pending& pending);
  void WriteAnswer(const Pending& pending, AnswerCaller answer);
  void PostDelayed(Event event);
  void Answer(ExchangeId exchange, HttpAnswer answer);
  void AnswerNow(ExchangeId exchange, const HttpAnswer& answer);

  IoThread& m_io;
  EventSink& m_events;
  Metrics& m_metrics;
  RequestIdGenerator& m_request_ids;
  CallerDialect m_dialect;
  Duration m_link_delay;
  std::vector<RequestServer*> m_servers;
  absl::flat_hash_map<RequestId, Pending> m_pending;
  absl::flat_hash_map<std::uint64_t, RequestId> m_requests;
};

}  // namespace kumquatcove

#endif  // RUNTIME_CALLER_API_H_
