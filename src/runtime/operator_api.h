#ifndef RUNTIME_OPERATOR_API_H_
#define RUNTIME_OPERATOR_API_H_

#include <string>
#include <string_view>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "protocol/effect.h"
#include "runtime/event_sink.h"
#include "runtime/http_handler.h"
#include "runtime/metrics.h"
#include "runtime/request_id_generator.h"
#include "runtime/request_server.h"
#include "runtime/settings.h"

namespace kumquatcove {

/** Compares two secrets in a time that depends only on their lengths. */
bool IsSameSecret(std::string_view left, std::string_view right);

/**
 * HTTP interface for operators: commands, which require a bearer token, and
 * health, status and metrics, which do not.
 *
 * Thread safety: all functions but the constructor run on the IoThread.
 */
class OperatorApi : public HttpHandler {
 public:
  /** The references must outlive this object. */
  OperatorApi(EventSink& events,
              Metrics& metrics,
              RequestIdGenerator& numbers,
              std::vector<OperatorSettings> operators);

  /** Sets the server that sends the answers. Must be called once before
   * requests arrive. */
  void SetServer(RequestServer& server) { m_server = &server; }

  void OnRequest(ServedRequest request) override;
  void OnClientDisconnected(ExchangeId exchange) override;
  HttpAnswer OnMalformed(std::int32_t status,
                         std::string_view problem) override;

  /** Executes an effect of the reducer; unknown requests are ignored. */
  void Execute(const AnswerOperator& answer);

 private:
  struct Pending {
    ExchangeId exchange;
    /** If set, only the document is sent instead of the whole answer. */
    bool document_only = false;
  };

  void OnGet(const ServedRequest& request);
  void OnCommand(const ServedRequest& request);
  /** Returns the operator whose bearer token the request contains, or nullptr.
   */
  const OperatorSettings* Authenticate(const HttpRequest& request) const;
  void Submit(ExchangeId exchange,
              OperatorName name,
              OperatorCommand command,
              bool document_only);

  EventSink& m_events;
  Metrics& m_metrics;
  RequestIdGenerator& m_request_ids;
  std::vector<OperatorSettings> m_operators;
  RequestServer* m_server = nullptr;
  absl::flat_hash_map<RequestId, Pending> m_pending;
};

}  // namespace kumquatcove

#endif  // RUNTIME_OPERATOR_API_H_
