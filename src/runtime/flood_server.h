#ifndef RUNTIME_FLOOD_SERVER_H_
#define RUNTIME_FLOOD_SERVER_H_

#include <atomic>
#include <chrono>
#include <cstddef>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

namespace kumquatcove {

/** Bytes that a faulty server sends: `prefix` once, then `unit` until the
 * client closes the connection. */
struct Flood {
  std::string prefix;
  std::string unit;
  /** Pause after each unit. */
  std::chrono::milliseconds pause{0};
};

/**
 * Loopback server for tests that answers each request with bytes without end.
 *
 * Serves a fixed number of connections, each on a thread of its own, and gives
 * up after kMaxBytes on each. The destructor waits for their end.
 */
class FloodServer {
 public:
  static constexpr std::size_t kMaxBytes = 256U << 20U;

  FloodServer(Flood flood, int connections) : m_flood(std::move(flood)) {
    for (int i = 0; i < connections; ++i) {
      m_threads.emplace_back([this] { Serve(); });
    }
  }
  ~FloodServer() {
    for (std::thread& thread : m_threads) {
      thread.join();
    }
  }
  FloodServer(const FloodServer&) = delete;
  FloodServer& operator=(const FloodServer&) = delete;

  std::string Address() const {
    return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
  }

  /** Returns the bytes sent on all connections so far. */
  std::size_t SentBytes() const { return m_sent; }
  /** Returns the number of connections that the client has closed. */
  int ClosedCount() const { return m_closed; }

 private:
  void Serve() {
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context);
    boost::system::error_code error;
    m_acceptor.accept(socket, error);
    boost::asio::streambuf request;
    boost::asio::read_until(socket, request, "\r\n\r\n", error);
    Write(socket, m_flood.prefix, error);
    std::size_t sent = 0;
    while (!error && sent < kMaxBytes) {
      sent += Write(socket, m_flood.unit, error);
      if (m_flood.pause.count() > 0) {
        std::this_thread::sleep_for(m_flood.pause);
      }
    }
    if (error) {
      ++m_closed;
    }
  }

  std::size_t Write(boost::asio::ip::tcp::socket& socket,
                    const std::string& bytes,
                    boost::system::error_code& error) {
    const std::size_t size =
        boost::asio::write(socket, boost::asio::buffer(bytes), error);
    m_sent += size;
    return size;
  }

  Flood m_flood;
  boost::asio::io_context m_context;
  boost::asio::ip::tcp::acceptor m_acceptor{
      m_context,
      {boost::asio::ip::make_address("127.0.0.1"), 0}};
  std::atomic<std::size_t> m_sent = 0;
  std::atomic<int> m_closed = 0;
  std::vector<std::thread> m_threads;
};

}  // namespace kumquatcove

#endif  // RUNTIME_FLOOD_SERVER_H_
