#ifndef RUNTIME_CHECKED_BUFFER_H_
#define RUNTIME_CHECKED_BUFFER_H_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include <boost/beast/core/flat_buffer.hpp>

#include "runtime/message_framing.h"

namespace kumquatcove {

/**
 * Read buffer of one connection that checks the framing of the bytes it
 * receives.
 *
 * Beast's parser accepts messages that other recipients delimit differently, so
 * each byte is also read by MessageFraming. After a problem the buffer is full,
 * which ends the read operation in progress. Thread safety: none.
 */
class CheckedBuffer : public boost::beast::flat_buffer {
 public:
  using boost::beast::flat_buffer::flat_buffer;

  /** Starts the next message with the bytes that are already buffered. */
  void BeginRequest() {
    m_framing.BeginRequest();
    AddBuffered();
  }
  void BeginAnswer(bool to_head) {
    m_framing.BeginAnswer(to_head);
    AddBuffered();
  }

  /** Returns the problem of the message read so far. */
  FramingProblem Problem() const { return m_framing.Problem(); }

  /** Returns the problem of a message that the parser has read whole. A message
   * without a problem ends where the parser says. */
  FramingProblem ProblemOfWhole() const {
    if (Problem() != FramingProblem::kNone) {
      return Problem();
    }
    const bool ended = m_framing.IsComplete() || m_framing.IsUntilClose();
    return ended && m_framing.Size() == m_consumed ? FramingProblem::kNone
                                                   : FramingProblem::kExtent;
  }

  /** Returns whether the message extends to the end of its connection. */
  bool IsUntilClose() const { return m_framing.IsUntilClose(); }
  /** Returns whether the connection persists after the message. */
  bool KeepsConnection() const { return m_framing.KeepsConnection(); }
  std::vector<HttpHeader> TakeHeaders() { return m_framing.TakeHeaders(); }

  /** Functions of a DynamicBuffer that hide those of the base class. */
  void commit(std::size_t size) {
    const std::size_t before = this->size();
    boost::beast::flat_buffer::commit(size);
    m_framing.Add(Text().substr(before));
  }
  void consume(std::size_t size) {
    boost::beast::flat_buffer::consume(size);
    m_consumed += size;
  }
  std::size_t max_size() const {
    return Problem() == FramingProblem::kNone
               ? boost::beast::flat_buffer::max_size()
               : size();
  }
  void max_size(std::size_t limit) {
    boost::beast::flat_buffer::max_size(limit);
  }

 private:
  std::string_view Text() const {
    const auto bytes = data();
    return {static_cast<const char*>(bytes.data()), bytes.size()};
  }

  void AddBuffered() {
    m_consumed = 0;
    m_framing.Add(Text());
  }

  MessageFraming m_framing;
  /** Bytes of the message that the parser has read. */
  std::uint64_t m_consumed = 0;
};

}  // namespace kumquatcove

#endif  // RUNTIME_CHECKED_BUFFER_H_
