#ifndef EMULATOR_HTTP_SERVER_H_
#define EMULATOR_HTTP_SERVER_H_

#include <memory>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "base/clock_reading.h"
#include "emulator/http_session.h"

namespace kumquatcove::emulator {

/**
 * One listening port of the emulator and its connections.
 *
 * Thread safety: none; used from the thread that runs the I/O context.
 */
class HttpServer {
 public:
  HttpServer(boost::asio::io_context& io,
             boost::asio::ip::tcp::endpoint endpoint,
             HttpSession::Handler handler,
             Duration connection_cost = Duration(0));
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /** Begins to accept connections. Throws boost::system::system_error if the
   * port can't be opened. */
  void Open();
  /** Refuses new connections; the existing ones stay. */
  void StopListening();
  /** Refuses new connections and closes each present one after its last answer.
   */
  void Finish();
  /** Breaks all connections with a TCP reset. */
  void ResetConnections();
  /** Lets all present connections go silent; new ones work. */
  void SilenceConnections();

  bool HasConnections() const;
  bool IsListening() const { return m_acceptor.is_open(); }
  /** Returns the port, which differs from the one asked for if that was 0. */
  std::uint16_t Port() const { return m_endpoint.port(); }
  /** Returns the greatest number of connections open at one time. */
  std::size_t MaxConnections() const { return m_max_connections; }

 private:
  void Accept();
  void ForgetClosed();

  boost::asio::ip::tcp::endpoint m_endpoint;
  boost::asio::ip::tcp::acceptor m_acceptor;
  HttpSession::Handler m_handler;
  Duration m_connection_cost;
  std::vector<std::weak_ptr<HttpSession>> m_sessions;
  std::size_t m_max_connections = 0;
  bool m_is_finishing = false;
};

}  // namespace kumquatcove::emulator

#endif  // EMULATOR_HTTP_SERVER_H_
