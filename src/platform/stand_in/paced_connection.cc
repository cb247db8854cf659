#include "platform/stand_in/paced_connection.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <utility>

#include <sys/socket.h>

#include <absl/strings/str_cat.h>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>

#include "runtime/beast_message.h"
#include "runtime/network_address.h"

namespace kumquatcove::stand_in {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

// A slow reader pauses after each 64 KiB, so that 3 MB take about 1.5 s.
constexpr std::size_t kReadBytes = std::size_t{64} * 1024;
constexpr Duration kReadInterval = Milliseconds(30);
// A server that closes with unread bytes resets the connection right after its
// end of stream.
constexpr Duration kResetDelay = Milliseconds(10);

std::vector<std::string> Encode(const HttpRequest& request,
                                const std::string& host,
                                const ExchangePace& pace) {
  std::string head = absl::StrCat(request.method, " ", request.target,
                                  " HTTP/1.1\r\nHost: ", host, "\r\n");
  for (const HttpHeader& header : request.headers) {
    absl::StrAppend(&head, header.name, ": ", header.value, "\r\n");
  }
  if (pace.closes) {
    absl::StrAppend(&head, "Connection: close\r\n");
  }
  if (pace.chunked) {
    absl::StrAppend(&head, "Transfer-Encoding: chunked\r\n");
  } else if (request.method != "GET") {
    absl::StrAppend(&head, "Content-Length: ", request.body.size(), "\r\n");
  }
  std::vector<std::string> pieces{head + "\r\n"};
  const std::size_t size =
      request.body.size() / static_cast<std::size_t>(pace.pieces) + 1;
  for (std::size_t at = 0; at < request.body.size(); at += size) {
    const std::string part = request.body.substr(at, size);
    pieces.push_back(pace.chunked ? absl::StrCat(absl::Hex(part.size()), "\r\n",
                                                 part, "\r\n")
                                  : part);
  }
  if (pace.chunked) {
    pieces.back() += "0\r\n\r\n";
  }
  if (pace.pieces == 1 && pieces.size() > 1) {
    pieces = {pieces[0] + pieces[1]};
  }
  return pieces;
}

}  // namespace

PacedConnection::PacedConnection(asio::io_context& io)
    : m_socket(io), m_timeout(io), m_write_timer(io), m_read_timer(io) {}

void PacedConnection::Open(const std::string& address,
                           Duration timeout,
                           OpenedCallback callback) {
  m_opened = std::move(callback);
  const auto finish = [self = shared_from_this()](bool opened) {
    if (const auto done = std::exchange(self->m_opened, nullptr)) {
      self->m_timeout.cancel();
      if (opened) {
        self->BecomeIdle();
      } else {
        self->Close();
      }
      done(opened);
    }
  };
  m_timeout.expires_after(timeout);
  m_timeout.async_wait([finish](error_code error) {
    if (!error) {
      finish(false);
    }
  });
  const std::optional<NetworkAddress> parsed = ParseNetworkAddress(address);
  m_socket.async_connect({asio::ip::make_address(parsed->host), parsed->port},
                         [finish](error_code error) { finish(!error); });
}

void PacedConnection::BecomeIdle() {
  m_is_idle = true;
  m_socket.async_wait(
      asio::ip::tcp::socket::wait_read,
      [self = shared_from_this(), exchange = m_exchange](error_code error) {
        if (!error && self->m_is_idle && self->m_exchange == exchange) {
          self->Close();
        }
      });
}

void PacedConnection::Send(const HttpRequest& request,
                           const std::string& host,
                           const ExchangePace& pace,
                           Duration timeout,
                           SentCallback sent,
                           EndCallback callback) {
  m_is_idle = false;
  ++m_exchange;
  m_is_sent = false;
  m_sent = std::move(sent);
  m_ended = std::move(callback);
  error_code ignored;
  m_socket.cancel(ignored);
  m_reads_slowly = pace.reads_slowly;
  m_pieces = Encode(request, host, pace);
  m_piece_interval =
      pace.write_time /
      std::max<std::int64_t>(1, static_cast<std::int64_t>(m_pieces.size()) - 1);
  m_timeout.expires_after(timeout);
  m_timeout.async_wait(
      [self = shared_from_this(), exchange = m_exchange](error_code error) {
        if (!error && self->m_exchange == exchange) {
          self->End(ExchangeEnd::kGivenUp);
        }
      });
  m_read_since_pause = 0;
  m_reader.Begin(std::numeric_limits<std::uint64_t>::max());
  WritePiece(0);
  Read();
}

void PacedConnection::WritePiece(std::size_t index) {
  // An error is ignored: a server may answer before it has read all, and
  // reading shows how the exchange ends.
  asio::async_write(m_socket, asio::buffer(m_pieces[index]),
                    [self = shared_from_this(), index, exchange = m_exchange](
                        error_code error, std::size_t) {
                      if (error || self->m_exchange != exchange) {
                        return;
                      }
                      if (index + 1 == self->m_pieces.size()) {
                        self->m_is_sent = true;
                        self->m_sent();
                        return;
                      }
                      self->m_write_timer.expires_after(self->m_piece_interval);
                      self->m_write_timer.async_wait(
                          [self, index, exchange](error_code cancelled) {
                            if (!cancelled && self->m_exchange == exchange) {
                              self->WritePiece(index + 1);
                            }
                          });
                    });
}

void PacedConnection::Read() {
  m_reader.ReadSome(m_socket,
                    [self = shared_from_this(), exchange = m_exchange](
                        error_code error, std::size_t bytes) {
                      if (self->m_exchange == exchange) {
                        self->m_read_since_pause += bytes;
                        self->OnRead(error);
                      }
                    });
}

void PacedConnection::OnRead(error_code error) {
  if (m_reader.IsInvalid()) {
    End(ExchangeEnd::kInvalid);
  } else if (error == http::error::end_of_stream ||
             error == http::error::partial_message ||
             error == asio::error::eof) {
    OnServerClosed();
  } else if (error) {
    End(ExchangeEnd::kReset);
  } else if (m_reader.IsDone()) {
    End(ExchangeEnd::kAnswered);
  } else if (m_reads_slowly && m_read_since_pause >= kReadBytes) {
    m_read_since_pause = 0;
    m_read_timer.expires_after(kReadInterval);
    m_read_timer.async_wait([self = shared_from_this(),
                             exchange = m_exchange](error_code cancelled) {
      if (!cancelled && self->m_exchange == exchange) {
        self->Read();
      }
    });
  } else {
    Read();
  }
}

void PacedConnection::OnServerClosed() {
  m_read_timer.expires_after(kResetDelay);
  m_read_timer.async_wait(
      [self = shared_from_this(), exchange = m_exchange](error_code cancelled) {
        if (cancelled || self->m_exchange != exchange) {
          return;
        }
        // A reset after the end of stream shows only here; reading goes on to
        // return the end of stream.
        int error = 0;
        socklen_t size = sizeof(error);
        ::getsockopt(self->m_socket.native_handle(), SOL_SOCKET, SO_ERROR,
                     &error, &size);
        self->End(error == 0 ? ExchangeEnd::kClosed : ExchangeEnd::kReset);
      });
}

void PacedConnection::End(ExchangeEnd end) {
  ++m_exchange;
  m_timeout.cancel();
  m_write_timer.cancel();
  ExchangeResult result;
  result.end = end;
  const bool keeps =
      end == ExchangeEnd::kAnswered && m_is_sent && m_reader.KeepsConnection();
  if (end == ExchangeEnd::kAnswered) {
    result.answer = m_reader.Take().value();
  }
  if (keeps) {
    BecomeIdle();
  } else {
    Close();
  }
  const EndCallback callback = std::exchange(m_ended, nullptr);
  callback(std::move(result));
}

void PacedConnection::Close() {
  m_is_idle = false;
  ++m_exchange;
  m_opened = nullptr;
  m_timeout.cancel();
  m_write_timer.cancel();
  m_read_timer.cancel();
  error_code ignored;
  m_socket.close(ignored);
}

}  // namespace kumquatcove::stand_in
