#include "runtime/http_handler.h"

#include "runtime/http_fields.h"
#include "runtime/message_guard.h"

namespace kumquatcove {

namespace {

constexpr std::int32_t kInternalError = 500;

}  // namespace

HttpAnswer HttpHandler::OnFailed(ExchangeId exchange, std::string_view error) {
  ReportMessageFailure("exchange", std::to_string(exchange.number), error);
  return MakeErrorAnswer(kInternalError, "internal error");
}

}  // namespace kumquatcove
