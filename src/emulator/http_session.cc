#include "emulator/http_session.h"

#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace kumquatcove::emulator {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

HttpSession::HttpSession(asio::ip::tcp::socket socket, Handler handler)
    : m_socket(std::move(socket)),
      m_timer(m_socket.get_executor()),
      m_handler(std::move(handler)) {
  error_code ignored;
  m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
}

void HttpSession::Start(Duration connection_cost) {
  if (connection_cost <= Duration(0)) {
    ReadRequest();
    return;
  }
  m_timer.expires_after(connection_cost);
  m_timer.async_wait([self = shared_from_this()](error_code error) {
    if (!error && !self->m_is_silent) {
      self->ReadRequest();
    }
  });
}

std::string HttpSession::Header(std::string_view name) const {
  const auto& request = GetRequest();
  const auto found =
      request.find(boost::beast::string_view(name.data(), name.size()));
  return found == request.end() ? std::string() : std::string(found->value());
}

void HttpSession::OnPeerClosed(std::function<void()> handler) {
  m_peer_closed = std::move(handler);
}

void HttpSession::ReadRequest() {
  if (m_is_finishing) {
    StopReceiving();
  }
  m_parser.emplace();
  m_parser->body_limit(kMaxBodyBytes);
  http::async_read(m_socket, m_buffer, *m_parser,
                   [self = shared_from_this()](error_code error, std::size_t) {
                     if (self->m_is_silent) {
                       return;
                     }
                     if (error) {
                       self->Close();
                       return;
                     }
                     self->m_is_handling = true;
                     ++self->m_request_count;
                     self->WatchPeer();
                     self->m_handler(self);
                   });
}

void HttpSession::StopReceiving() {
  // What the socket has received so far can still be read.
  error_code ignored;
  m_socket.shutdown(asio::ip::tcp::socket::shutdown_receive, ignored);
  m_is_input_ended = true;
}

void HttpSession::WatchPeer() {
  m_socket.async_wait(
      asio::ip::tcp::socket::wait_read,
      [self = shared_from_this(), request = m_request_count](error_code error) {
        if (!error && self->m_is_handling && !self->m_is_silent &&
            request == self->m_request_count) {
          self->PeerMayHaveClosed();
        }
      });
}

void HttpSession::PeerMayHaveClosed() {
  char byte = 0;
  error_code error;
  const std::size_t count = m_socket.receive(
      asio::buffer(&byte, 1), asio::ip::tcp::socket::message_peek, error);
  // A further byte is a pipelined request, which waits for its turn.
  if (count > 0 && !error) {
    return;
  }
  if (m_is_input_ended && error == asio::error::eof) {
    return;
  }
  m_is_handling = false;
  Close();
  if (const auto handler = std::exchange(m_peer_closed, nullptr)) {
    handler();
  }
}

void HttpSession::Respond(const HttpAnswer& answer) {
  if (!m_is_handling || m_is_silent) {
    return;
  }
  m_is_handling = false;
  m_peer_closed = nullptr;
  error_code ignored;
  m_socket.cancel(ignored);
  Write(answer);
}

void HttpSession::Write(const HttpAnswer& answer) {
  m_response = {static_cast<http::status>(answer.status),
                GetRequest().version()};
  for (const HttpHeader& header : answer.headers) {
    m_response.set(header.name, header.value);
  }
  m_response.body() = answer.body;
  m_response.keep_alive(GetRequest().keep_alive() && !m_is_finishing);
  m_response.prepare_payload();
  http::async_write(m_socket, m_response,
                    [self = shared_from_this()](error_code error, std::size_t) {
                      if (self->m_is_silent) {
                        return;
                      }
                      if (error || !self->m_response.keep_alive()) {
                        self->Close();
                      } else {
                        self->ReadRequest();
                      }
                    });
}

void HttpSession::Finish() {
  if (m_is_silent) {
    Close();
    return;
  }
  m_is_finishing = true;
  if (!m_is_handling) {
    StopReceiving();
  }
}

void HttpSession::Reset() {
  error_code ignored;
  m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
  m_is_handling = false;
  m_peer_closed = nullptr;
  m_timer.cancel();
  m_socket.close(ignored);
}

void HttpSession::Close() {
  m_is_handling = false;
  m_timer.cancel();
  error_code ignored;
  m_socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
  m_socket.close(ignored);
}

void HttpSession::Silence() {
  if (m_is_silent) {
    return;
  }
  m_is_silent = true;
  m_timer.cancel();
  error_code ignored;
  m_socket.cancel(ignored);
  Discard();
}

void HttpSession::Discard() {
  m_socket.async_read_some(
      asio::buffer(m_discarded),
      [self = shared_from_this()](error_code error, std::size_t) {
        if (!error) {
          self->Discard();
          return;
        }
        self->Close();
        if (const auto handler = std::exchange(self->m_peer_closed, nullptr)) {
          handler();
        }
      });
}

HttpAnswer JsonAnswer(std::int32_t status, std::string body) {
  return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

std::string_view TargetPath(std::string_view target) {
  return target.substr(0, target.find('?'));
}

std::string_view TargetParameter(std::string_view target,
                                 std::string_view name) {
  std::size_t start = target.find('?');
  while (start != std::string_view::npos) {
    const std::size_t end = target.find('&', start + 1);
    const std::string_view pair = target.substr(
        start + 1, end == std::string_view::npos ? end : end - start - 1);
    const std::size_t equals = pair.find('=');
    if (equals != std::string_view::npos && pair.substr(0, equals) == name) {
      return pair.substr(equals + 1);
    }
    start = end;
  }
  return {};
}

}  // namespace kumquatcove::emulator
