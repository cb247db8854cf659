#ifndef EMULATOR_HTTP_SESSION_H_
#define EMULATOR_HTTP_SESSION_H_

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "base/clock_reading.h"
#include "protocol/http_message.h"

namespace kumquatcove::emulator {

/**
 * One connection to an emulated server: reads one request at a time, hands it
 * over, and writes the answer.
 *
 * Besides answering, the owner can reset the connection, close it without an
 * answer, or let it go silent. Thread safety: none; all calls come from the
 * thread of the socket's executor.
 */
class HttpSession : public std::enable_shared_from_this<HttpSession> {
 public:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;
  /** Called for each request; Respond() or one of the faults must follow, at
   * any later time. */
  using Handler = std::function<void(const std::shared_ptr<HttpSession>&)>;

  HttpSession(boost::asio::ip::tcp::socket socket, Handler handler);

  /** Begins to read requests after `connection_cost`. */
  void Start(Duration connection_cost);

  /** Returns the request that was handed over last. */
  const Request& GetRequest() const { return m_parser->get(); }
  /** Returns the value of a request header; empty if absent. */
  std::string Header(std::string_view name) const;

  /** Calls `handler` once if the peer closes the connection before the answer
   * to the present request. */
  void OnPeerClosed(std::function<void()> handler);

  /** Sends the answer to the present request and reads the next one. */
  void Respond(const HttpAnswer& answer);

  /** Answers the present request and those that have arrived, then closes the
   * connection. */
  void Finish();
  /** Breaks the connection with a TCP reset. */
  void Reset();
  /** Closes the connection in the usual way, without an answer. */
  void Close();
  /** Neither reads requests nor sends answers from now on, but keeps the
   * connection open until the peer closes it. */
  void Silence();

 private:
  void ReadRequest();
  void StopReceiving();
  void WatchPeer();
  void PeerMayHaveClosed();
  void Discard();
  void Write(const HttpAnswer& answer);

  boost::asio::ip::tcp::socket m_socket;
  boost::asio::steady_timer m_timer;
  Handler m_handler;
  std::function<void()> m_peer_closed;
  boost::beast::flat_buffer m_buffer;
  std::optional<
      boost::beast::http::request_parser<boost::beast::http::string_body>>
      m_parser;
  boost::beast::http::response<boost::beast::http::string_body> m_response;
  std::array<char, 4096> m_discarded{};
  bool m_is_handling = false;
  bool m_is_silent = false;
  bool m_is_finishing = false;
  /** This side has ended the input, so its end doesn't tell about the peer. */
  bool m_is_input_ended = false;
  /** Counts requests, so that an event of an earlier one is recognised. */
  std::uint64_t m_request_count = 0;
};

/** Returns an answer with a JSON body. */
HttpAnswer JsonAnswer(std::int32_t status, std::string body);

/** Returns the path of a request target, without the query. */
std::string_view TargetPath(std::string_view target);

/** Returns a parameter of the query of a request target; empty if absent. No
 * percent-decoding is done. */
std::string_view TargetParameter(std::string_view target,
                                 std::string_view name);

}  // namespace kumquatcove::emulator

#endif  // EMULATOR_HTTP_SESSION_H_
