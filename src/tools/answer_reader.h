#ifndef TOOLS_ANSWER_READER_H_
#define TOOLS_ANSWER_READER_H_

#include <cstdint>
#include <optional>
#include <utility>

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include "protocol/http_message.h"
#include "runtime/checked_buffer.h"

namespace kumquatcove {

/**
 * Reads the answers of one client connection, with the checks of
 * MessageFraming, since Beast's parser accepts messages that aren't valid HTTP.
 *
 * Thread safety: none.
 */
class AnswerReader {
 public:
  /** Begins the next answer; one whose body is longer than `max_body_bytes`
   * ends in an error. */
  void Begin(std::uint64_t max_body_bytes) {
    m_parser.emplace();
    m_parser->eager(true);
    m_parser->body_limit(max_body_bytes);
    m_buffer.BeginAnswer(false);
  }

  /** Reads the whole answer. The stream and this object must outlive the
   * operation. Precondition: an answer was begun. */
  template <class Stream, class Handler>
  void Read(Stream& stream, Handler handler) {
    boost::beast::http::async_read(stream, m_buffer, *m_parser,
                                   std::move(handler));
  }
  /** Reads a part of the answer; as above. */
  template <class Stream, class Handler>
  void ReadSome(Stream& stream, Handler handler) {
    boost::beast::http::async_read_some(stream, m_buffer, *m_parser,
                                        std::move(handler));
  }

  /** Returns whether the answer has ended. */
  bool IsDone() const { return m_parser->is_done(); }
  /** Returns whether what was read of the answer isn't valid HTTP. */
  bool IsInvalid() const {
    const FramingProblem problem =
        IsDone() ? m_buffer.ProblemOfWhole() : m_buffer.Problem();
    return problem != FramingProblem::kNone;
  }
  /** Returns whether the answer is valid and the connection may carry another
   * request. Precondition: it has ended. */
  bool KeepsConnection() const {
    return !IsInvalid() && m_buffer.KeepsConnection() && m_buffer.size() == 0;
  }
  /** Returns the answer, or nothing if it is invalid. Precondition: it has
   * ended. */
  std::optional<HttpAnswer> Take();

 private:
  CheckedBuffer m_buffer;
  std::optional<
      boost::beast::http::response_parser<boost::beast::http::string_body>>
      m_parser;
};

}  // namespace kumquatcove

#endif  // TOOLS_ANSWER_READER_H_
