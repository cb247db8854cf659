#ifndef RUNTIME_MESSAGE_FRAMING_H_
#define RUNTIME_MESSAGE_FRAMING_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/enum_table.h"
#include "protocol/http_message.h"

namespace kumquatcove {

/** Why the extent of a message is uncertain or the message is invalid. */
enum class FramingProblem {
  kNone,
  kControlByte,
  kBareLineFeed,
  kBareCarriageReturn,
  kStartLine,
  kTarget,
  kMethod,
  kStatus,
  kVersion,
  kFieldName,
  kLineFolding,
  kHost,
  kTransferEncoding,
  kContentLength,
  kLengthAndCoding,
  kForbiddenBody,
  kChunkSize,
  kChunkExtension,
  kChunkEnd,
  kTrailer,
  /** The parser and MessageFraming disagree on the end of the message. */
  kExtent,
};

constexpr auto EnumNames(FramingProblem) {
  using Name = EnumName<FramingProblem>;
  return std::array{
      Name{FramingProblem::kNone, "none"},
      Name{FramingProblem::kControlByte, "control byte in a header"},
      Name{FramingProblem::kBareLineFeed, "line feed without carriage return"},
      Name{FramingProblem::kBareCarriageReturn,
           "carriage return without line feed"},
      Name{FramingProblem::kStartLine, "invalid start line"},
      Name{FramingProblem::kTarget, "invalid request target"},
      Name{FramingProblem::kMethod, "unsupported method"},
      Name{FramingProblem::kStatus, "invalid status"},
      Name{FramingProblem::kVersion, "unsupported HTTP version"},
      Name{FramingProblem::kFieldName, "invalid header name"},
      Name{FramingProblem::kLineFolding, "folded header"},
      Name{FramingProblem::kHost, "missing, repeated or invalid Host"},
      Name{FramingProblem::kTransferEncoding, "unsupported Transfer-Encoding"},
      Name{FramingProblem::kContentLength, "invalid Content-Length"},
      Name{FramingProblem::kLengthAndCoding,
           "both Content-Length and Transfer-Encoding"},
      Name{FramingProblem::kForbiddenBody, "body in a message without one"},
      Name{FramingProblem::kChunkSize, "invalid chunk size"},
      Name{FramingProblem::kChunkExtension, "invalid chunk extension"},
      Name{FramingProblem::kChunkEnd, "chunk without its line end"},
      Name{FramingProblem::kTrailer, "invalid trailer"},
      Name{FramingProblem::kExtent, "uncertain end of the message"}};
}

/**
 * Incremental strict reader of the framing of HTTP/1.1 messages, as defined in
 * RFC 9112.
 *
 * It accepts only messages whose extent every recipient determines in the same
 * way: at most one Content-Length with a single number, or a single
 * Transfer-Encoding `chunked`. Thread safety: none.
 */
class MessageFraming {
 public:
  /** Starts reading a request. */
  void BeginRequest();
  /** Starts reading an answer; `to_head` says whether it answers a HEAD
   * request. */
  void BeginAnswer(bool to_head);

  /** Reads bytes of the message. Returns how many of them belong to it; reads
   * no further after a problem. Precondition: a message was begun. */
  std::size_t Add(std::string_view bytes);

  FramingProblem Problem() const { return m_problem; }
  /** Returns whether the message ended. A message that extends to the end of
   * its connection never does. */
  bool IsComplete() const { return m_part == Part::kComplete; }
  /** Returns whether the message extends to the end of its connection. */
  bool IsUntilClose() const { return m_part == Part::kUntilClose; }
  /** Returns whether the connection persists after the message (RFC 9112, 9.3).
   * Precondition: its head was read. */
  bool KeepsConnection() const {
    return !m_close && (m_keep_alive || !m_is_http10) && !IsUntilClose();
  }
  /** Returns the number of bytes of the message read so far. */
  std::uint64_t Size() const { return m_size; }

  /** Returns the headers read so far, without trailers, which no recipient may
   * merge into them (RFC 9110, 6.5.1). */
  std::vector<HttpHeader> TakeHeaders() { return std::move(m_headers); }

 private:
  enum class Part {
    kStartLine,
    kHeaderLine,
    kBody,
    kChunkLine,
    kChunkData,
    kChunkEnd,
    kTrailerLine,
    kUntilClose,
    kComplete,
    kInvalid,
  };

  void Begin();
  void Fail(FramingProblem problem);
  /** Each returns the number of bytes read. */
  std::size_t AddData(std::string_view bytes);
  std::size_t AddLine(std::string_view bytes);
  void OnLine(std::string_view line);
  void OnRequestLine(std::string_view line);
  void OnStatusLine(std::string_view line);
  void OnHeaderLine(std::string_view line);
  void OnTrailerLine(std::string_view line);
  /** Determines how the body is delimited (RFC 9112, 6.3). */
  void OnHeadEnd();
  void OnLength(std::uint64_t length);
  void OnChunkLine(std::string_view line);
  void OnConnectionOptions(std::string_view value);
  bool ReadVersion(std::string_view version);
  bool ReadField(std::string_view line, HttpHeader& field);

  FramingProblem m_problem = FramingProblem::kNone;
  Part m_part = Part::kComplete;
  bool m_is_request = true;
  bool m_to_head = false;
  bool m_is_http10 = false;
  /** Options in the Connection headers. */
  bool m_close = false;
  bool m_keep_alive = false;
  std::string m_method;
  std::int32_t m_status = 0;
  std::vector<HttpHeader> m_headers;
  /** Line that is being read, without its end. */
  std::string m_line;
  bool m_after_carriage_return = false;
  /** Bytes left of the body or chunk. */
  std::uint64_t m_left = 0;
  std::uint64_t m_size = 0;
};

}  // namespace kumquatcove

#endif  // RUNTIME_MESSAGE_FRAMING_H_
