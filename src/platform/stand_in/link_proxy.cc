#include "platform/stand_in/link_proxy.h"

#include <chrono>
#include <deque>
#include <string>
#include <string_view>
#include <utility>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <boost/asio/buffer.hpp>
#include <boost/asio/socket_base.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "emulator/steady_clock.h"

namespace kumquatcove::stand_in {

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

/** Time for which a client can read a part of an answer before the reset. */
constexpr Duration kTimeUntilReset = Milliseconds(10);

/** Returns the value of a header in the bytes of a request; empty if absent. */
std::string FindValue(std::string_view bytes, const std::string& name) {
  const std::string line = "\r\n" + name + ": ";
  const std::size_t found = bytes.find(line);
  if (found == std::string_view::npos) {
    return {};
  }
  const std::string_view value = bytes.substr(found + line.size());
  return std::string(value.substr(0, value.find('\r')));
}

}  // namespace

/** Two sockets and the bytes between them. */
class LinkProxy::Connection
    : public std::enable_shared_from_this<LinkProxy::Connection> {
 public:
  Connection(boost::asio::io_context& io,
             tcp::socket client,
             std::shared_ptr<const LinkFault> fault)
      : m_client(std::move(client)),
        m_server(io),
        m_to_server{m_client, m_server, boost::asio::steady_timer(io)},
        m_to_client{m_server, m_client, boost::asio::steady_timer(io)},
        m_fault(std::move(fault)) {}

  void Start(const tcp::endpoint& server) {
    m_server.async_connect(
        server, [self = shared_from_this()](const error_code& error) {
          if (error) {
            self->Reset();
            return;
          }
          self->Read(self->m_to_server);
          self->Read(self->m_to_client);
        });
  }

  void Reset() {
    for (tcp::socket* socket : {&m_client, &m_server}) {
      error_code ignored;
      socket->set_option(boost::asio::socket_base::linger(true, 0), ignored);
      socket->close(ignored);
    }
    m_to_server.timer.cancel();
    m_to_client.timer.cancel();
  }

  /** Carries nothing from now on, in either direction. */
  void Silence() { m_silent = true; }

  /** Passes on what a cut has held. */
  void OnFaultChanged() {
    Write(m_to_server);
    Write(m_to_client);
  }

 private:
  struct Chunk {
    MonotonicTime due;
    /** Empty at the end of what the sender sends. */
    std::string bytes;
  };
  struct Direction {
    tcp::socket& from;
    tcp::socket& to;
    boost::asio::steady_timer timer;
    std::array<char, 16'384> buffer{};
    std::deque<Chunk> chunks;
    bool writing = false;
    bool ended = false;
  };

  bool IsCut(const Direction& direction) const {
    return *m_fault == (&direction == &m_to_server ? LinkFault::kCutToServer
                                                   : LinkFault::kCutToClient);
  }

  void Read(Direction& direction) {
    direction.from.async_read_some(
        boost::asio::buffer(direction.buffer),
        [self = shared_from_this(), &direction](const error_code& error,
                                                std::size_t size) {
          self->OnRead(direction, error, size);
        });
  }

  void OnRead(Direction& direction, const error_code& error, std::size_t size) {
    if (m_silent) {
      // Both ends keep their sockets, as on a link without a route.
      if (!error) {
        Read(direction);
      }
      return;
    }
    if (error && error != boost::asio::error::eof) {
      Reset();
      return;
    }
    if (*m_fault == LinkFault::kBreaksOffUploads &&
        &direction == &m_to_server &&
        BreakOffUpload({direction.buffer.data(), size})) {
      return;
    }
    const Duration delay =
        *m_fault == LinkFault::kDelayed ? kDelay : Duration(0);
    direction.chunks.push_back({emulator::ReadMonotonicClock() + delay,
                                std::string(direction.buffer.data(), size)});
    Write(direction);
    if (!error) {
      Read(direction);
    }
  }

  /** Answers an upload in part and then resets the connection, without reading
   * on. Returns false if `bytes` don't begin an upload. */
  bool BreakOffUpload(std::string_view bytes) {
    std::size_t length = 0;
    if (!absl::SimpleAtoi(FindValue(bytes, "Content-Length"), &length) ||
        length < kUploadBytes) {
      return false;
    }
    m_part = absl::StrCat(
        "HTTP/1.1 200 OK\r\nAttempt-Id: ", FindValue(bytes, "Attempt-Id"),
        "\r\nServer-Seal: sealed\r\n\r\npart");
    boost::asio::async_write(
        m_client, boost::asio::buffer(m_part),
        [self = shared_from_this()](const error_code& /*error*/, std::size_t) {
          self->m_to_server.timer.expires_after(kTimeUntilReset);
          self->m_to_server.timer.async_wait(
              [self](const error_code& /*error*/) { self->Reset(); });
        });
    return true;
  }

  void Write(Direction& direction) {
    if (direction.writing || direction.chunks.empty() || m_silent ||
        IsCut(direction)) {
      return;
    }
    direction.writing = true;
    const Duration wait =
        direction.chunks.front().due - emulator::ReadMonotonicClock();
    if (wait > Duration(0)) {
      direction.timer.expires_after(wait);
      direction.timer.async_wait(
          [self = shared_from_this(), &direction](const error_code& error) {
            direction.writing = false;
            if (!error) {
              self->Write(direction);
            }
          });
      return;
    }
    if (direction.chunks.front().bytes.empty()) {
      End(direction);
      return;
    }
    boost::asio::async_write(
        direction.to, boost::asio::buffer(direction.chunks.front().bytes),
        [self = shared_from_this(), &direction](const error_code& error,
                                                std::size_t) {
          direction.writing = false;
          direction.chunks.pop_front();
          if (error) {
            self->Reset();
          } else {
            self->Write(direction);
          }
        });
  }

  void End(Direction& direction) {
    direction.ended = true;
    error_code ignored;
    if (m_to_server.ended && m_to_client.ended) {
      m_client.close(ignored);
      m_server.close(ignored);
    } else {
      direction.to.shutdown(tcp::socket::shutdown_send, ignored);
    }
  }

  tcp::socket m_client;
  tcp::socket m_server;
  Direction m_to_server;
  Direction m_to_client;
  std::shared_ptr<const LinkFault> m_fault;
  /** Part of an answer that is written to the client. */
  std::string m_part;
  bool m_silent = false;
};

LinkProxy::LinkProxy(boost::asio::io_context& io, tcp::endpoint listen)
    : m_io(io),
      m_listen(std::move(listen)),
      m_acceptor(io),
      m_fault(std::make_shared<LinkFault>(LinkFault::kNone)) {}

LinkProxy::~LinkProxy() {
  Close();
}

void LinkProxy::Open(const tcp::endpoint& server) {
  m_server = server;
  m_acceptor.open(m_listen.protocol());
  m_acceptor.set_option(tcp::acceptor::reuse_address(true));
  m_acceptor.bind(m_listen);
  m_acceptor.listen();
  m_listen = m_acceptor.local_endpoint();
  Accept();
}

void LinkProxy::Close() {
  error_code ignored;
  m_acceptor.close(ignored);
  for (const std::weak_ptr<Connection>& connection : m_connections) {
    if (const std::shared_ptr<Connection> open = connection.lock()) {
      open->Reset();
    }
  }
  m_connections.clear();
}

void LinkProxy::SetFault(LinkFault fault) {
  *m_fault = fault;
  for (const std::weak_ptr<Connection>& connection : m_connections) {
    const std::shared_ptr<Connection> open = connection.lock();
    if (!open) {
      continue;
    }
    if (fault == LinkFault::kReset) {
      open->Reset();
    } else if (fault == LinkFault::kOpenSilent) {
      open->Silence();
    } else {
      open->OnFaultChanged();
    }
  }
}

void LinkProxy::Accept() {
  m_acceptor.async_accept([this](const error_code& error, tcp::socket socket) {
    if (error) {
      return;
    }
    std::erase_if(m_connections, [](const std::weak_ptr<Connection>& known) {
      return known.expired();
    });
    const auto connection =
        std::make_shared<Connection>(m_io, std::move(socket), m_fault);
    if (*m_fault == LinkFault::kReset) {
      connection->Reset();
    } else {
      connection->Start(m_server);
      m_connections.push_back(connection);
    }
    Accept();
  });
}

}  // namespace kumquatcove::stand_in
