#ifndef RUNTIME_ONE_ANSWER_SERVER_H_
#define RUNTIME_ONE_ANSWER_SERVER_H_

#include <string>
#include <string_view>
#include <thread>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

namespace kumquatcove {

/** How OneAnswerServer writes the bytes of its answer. */
enum class AnswerPace { kAtOnce, kByteByByte };

/** Loopback server for tests that accepts one connection, reads a request's
 * head, sends the answer's bytes and ends its stream. The destructor waits
 * until the client has closed the connection. */
class OneAnswerServer {
 public:
  explicit OneAnswerServer(std::string answer,
                           AnswerPace pace = AnswerPace::kAtOnce)
      : m_thread(
            [this, bytes = std::move(answer), pace] { Serve(bytes, pace); }) {}
  ~OneAnswerServer() { m_thread.join(); }
  OneAnswerServer(const OneAnswerServer&) = delete;
  OneAnswerServer& operator=(const OneAnswerServer&) = delete;

  std::string Address() const {
    return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
  }

 private:
  void Serve(const std::string& answer, AnswerPace pace) {
    using boost::asio::ip::tcp;
    boost::system::error_code error;
    tcp::socket socket(m_context);
    m_acceptor.accept(socket, error);
    boost::asio::streambuf request;
    boost::asio::read_until(socket, request, "\r\n\r\n", error);
    socket.set_option(tcp::no_delay(true), error);
    const std::size_t piece =
        pace == AnswerPace::kByteByByte ? 1 : answer.size();
    for (std::string_view rest = answer; !rest.empty() && !error;
         rest.remove_prefix(piece)) {
      boost::asio::write(socket, boost::asio::buffer(rest.data(), piece),
                         error);
    }
    socket.shutdown(tcp::socket::shutdown_send, error);
    char byte = 0;
    while (!error) {
      socket.read_some(boost::asio::buffer(&byte, 1), error);
    }
  }

  boost::asio::io_context m_context;
  boost::asio::ip::tcp::acceptor m_acceptor{
      m_context,
      {boost::asio::ip::make_address("127.0.0.1"), 0}};
  std::thread m_thread;
};

}  // namespace kumquatcove

#endif  // RUNTIME_ONE_ANSWER_SERVER_H_
