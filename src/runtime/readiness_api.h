#ifndef RUNTIME_READINESS_API_H_
#define RUNTIME_READINESS_API_H_

#include "protocol/effect.h"
#include "runtime/http_handler.h"
#include "runtime/request_server.h"

namespace kumquatcove {

/**
 * Reports to the platform whether this instance accepts requests: answers any
 * request with status 200 or 503.
 *
 * Thread safety: all functions run on the IoThread.
 */
class ReadinessApi : public HttpHandler {
 public:
  /** Sets the server that sends the answers. Must be called once before
   * requests arrive. */
  void SetServer(RequestServer& server) { m_server = &server; }

  /** Executes an effect of the reducer. */
  void Execute(const SetReadiness& effect) { m_ready = effect.ready; }

  void OnRequest(ServedRequest request) override;
  void OnClientDisconnected(ExchangeId exchange) override;
  HttpAnswer OnMalformed(std::int32_t status,
                         std::string_view problem) override;

 private:
  RequestServer* m_server = nullptr;
  bool m_ready = false;
};

}  // namespace kumquatcove

#endif  // RUNTIME_READINESS_API_H_
