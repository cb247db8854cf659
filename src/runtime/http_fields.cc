#include "runtime/http_fields.h"

#include <algorithm>
#include <array>
#include <utility>

#include <absl/strings/ascii.h>
#include <absl/strings/str_split.h>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace kumquatcove {

namespace {

constexpr std::size_t kMaxHeaderBytes = 16'384;

char ToLower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

bool IsTokenCharacter(char c) {
  static constexpr std::string_view kSymbols = "!#$%&'*+-.^_`|~";
  return (c >= '0' && c <= '9') || (ToLower(c) >= 'a' && ToLower(c) <= 'z') ||
         kSymbols.find(c) != std::string_view::npos;
}

bool IsToken(std::string_view text) {
  return !text.empty() && text.size() <= kMaxHeaderBytes &&
         std::all_of(text.begin(), text.end(), IsTokenCharacter);
}

int HexValue(char c) {
  if (c >= '0' && c <= '9') {
    return c - '0';
  }
  const char lower = ToLower(c);
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

std::string DecodePercent(std::string_view text) {
  std::string result;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size() && HexValue(text[i + 1]) >= 0 &&
        HexValue(text[i + 2]) >= 0) {
      result +=
          static_cast<char>(HexValue(text[i + 1]) * 16 + HexValue(text[i + 2]));
      i += 2;
    } else {
      result += text[i] == '+' ? ' ' : text[i];
    }
  }
  return result;
}

}  // namespace

bool IsSameHeader(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](char a, char b) { return ToLower(a) == ToLower(b); });
}

std::string FindHeader(const std::vector<HttpHeader>& headers,
                       std::string_view name) {
  for (const HttpHeader& header : headers) {
    if (IsSameHeader(header.name, name)) {
      return header.value;
    }
  }
  return {};
}

bool IsConnectionHeader(std::string_view name) {
  static constexpr std::array<std::string_view, 11> kNames = {
      "connection",     "keep-alive", "proxy-connection",  "transfer-encoding",
      "content-length", "te",         "trailer",           "upgrade",
      "expect",         "host",       "proxy-authenticate"};
  return std::any_of(kNames.begin(), kNames.end(), [&](std::string_view known) {
    return IsSameHeader(name, known);
  });
}

void RemoveHeadersNamedInConnection(std::vector<HttpHeader>& headers) {
  std::vector<std::string> names;
  for (const HttpHeader& header : headers) {
    if (!IsSameHeader(header.name, "Connection")) {
      continue;
    }
    for (const absl::string_view name : absl::StrSplit(header.value, ',')) {
      names.emplace_back(absl::StripAsciiWhitespace(name));
    }
  }
  std::erase_if(headers, [&](const HttpHeader& header) {
    return std::any_of(names.begin(), names.end(),
                       [&](const std::string& name) {
                         return IsSameHeader(header.name, name);
                       });
  });
}

bool IsValidHeader(const HttpHeader& header) {
  return IsToken(header.name) && header.value.size() <= kMaxHeaderBytes &&
         std::none_of(header.value.begin(), header.value.end(), [](char c) {
           return (c >= '\0' && c < ' ' && c != '\t') || c == '\x7f';
         });
}

bool IsValidMethod(std::string_view method) {
  return IsToken(method);
}

bool IsValidTarget(std::string_view target) {
  return !target.empty() && target.size() <= kMaxHeaderBytes &&
         std::all_of(target.begin(), target.end(),
                     [](char c) { return c > ' ' && c < '\x7f'; });
}

std::string FindQueryParameter(std::string_view target, std::string_view name) {
  std::size_t position = target.find('?');
  while (position != std::string_view::npos) {
    const std::size_t end = target.find('&', position + 1);
    const std::string_view pair = target.substr(
        position + 1, end == std::string_view::npos ? end : end - position - 1);
    const std::size_t equals = pair.find('=');
    if (equals != std::string_view::npos && pair.substr(0, equals) == name) {
      return DecodePercent(pair.substr(equals + 1));
    }
    position = end;
  }
  return {};
}

std::string EscapeQuery(std::string_view text) {
  static constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string escaped;
  for (const char c : text) {
    const bool plain = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                       (c >= '0' && c <= '9') || c == '-' || c == '_' ||
                       c == '.' || c == '~';
    if (plain) {
      escaped += c;
    } else {
      const auto byte = static_cast<unsigned char>(c);
      escaped += '%';
      escaped += kDigits[byte >> 4U];
      escaped += kDigits[byte & 0xfU];
    }
  }
  return escaped;
}

std::string_view PathOfTarget(std::string_view target) {
  return target.substr(0, target.find('?'));
}

HttpAnswer MakeJsonAnswer(std::int32_t status, std::string body) {
  HttpAnswer answer;
  answer.status = status;
  answer.headers.push_back({"Content-Type", "application/json"});
  answer.body = std::move(body);
  return answer;
}

HttpAnswer MakeErrorAnswer(std::int32_t status, std::string_view text) {
  boost::json::object document;
  document["error"] = boost::json::string(text);
  return MakeJsonAnswer(status, boost::json::serialize(document));
}

}  // namespace kumquatcove
