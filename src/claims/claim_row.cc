#include "claims/claim_row.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "base/json_codec.h"

namespace kumquatcove {
namespace {

bool IsSafeInKey(char character) {
  return (character >= 'a' && character <= 'z') ||
         (character >= 'A' && character <= 'Z') ||
         (character >= '0' && character <= '9') || character == '-' ||
         character == '_' || character == '.';
}

std::string PercentEncode(const std::string& text) {
  static constexpr char kDigits[] = "0123456789ABCDEF";
  std::string encoded;
  for (const char character : text) {
    if (IsSafeInKey(character)) {
      encoded += character;
    } else {
      const auto byte = static_cast<unsigned char>(character);
      encoded += '%';
      encoded += kDigits[byte >> 4U];
      encoded += kDigits[byte & 15U];
    }
  }
  return encoded;
}

// JSON text must be UTF-8, but an answer may contain any bytes. Each byte is
// encoded as the code point with the same number.
std::string BytesToUtf8(const std::string& bytes) {
  std::string text;
  text.reserve(bytes.size());
  for (const char character : bytes) {
    const auto byte = static_cast<unsigned char>(character);
    if (byte < 0x80U) {
      text += character;
    } else {
      text += static_cast<char>(0xC0U | (byte >> 6U));
      text += static_cast<char>(0x80U | (byte & 0x3FU));
    }
  }
  return text;
}

std::string Utf8ToBytes(const std::string& text, const std::string& path) {
  std::string bytes;
  bytes.reserve(text.size());
  for (std::size_t i = 0; i < text.size(); ++i) {
    const auto byte = static_cast<unsigned char>(text[i]);
    if (byte < 0x80U) {
      bytes += text[i];
      continue;
    }
    if ((byte != 0xC2U && byte != 0xC3U) || i + 1 == text.size()) {
      detail::FailJson(path, "expected only code points below 256");
    }
    const auto next = static_cast<unsigned char>(text[++i]);
    bytes += static_cast<char>(((byte & 3U) << 6U) | (next & 0x3FU));
  }
  return bytes;
}

}  // namespace

std::string ClaimRowKey(const ClaimKey& key) {
  return "claims/" + PercentEncode(key.service.Text()) + "/" +
         PercentEncode(key.idempotency_key);
}

std::size_t AnswerBytes(const CallerAnswer& answer) {
  std::size_t bytes = answer.http.body.size();
  for (const HttpHeader& header : answer.http.headers) {
    bytes += header.name.size() + header.value.size();
  }
  return bytes;
}

CallerAnswer RecordedForm(const CallerAnswer& answer) {
  if (AnswerBytes(answer) <= kMaxRecordedAnswerBytes) {
    return answer;
  }
  return {answer.outcome,
          answer.reason,
          {answer.http.status, {{kBodyOmittedHeader, "true"}}, ""}};
}

std::string EncodeClaimRow(const ClaimRow& row) {
  ClaimRow encoded = row;
  if (encoded.answer) {
    HttpAnswer& http = encoded.answer->http;
    http.body = BytesToUtf8(http.body);
    for (HttpHeader& header : http.headers) {
      header = {BytesToUtf8(header.name), BytesToUtf8(header.value)};
    }
  }
  return boost::json::serialize(ToJson(encoded));
}

std::optional<ClaimRow> DecodeClaimRow(const std::string& text) {
  boost::system::error_code error;
  const boost::json::value json = boost::json::parse(text, error);
  if (error) {
    return std::nullopt;
  }
  try {
    auto row = FromJson<ClaimRow>(json);
    if (row.answer.has_value() != (row.state == ClaimRowState::kDone) ||
        row.era.has_value() != (row.state == ClaimRowState::kReleased)) {
      return std::nullopt;
    }
    if (row.answer) {
      HttpAnswer& http = row.answer->http;
      http.body = Utf8ToBytes(http.body, "$.answer.http.body");
      for (HttpHeader& header : http.headers) {
        header = {Utf8ToBytes(header.name, "$.answer.http.headers"),
                  Utf8ToBytes(header.value, "$.answer.http.headers")};
      }
    }
    return row;
  } catch (const JsonCodecError&) {
    return std::nullopt;
  }
}

}  // namespace kumquatcove
