#include "tools/answer_reader.h"

namespace kumquatcove {

std::optional<HttpAnswer> AnswerReader::Take() {
  if (IsInvalid()) {
    return std::nullopt;
  }
  HttpAnswer answer;
  answer.status = static_cast<std::int32_t>(m_parser->get().result_int());
  answer.headers = m_buffer.TakeHeaders();
  answer.body = std::move(m_parser->get().body());
  return answer;
}

}  // namespace kumquatcove
