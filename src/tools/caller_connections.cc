#include "tools/caller_connections.h"

#include <optional>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include "emulator/network_address.h"
#include "tools/answer_reader.h"

namespace kumquatcove {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

}  // namespace

/** One connection and the exchange in progress on it. */
class CallerConnections::Connection
    : public std::enable_shared_from_this<Connection> {
 public:
  Connection(CallerConnections& owner, std::string address)
      : m_owner(owner), m_address(std::move(address)), m_stream(owner.m_io) {}

  void Begin(const ToolRequest& request, Duration timeout, Done done) {
    m_done = std::move(done);
    m_request = {};
    m_request.method_string(request.method);
    m_request.target(request.target);
    m_request.version(11);
    m_request.set(http::field::host, m_address);
    for (const HttpHeader& header : request.headers) {
      m_request.set(header.name, header.value);
    }
    m_request.body() = request.body;
    m_request.prepare_payload();
    m_stream.expires_after(timeout);
  }

  void Connect(const asio::ip::tcp::endpoint& endpoint) {
    m_stream.async_connect(endpoint,
                           [self = shared_from_this()](error_code error) {
                             if (error) {
                               self->Finish(HttpFailure::kNotSent);
                               return;
                             }
                             error_code ignored;
                             self->m_stream.socket().set_option(
                                 asio::ip::tcp::no_delay(true), ignored);
                             self->Write();
                           });
  }

  void Write() {
    http::async_write(
        m_stream, m_request,
        [self = shared_from_this()](error_code error, std::size_t) {
          if (error) {
            self->Finish(HttpFailure::kNoReply);
          } else {
            self->Read();
          }
        });
  }

  /** Returns whether the other side has closed the idle connection or sent
   * something that nobody asked for. */
  bool IsStale() {
    char byte = 0;
    error_code error;
    auto& socket = m_stream.socket();
    socket.non_blocking(true, error);
    socket.receive(asio::buffer(&byte, 1), asio::ip::tcp::socket::message_peek,
                   error);
    return error != asio::error::would_block;
  }

 private:
  void Read() {
    m_reader.Begin(2 * kMaxBodyBytes);
    m_reader.Read(m_stream,
                  [self = shared_from_this()](error_code error, std::size_t) {
                    if (error) {
                      self->Finish(HttpFailure::kNoReply);
                    } else {
                      self->FinishWithAnswer();
                    }
                  });
  }

  void FinishWithAnswer() {
    if (m_reader.KeepsConnection()) {
      m_stream.expires_never();
      m_owner.m_idle[m_address].push_back(shared_from_this());
    }
    std::optional<HttpAnswer> answer = m_reader.Take();
    if (answer) {
      Finish(std::move(*answer));
    } else {
      Finish(HttpFailure::kNoReply);
    }
  }

  void Finish(HttpResult result) {
    const Done done = std::exchange(m_done, nullptr);
    done(std::move(result));
  }

  CallerConnections& m_owner;
  std::string m_address;
  beast::tcp_stream m_stream;
  AnswerReader m_reader;
  http::request<http::string_body> m_request;
  Done m_done;
};

CallerConnections::CallerConnections(asio::io_context& io) : m_io(io) {}

CallerConnections::~CallerConnections() = default;

void CallerConnections::Exchange(const std::string& address,
                                 const ToolRequest& request,
                                 Duration timeout,
                                 Done done) {
  if (const ConnectionPointer idle = TakeIdle(address)) {
    idle->Begin(request, timeout, std::move(done));
    idle->Write();
    return;
  }
  const auto endpoint = emulator::ParseAddress(address);
  if (!endpoint) {
    asio::post(m_io, [done = std::move(done)] { done(HttpFailure::kNotSent); });
    return;
  }
  const auto connection = std::make_shared<Connection>(*this, address);
  connection->Begin(request, timeout, std::move(done));
  connection->Connect(*endpoint);
}

CallerConnections::ConnectionPointer CallerConnections::TakeIdle(
    const std::string& address) {
  std::vector<ConnectionPointer>& idle = m_idle[address];
  while (!idle.empty()) {
    ConnectionPointer connection = std::move(idle.back());
    idle.pop_back();
    if (!connection->IsStale()) {
      return connection;
    }
  }
  return nullptr;
}

}  // namespace kumquatcove
