#ifndef PLATFORM_STAND_IN_PACED_CONNECTION_H_
#define PLATFORM_STAND_IN_PACED_CONNECTION_H_

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "base/clock_reading.h"
#include "base/enum_table.h"
#include "protocol/http_message.h"
#include "tools/answer_reader.h"

namespace kumquatcove::stand_in {

/** How an exchange ended. */
enum class ExchangeEnd {
  kAnswered,
  /** The server closed the connection in order: it has read all that was sent.
   */
  kClosed,
  /** The connection was reset; the server may not have read all. */
  kReset,
  /** The server sent bytes that are no valid answer. */
  kInvalid,
  kGivenUp,
  kNotOpened,
};

constexpr auto EnumNames(ExchangeEnd) {
  using Row = EnumName<ExchangeEnd>;
  return std::array{Row{ExchangeEnd::kAnswered, "answered"},
                    Row{ExchangeEnd::kClosed, "closed"},
                    Row{ExchangeEnd::kReset, "reset"},
                    Row{ExchangeEnd::kInvalid, "invalid"},
                    Row{ExchangeEnd::kGivenUp, "given up"},
                    Row{ExchangeEnd::kNotOpened, "not opened"}};
}

/** How a client writes a request and reads its answer. */
struct ExchangePace {
  bool chunked = false;
  /** The body is written in so many pieces, at even intervals. */
  int pieces = 1;
  Duration write_time = Duration(0);
  bool reads_slowly = false;
  bool closes = false;
};

/** End of an exchange; the answer is set if it is whole. */
struct ExchangeResult {
  ExchangeEnd end = ExchangeEnd::kNotOpened;
  HttpAnswer answer;
};

/**
 * A connection of an HTTP client that may write and read slowly.
 *
 * Callbacks are called once unless Close is called first. Thread safety: none;
 * used from the thread that runs the I/O context.
 */
class PacedConnection : public std::enable_shared_from_this<PacedConnection> {
 public:
  using OpenedCallback = std::function<void(bool opened)>;
  using SentCallback = std::function<void()>;
  using EndCallback = std::function<void(ExchangeResult)>;

  explicit PacedConnection(boost::asio::io_context& io);

  /** Connects to `address`. Precondition: called once. */
  void Open(const std::string& address,
            Duration timeout,
            OpenedCallback callback);
  /** Sends a request; `sent` is called after its last byte. Precondition: the
   * connection is idle. */
  void Send(const HttpRequest& request,
            const std::string& host,
            const ExchangePace& pace,
            Duration timeout,
            SentCallback sent,
            EndCallback callback);
  void Close();
  bool IsIdle() const { return m_is_idle; }

 private:
  void BecomeIdle();
  void WritePiece(std::size_t index);
  void Read();
  void OnRead(boost::system::error_code error);
  void OnServerClosed();
  void End(ExchangeEnd end);

  boost::asio::ip::tcp::socket m_socket;
  boost::asio::steady_timer m_timeout;
  boost::asio::steady_timer m_write_timer;
  boost::asio::steady_timer m_read_timer;
  bool m_is_idle = false;
  /** Grows with each exchange, so that events of an earlier one are dropped. */
  std::uint64_t m_exchange = 0;
  std::vector<std::string> m_pieces;
  Duration m_piece_interval = Duration(0);
  bool m_is_sent = false;
  bool m_reads_slowly = false;
  std::size_t m_read_since_pause = 0;
  OpenedCallback m_opened;
  SentCallback m_sent;
  EndCallback m_ended;
  AnswerReader m_reader;
};

}  // namespace kumquatcove::stand_in

#endif  // PLATFORM_STAND_IN_PACED_CONNECTION_H_
