#ifndef RUNTIME_STRICT_HTTP_READER_H_
#define RUNTIME_STRICT_HTTP_READER_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <regex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "protocol/http_message.h"

namespace kumquatcove {

/** A message as read by StrictHttpReader. */
struct StrictMessage {
  /** Method and target, or status in `target`. */
  std::string method;
  std::string target;
  bool is_http10 = false;
  std::vector<HttpHeader> headers;
  std::string body;
  /** The body extends to the end of the connection. */
  bool is_until_close = false;
};

enum class StrictResult { kValid, kIncomplete, kInvalid };

/**
 * Reads whole HTTP/1.1 messages as strictly as RFC 9112 allows; for tests, so
 * it shares no code with the production reader. Thread safety: none.
 */
class StrictHttpReader {
 public:
  explicit StrictHttpReader(std::string_view text) : m_rest(text) {}

  StrictResult ReadRequest(StrictMessage& message) {
    static const std::regex kLine("(" + Token() +
                                  ") ([\\x21-\\x7e]+) HTTP/1\\.([01])");
    return Read(message, kLine, true, false);
  }

  StrictResult ReadAnswer(bool to_head, StrictMessage& message) {
    static const std::regex kLine(
        "(HTTP)/1\\.(?=[01] )(?:[01]) ([1-5][0-9]{2}) ([^\\x01-\\x08]*)");
    return Read(message, kLine, false, to_head);
  }

  /** Returns the bytes after the last message. */
  std::string_view Rest() const { return m_rest; }

 private:
  static std::string Token() { return "[-!#$%&'*+.^_`|~0-9A-Za-z]+"; }

  static std::vector<std::string> Values(const StrictMessage& message,
                                         const std::string& lower_name) {
    std::vector<std::string> values;
    for (const HttpHeader& header : message.headers) {
      if (Lower(header.name) == lower_name) {
        values.push_back(header.value);
      }
    }
    return values;
  }

  static std::string Lower(std::string text) {
    std::transform(text.begin(), text.end(), text.begin(), [](char c) {
      return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c;
    });
    return text;
  }

  /** Takes a line; nothing if its end is missing. Sets m_invalid if the line
   * has control bytes. */
  std::optional<std::string> TakeLine() {
    const std::size_t end = m_rest.find("\r\n");
    const std::string line(m_rest.substr(0, end));
    for (std::size_t i = 0; i < line.size(); ++i) {
      const auto byte = static_cast<unsigned char>(line[i]);
      const bool last_of_incomplete =
          end == std::string_view::npos && byte == '\r' && i + 1 == line.size();
      if ((byte < 32 && byte != '\t' && !last_of_incomplete) || byte == 127) {
        m_invalid = true;
      }
    }
    if (end == std::string_view::npos || m_invalid) {
      return std::nullopt;
    }
    m_rest.remove_prefix(end + 2);
    return line;
  }

  StrictResult Missing() const {
    return m_invalid ? StrictResult::kInvalid : StrictResult::kIncomplete;
  }

  StrictResult ReadFields(std::vector<HttpHeader>& fields) {
    static const std::regex kField("(" + Token() + "):[ \t]*([^]*?)[ \t]*");
    while (true) {
      const std::optional<std::string> line = TakeLine();
      if (!line) {
        return Missing();
      }
      if (line->empty()) {
        return StrictResult::kValid;
      }
      std::smatch match;
      if (!std::regex_match(*line, match, kField)) {
        return StrictResult::kInvalid;
      }
      fields.push_back({match[1], match[2]});
    }
  }

  StrictResult Read(StrictMessage& message,
                    const std::regex& start_line,
                    bool is_request,
                    bool to_head) {
    const std::optional<std::string> line = TakeLine();
    if (!line) {
      return Missing();
    }
    std::smatch match;
    if (!std::regex_match(*line, match, start_line) || match[1] == "CONNECT") {
      return StrictResult::kInvalid;
    }
    message.method = match[1];
    message.target = match[2];
    message.is_http10 = is_request ? match[3] == "0" : (*line)[7] == '0';
    const StrictResult fields = ReadFields(message.headers);
    if (fields != StrictResult::kValid) {
      return fields;
    }
    if (is_request && !HasValidHost(message)) {
      return StrictResult::kInvalid;
    }
    return ReadBody(message, is_request, to_head);
  }

  static bool HasValidHost(const StrictMessage& message) {
    static const std::regex kHost("[^ \t/?#@,\\\\\"<>\\x80-\\xff]*");
    const std::vector<std::string> hosts = Values(message, "host");
    return hosts.empty()
               ? message.is_http10
               : hosts.size() == 1 && std::regex_match(hosts[0], kHost);
  }

  StrictResult ReadBody(StrictMessage& message, bool is_request, bool to_head) {
    static const std::regex kLength("0*[0-9]{1,18}");
    const std::vector<std::string> lengths = Values(message, "content-length");
    const std::vector<std::string> codings =
        Values(message, "transfer-encoding");
    const bool chunked = codings.size() == 1 && Lower(codings[0]) == "chunked";
    if (lengths.size() + codings.size() > 1 ||
        (!lengths.empty() && !std::regex_match(lengths[0], kLength)) ||
        (!codings.empty() && (!chunked || message.is_http10))) {
      return StrictResult::kInvalid;
    }
    const std::uint64_t length = lengths.empty() ? 0 : std::stoull(lengths[0]);
    // A client must not send a body with TRACE (RFC 9110, 9.3.8).
    if (message.method == "TRACE" && (chunked || length > 0)) {
      return StrictResult::kInvalid;
    }
    if (!is_request) {
      const std::string& status = message.target;
      const bool bodiless = status[0] == '1' || status == "204";
      if (status == "101" || (bodiless && (chunked || length > 0))) {
        return StrictResult::kInvalid;
      }
      if (to_head || bodiless || status == "304") {
        return StrictResult::kValid;
      }
      if (!chunked && lengths.empty()) {
        message.is_until_close = true;
        message.body = m_rest;
        m_rest = {};
        return StrictResult::kValid;
      }
    }
    return chunked ? ReadChunks(message) : TakeBytes(length, message.body);
  }

  StrictResult TakeBytes(std::uint64_t size, std::string& body) {
    if (m_rest.size() < size) {
      return StrictResult::kIncomplete;
    }
    body += m_rest.substr(0, size);
    m_rest.remove_prefix(size);
    return StrictResult::kValid;
  }

  StrictResult ReadChunks(StrictMessage& message) {
    static const std::regex kChunk("(0*[0-9A-Fa-f]{1,15})(?:[ \t]*;[ \t]*" +
                                   Token() + "(?:[ \t]*=[ \t]*(?:" + Token() +
                                   "|\"(?:[^\"\\\\]|\\\\[^])*\"))?)*");
    while (true) {
      const std::optional<std::string> line = TakeLine();
      if (!line) {
        return Missing();
      }
      std::smatch match;
      if (!std::regex_match(*line, match, kChunk)) {
        return StrictResult::kInvalid;
      }
      const std::uint64_t size = std::stoull(match[1], nullptr, 16);
      if (size == 0) {
        return ReadTrailers();
      }
      if (TakeBytes(size, message.body) != StrictResult::kValid) {
        return StrictResult::kIncomplete;
      }
      const std::string_view end = m_rest.substr(0, 2);
      if (end != std::string_view("\r\n").substr(0, end.size())) {
        return StrictResult::kInvalid;
      }
      if (end.size() < 2) {
        return StrictResult::kIncomplete;
      }
      m_rest.remove_prefix(2);
    }
  }

  /** Reads trailers, which may not state the framing or the host. */
  StrictResult ReadTrailers() {
    StrictMessage trailers;
    const StrictResult result = ReadFields(trailers.headers);
    const bool forbidden = !Values(trailers, "content-length").empty() ||
                           !Values(trailers, "transfer-encoding").empty() ||
                           !Values(trailers, "host").empty();
    return forbidden ? StrictResult::kInvalid : result;
  }

  std::string_view m_rest;
  bool m_invalid = false;
};

}  // namespace kumquatcove

#endif  // RUNTIME_STRICT_HTTP_READER_H_
