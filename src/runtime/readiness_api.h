#ifndef RUNTIME_READINESS_API_H_
#define RUNTIME_READINESS_API_H_

#include "protocol/effect.h"
#include "runtime/http_handler.h"
#include "runtime/request_server.h"

namespace kumquatcove {

/**
 * Tells the platform whether this instance takes requests: 200 or 503 for any
 * request.
 *
 * Thread safety: all functions run on the IoThread.
 */
class ReadinessApi : public HttpHandler {
 public:
  /** Sets the server that answers are given to; called once before requests
   * arrive. */
  void SetServer(RequestServer& server) { m_server = &server; }

  /** Carries out an effect of the reducer. */
  void Carry(const SetReadiness& effect) { m_ready = effect.ready; }

  void OnRequest(ServedRequest request) override;
  void OnGone(ExchangeId exchange) override;
  HttpAnswer OnMalformed(std::int32_t status,
                         std::string_view problem) override;

 private:
  RequestServer* m_server = nullptr;
  bool m_ready = false;
};

}  // namespace kumquatcove

#endif  // RUNTIME_READINESS_API_H_
