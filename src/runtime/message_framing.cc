#include "runtime/message_framing.h"

#include <algorithm>
#include <cassert>
#include <optional>
#include <utility>

#include "runtime/http_fields.h"

namespace kumquatcove {

namespace {

constexpr std::string_view kHttp10 = "HTTP/1.0";
constexpr std::string_view kHttp11 = "HTTP/1.1";
constexpr std::int32_t kMinStatus = 100;
constexpr std::int32_t kSwitchingProtocols = 101;
constexpr std::int32_t kFirstFinalStatus = 200;
constexpr std::int32_t kNoContent = 204;
constexpr std::int32_t kNotModified = 304;
constexpr std::int32_t kMaxStatus = 599;
/** Larger lengths overflow signed numbers of 64 bits in some recipients. */
constexpr std::uint64_t kMaxLength = INT64_MAX;

bool IsControl(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return (byte < ' ' && c != '\t') || byte == 0x7f;
}

bool IsBlank(char c) {
  return c == ' ' || c == '\t';
}

bool IsDigit(char c) {
  return c >= '0' && c <= '9';
}

std::string_view TrimBlanks(std::string_view text) {
  while (!text.empty() && IsBlank(text.front())) {
    text.remove_prefix(1);
  }
  while (!text.empty() && IsBlank(text.back())) {
    text.remove_suffix(1);
  }
  return text;
}

int DigitValue(char c) {
  if (IsDigit(c)) {
    return c - '0';
  }
  const char lower = static_cast<char>(c | 0x20);
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : 16;
}

/** Reads a number of digits only that is at most kMaxLength. */
std::optional<std::uint64_t> ReadNumber(std::string_view text, int base) {
  std::uint64_t number = 0;
  for (const char c : text) {
    const int digit = DigitValue(c);
    if (digit >= base || number > (kMaxLength - digit) / base) {
      return std::nullopt;
    }
    number = number * base + digit;
  }
  return text.empty() ? std::nullopt : std::optional(number);
}

/** Returns whether `host` consists of bytes that occur in a host and port; it
 * may be empty (RFC 9112, 3.2). */
bool IsValidHost(std::string_view host) {
  static constexpr std::string_view kExcluded = "/?#@,\\\"<>";
  return std::all_of(host.begin(), host.end(), [](char c) {
    return c > ' ' && c < '\x7f' && kExcluded.find(c) == std::string_view::npos;
  });
}

/** Reads a chunk extension `;name[=value]` from the front of `text`, with the
 * blanks that RFC 9112, 7.1.1 requires recipients to accept. */
bool ReadChunkExtension(std::string_view& text) {
  const auto skip_blanks = [&] {
    while (!text.empty() && IsBlank(text.front())) {
      text.remove_prefix(1);
    }
  };
  const auto read_token = [&] {
    std::size_t size = 0;
    while (size < text.size() && IsValidMethod(text.substr(size, 1))) {
      ++size;
    }
    text.remove_prefix(size);
    return size > 0;
  };
  const auto read_quoted = [&] {
    std::size_t i = 1;
    while (i < text.size() && text[i] != '"') {
      i += text[i] == '\\' ? 2 : 1;
    }
    if (i >= text.size()) {
      return false;
    }
    text.remove_prefix(i + 1);
    return true;
  };
  skip_blanks();
  if (text.empty() || text.front() != ';') {
    return false;
  }
  text.remove_prefix(1);
  skip_blanks();
  if (!read_token()) {
    return false;
  }
  const std::string_view after_name = text;
  skip_blanks();
  if (text.empty() || text.front() != '=') {
    text = after_name;
    return true;
  }
  text.remove_prefix(1);
  skip_blanks();
  return !text.empty() && text.front() == '"' ? read_quoted() : read_token();
}

/** Headers whose values all recipients must agree on; a trailer can't state
 * them (RFC 9110, 6.5.1). */
bool IsForbiddenTrailer(std::string_view name) {
  static constexpr std::array<std::string_view, 3> kNames = {
      "content-length", "transfer-encoding", "host"};
  return std::any_of(kNames.begin(), kNames.end(), [&](std::string_view known) {
    return IsSameHeader(name, known);
  });
}

}  // namespace

void MessageFraming::Begin() {
  m_problem = FramingProblem::kNone;
  m_part = Part::kStartLine;
  m_is_http10 = false;
  m_close = false;
  m_keep_alive = false;
  m_method.clear();
  m_status = 0;
  m_headers.clear();
  m_line.clear();
  m_after_carriage_return = false;
  m_left = 0;
  m_size = 0;
}

void MessageFraming::BeginRequest() {
  Begin();
  m_is_request = true;
  m_to_head = false;
}

void MessageFraming::BeginAnswer(bool to_head) {
  Begin();
  m_is_request = false;
  m_to_head = to_head;
}

void MessageFraming::Fail(FramingProblem problem) {
  m_problem = problem;
  m_part = Part::kInvalid;
}

std::size_t MessageFraming::Add(std::string_view bytes) {
  std::size_t used = 0;
  while (used < bytes.size() && m_part != Part::kComplete &&
         m_part != Part::kInvalid) {
    const std::string_view rest = bytes.substr(used);
    const bool is_data = m_part == Part::kBody || m_part == Part::kChunkData ||
                         m_part == Part::kUntilClose;
    used += is_data ? AddData(rest) : AddLine(rest);
  }
  m_size += used;
  return used;
}

std::size_t MessageFraming::AddData(std::string_view bytes) {
  if (m_part == Part::kUntilClose) {
    return bytes.size();
  }
  const auto size =
      static_cast<std::size_t>(std::min<std::uint64_t>(m_left, bytes.size()));
  m_left -= size;
  if (m_left == 0) {
    m_part = m_part == Part::kBody ? Part::kComplete : Part::kChunkEnd;
  }
  return size;
}

std::size_t MessageFraming::AddLine(std::string_view bytes) {
  std::size_t used = 0;
  for (const char c : bytes) {
    ++used;
    if (m_after_carriage_return) {
      m_after_carriage_return = false;
      if (c != '\n') {
        Fail(FramingProblem::kBareCarriageReturn);
        return used;
      }
      const std::string line = std::exchange(m_line, {});
      OnLine(line);
      return used;
    }
    if (c == '\r') {
      m_after_carriage_return = true;
    } else if (c == '\n') {
      Fail(FramingProblem::kBareLineFeed);
      return used;
    } else if (IsControl(c)) {
      Fail(FramingProblem::kControlByte);
      return used;
    } else if (m_part == Part::kChunkEnd) {
      Fail(FramingProblem::kChunkEnd);
      return used;
    } else {
      m_line += c;
    }
  }
  return used;
}

void MessageFraming::OnLine(std::string_view line) {
  switch (m_part) {
    case Part::kStartLine:
      m_part = Part::kHeaderLine;
      if (m_is_request) {
        OnRequestLine(line);
      } else {
        OnStatusLine(line);
      }
      break;
    case Part::kHeaderLine:
      OnHeaderLine(line);
      break;
    case Part::kChunkLine:
      OnChunkLine(line);
      break;
    case Part::kChunkEnd:
      m_part = Part::kChunkLine;
      break;
    case Part::kTrailerLine:
      OnTrailerLine(line);
      break;
    case Part::kBody:
    case Part::kChunkData:
    case Part::kUntilClose:
    case Part::kComplete:
    case Part::kInvalid:
      assert(false);
      break;
  }
}

bool MessageFraming::ReadVersion(std::string_view version) {
  m_is_http10 = version == kHttp10;
  if (!m_is_http10 && version != kHttp11) {
    Fail(FramingProblem::kVersion);
    return false;
  }
  return true;
}

void MessageFraming::OnRequestLine(std::string_view line) {
  const std::size_t first = line.find(' ');
  const std::size_t last = line.rfind(' ');
  if (first == std::string_view::npos || first == last ||
      !IsValidMethod(line.substr(0, first))) {
    Fail(FramingProblem::kStartLine);
    return;
  }
  if (!IsValidTarget(line.substr(first + 1, last - first - 1))) {
    Fail(FramingProblem::kTarget);
    return;
  }
  if (!ReadVersion(line.substr(last + 1))) {
    return;
  }
  m_method = line.substr(0, first);
  // The answer to CONNECT has no end that is stated in it.
  if (m_method == "CONNECT") {
    Fail(FramingProblem::kMethod);
  }
}

void MessageFraming::OnStatusLine(std::string_view line) {
  constexpr std::size_t kStatusDigits = 3;
  constexpr std::size_t kStatusBegin = kHttp11.size() + 1;
  constexpr std::size_t kStatusEnd = kStatusBegin + kStatusDigits;
  if (line.size() <= kStatusEnd || line[kHttp11.size()] != ' ' ||
      line[kStatusEnd] != ' ') {
    Fail(FramingProblem::kStartLine);
    return;
  }
  if (!ReadVersion(line.substr(0, kHttp11.size()))) {
    return;
  }
  const auto status = ReadNumber(line.substr(kStatusBegin, kStatusDigits), 10);
  m_status = static_cast<std::int32_t>(status.value_or(0));
  // No request asks for another protocol, whose bytes would follow.
  if (m_status < kMinStatus || m_status > kMaxStatus ||
      m_status == kSwitchingProtocols) {
    Fail(FramingProblem::kStatus);
  }
}

bool MessageFraming::ReadField(std::string_view line, HttpHeader& field) {
  if (IsBlank(line.front())) {
    Fail(FramingProblem::kLineFolding);
    return false;
  }
  const std::size_t colon = line.find(':');
  field.name = line.substr(0, colon);
  if (colon == std::string_view::npos || !IsValidMethod(field.name)) {
    Fail(FramingProblem::kFieldName);
    return false;
  }
  field.value = TrimBlanks(line.substr(colon + 1));
  return true;
}

void MessageFraming::OnHeaderLine(std::string_view line) {
  if (line.empty()) {
    OnHeadEnd();
    return;
  }
  HttpHeader field;
  if (ReadField(line, field)) {
    m_headers.push_back(std::move(field));
  }
}

void MessageFraming::OnTrailerLine(std::string_view line) {
  if (line.empty()) {
    m_part = Part::kComplete;
    return;
  }
  HttpHeader field;
  if (ReadField(line, field) && IsForbiddenTrailer(field.name)) {
    Fail(FramingProblem::kTrailer);
  }
}

void MessageFraming::OnHeadEnd() {
  int hosts = 0;
  int lengths = 0;
  int codings = 0;
  bool valid_host = true;
  bool chunked = false;
  std::optional<std::uint64_t> length;
  for (const HttpHeader& header : m_headers) {
    if (IsSameHeader(header.name, "Host")) {
      ++hosts;
      valid_host = IsValidHost(header.value);
    } else if (IsSameHeader(header.name, "Content-Length")) {
      ++lengths;
      length = ReadNumber(header.value, 10);
    } else if (IsSameHeader(header.name, "Transfer-Encoding")) {
      ++codings;
      chunked = IsSameHeader(header.value, "chunked");
    } else if (IsSameHeader(header.name, "Connection")) {
      OnConnectionOptions(header.value);
    }
  }
  if (m_is_request &&
      (hosts > 1 || !valid_host || (hosts == 0 && !m_is_http10))) {
    Fail(FramingProblem::kHost);
    return;
  }
  if (codings > 0 && lengths > 0) {
    Fail(FramingProblem::kLengthAndCoding);
    return;
  }
  if (codings > 1 || (codings == 1 && (!chunked || m_is_http10))) {
    Fail(FramingProblem::kTransferEncoding);
    return;
  }
  if (lengths > 1 || (lengths == 1 && !length)) {
    Fail(FramingProblem::kContentLength);
    return;
  }
  const bool states_body = chunked || length.value_or(0) > 0;
  const bool bodiless =
      !m_is_request && (m_status < kFirstFinalStatus || m_status == kNoContent);
  if (states_body && (bodiless || m_method == "TRACE")) {
    Fail(FramingProblem::kForbiddenBody);
    return;
  }
  if (m_to_head || bodiless || (!m_is_request && m_status == kNotModified)) {
    m_part = Part::kComplete;
  } else if (chunked) {
    m_part = Part::kChunkLine;
  } else if (m_is_request || length) {
    OnLength(length.value_or(0));
  } else {
    m_part = Part::kUntilClose;
  }
}

void MessageFraming::OnConnectionOptions(std::string_view value) {
  while (!value.empty()) {
    const std::size_t comma = value.find(',');
    const std::string_view option = TrimBlanks(value.substr(0, comma));
    m_close = m_close || IsSameHeader(option, "close");
    m_keep_alive = m_keep_alive || IsSameHeader(option, "keep-alive");
    value.remove_prefix(comma == std::string_view::npos ? value.size()
                                                        : comma + 1);
  }
}

void MessageFraming::OnLength(std::uint64_t length) {
  m_left = length;
  m_part = length > 0 ? Part::kBody : Part::kComplete;
}

void MessageFraming::OnChunkLine(std::string_view line) {
  const std::size_t digits = static_cast<std::size_t>(
      std::find_if(line.begin(), line.end(),
                   [](char c) { return DigitValue(c) >= 16; }) -
      line.begin());
  const auto size = ReadNumber(line.substr(0, digits), 16);
  if (!size) {
    Fail(FramingProblem::kChunkSize);
    return;
  }
  std::string_view extensions = line.substr(digits);
  while (!extensions.empty()) {
    if (!ReadChunkExtension(extensions)) {
      Fail(FramingProblem::kChunkExtension);
      return;
    }
  }
  m_left = *size;
  m_part = m_left > 0 ? Part::kChunkData : Part::kTrailerLine;
}

}  // namespace kumquatcove
