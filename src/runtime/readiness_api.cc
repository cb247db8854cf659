#include "runtime/readiness_api.h"

#include <cassert>

#include "runtime/http_fields.h"

namespace kumquatcove {

namespace {

constexpr std::int32_t kOk = 200;
constexpr std::int32_t kUnavailable = 503;

}  // namespace

void ReadinessApi::OnRequest(ServedRequest request) {
  assert(m_server != nullptr);
  m_server->Answer(request.exchange,
                   m_ready ? MakeJsonAnswer(kOk, "{}")
                           : MakeErrorAnswer(kUnavailable, "not ready"));
}

void ReadinessApi::OnClientDisconnected(ExchangeId /*exchange*/) {}

HttpAnswer ReadinessApi::OnMalformed(std::int32_t status,
                                     std::string_view problem) {
  return MakeErrorAnswer(status, problem);
}

}  // namespace kumquatcove
