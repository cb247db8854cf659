#ifndef RUNTIME_STALLED_SERVER_H_
#define RUNTIME_STALLED_SERVER_H_

#include <array>
#include <cerrno>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include <poll.h>
#include <sys/socket.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "runtime/test_support.h"

namespace kumquatcove {

/** How a connection ended. */
enum class ConnectionEnd { kNone, kInOrder, kReset };

/** What a server received until the connection ended. */
struct ReceivedBytes {
  std::size_t count = 0;
  ConnectionEnd end = ConnectionEnd::kNone;
};

/** Loopback server for one connection that reads nothing until ReadToEnd, so
 * that most of a large request stays in the kernel of its sender. */
class StalledServer {
 public:
  /** Size of a request body that its sender passes to the kernel in one call,
   * and of which only a small part fits into the server's receive buffer. */
  static constexpr std::size_t kHeldBytes = 48U << 10U;

  StalledServer() : m_acceptor(m_context), m_socket(m_context) {
    using boost::asio::ip::tcp;
    m_acceptor.open(tcp::v4());
    m_acceptor.set_option(tcp::acceptor::receive_buffer_size(kReceiveBytes));
    m_acceptor.bind({boost::asio::ip::make_address("127.0.0.1"), 0});
    m_acceptor.listen();
  }

  std::uint16_t Port() const { return m_acceptor.local_endpoint().port(); }
  std::string Address() const { return "127.0.0.1:" + std::to_string(Port()); }

  /** Waits for the connection. */
  void Accept() { m_acceptor.accept(m_socket); }

  /** Precondition: the connection is accepted. */
  void Write(std::string_view bytes) {
    boost::asio::write(m_socket,
                       boost::asio::buffer(bytes.data(), bytes.size()));
  }

  /** Ends the connection; with unread bytes, the kernel resets it.
   * Precondition: the connection is accepted. */
  void Close() { m_socket.close(); }

  /** Ends the stream of bytes to the client in order. Precondition: the
   * connection is accepted. */
  void EndStream() {
    m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send);
  }

  /** Resets the connection. Precondition: the connection is accepted. */
  void Reset() {
    m_socket.set_option(boost::asio::socket_base::linger(true, 0));
    m_socket.close();
  }

  /** Reads until the connection ends, or nothing arrives for kTestTimeout.
   * Precondition: the connection is accepted. */
  ReceivedBytes ReadToEnd() {
    const int timeout_ms =
        static_cast<int>(std::chrono::milliseconds(kTestTimeout).count());
    ReceivedBytes received;
    std::array<char, 4096> buffer{};
    pollfd readable{m_socket.native_handle(), POLLIN, 0};
    while (::poll(&readable, 1, timeout_ms) > 0) {
      const auto size =
          ::recv(readable.fd, buffer.data(), buffer.size(), MSG_DONTWAIT);
      if (size == 0) {
        received.end = ConnectionEnd::kInOrder;
        break;
      }
      if (size < 0) {
        received.end =
            errno == ECONNRESET ? ConnectionEnd::kReset : ConnectionEnd::kNone;
        break;
      }
      received.count += static_cast<std::size_t>(size);
    }
    return received;
  }

 private:
  static constexpr int kReceiveBytes = 4096;

  boost::asio::io_context m_context;
  boost::asio::ip::tcp::acceptor m_acceptor;
  boost::asio::ip::tcp::socket m_socket;
};

}  // namespace kumquatcove

#endif  // RUNTIME_STALLED_SERVER_H_
