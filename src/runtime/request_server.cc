#include "runtime/request_server.h"

#include <algorithm>
#include <atomic>
#include <cassert>
#include <optional>
#include <stdexcept>
#include <unordered_map>
#include <utility>

#include <sys/socket.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "runtime/beast_message.h"
#include "runtime/byte_budget.h"
#include "runtime/checked_buffer.h"
#include "runtime/http_fields.h"
#include "runtime/log_line.h"
#include "runtime/message_guard.h"
#include "runtime/network_address.h"

namespace kumquatcove {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::int32_t kBadRequest = 400;
constexpr std::int32_t kPayloadTooLarge = 413;
constexpr std::int32_t kHeaderTooLarge = 431;
constexpr std::int32_t kServiceUnavailable = 503;
/** Bytes that may be read beyond a header. They also bound the size lines and
 * trailers of chunked bodies, which the parser doesn't. */
constexpr std::size_t kReadAheadBytes = 65'536;
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
/** Pause after a failed accept, which would otherwise fail again immediately
 * while the process has no free file descriptors. */
constexpr std::chrono::milliseconds kAcceptPause(50);
/** Maximum number of connections beyond the limit that are answered with a
 * refusal at the same time; further ones are closed immediately. */
constexpr std::size_t kMaxRefusedConnections = 64;
/** Value of Retry-After in seconds for a request refused for lack of memory,
 * since sending a large body takes about this long. */
constexpr std::string_view kBodyRetryAfter = "1";
/** Time for the first request of a connection that was accepted as the server
 * stopped, and for the rest of a header. */
constexpr Duration kLastReadTime = Seconds(1);
/** Maximum time for discarding the rest of a refused request. */
constexpr std::chrono::seconds kDiscardTime(2);

/** Returns exchange numbers that are unique across all servers of the process.
 */
std::uint64_t NextExchangeNumber() {
  static std::atomic<std::uint64_t> count = 0;
  return ++count;
}

std::int32_t StatusOfParseError(const error_code& error) {
  if (error == http::error::body_limit) {
    return kPayloadTooLarge;
  }
  return error == http::error::header_limit ||
                 error == http::error::buffer_overflow
             ? kHeaderTooLarge
             : kBadRequest;
}

/** Returns whether the error is a parse error rather than a network error. */
bool IsParseError(const error_code& error) {
  return error.category() ==
             make_error_code(http::error::bad_method).category() &&
         error != http::error::end_of_stream &&
         error != http::error::partial_message;
}

class Session;

/** State shared by a server and its sessions. */
struct ServerState {
  RequestServerLimits limits;
  HttpHandler* handler = nullptr;
  std::size_t connections = 0;
  std::size_t accepted = 0;
  /** Memory for request bodies. */
  std::shared_ptr<ByteBudget> body_budget;
  /** If set, connections are closed after their next answer. */
  bool closing = false;
  /** If set, only requests of which a part has arrived are read. */
  bool stopped = false;
  /** All sessions, keyed by object address. */
  std::unordered_map<Session*, std::weak_ptr<Session>> sessions;
  std::unordered_map<std::uint64_t, std::shared_ptr<Session>> waiting;
};

/** One connection of a client. */
class Session : public std::enable_shared_from_this<Session> {
 public:
  Session(asio::ip::tcp::socket socket, std::shared_ptr<ServerState> state)
      : m_stream(std::move(socket)),
        m_state(std::move(state)),
        m_reserved(m_state->body_budget) {
    ++m_state->connections;
    error_code ignored;
    m_remote = m_stream.socket().remote_endpoint(ignored).address().to_string();
    m_stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
  }

  ~Session() {
    --m_state->connections;
    m_state->sessions.erase(this);
  }
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  void ReadRequest() {
    m_state->sessions[this] = weak_from_this();
    m_parser.emplace();
    m_parser->header_limit(
        static_cast<std::uint32_t>(m_state->limits.max_header_bytes));
    m_parser->body_limit(m_state->limits.max_body_bytes);
    m_buffer.max_size(m_state->limits.max_header_bytes + kReadAheadBytes);
    m_buffer.BeginRequest();
    ReadHeader();
  }

  /** Closes the connection unless a part of a request has arrived. Only the
   * read itself knows that, so it is cancelled rather than the socket closed:
   * a read that has completed already still delivers its request. */
  void StopReading() {
    if (m_awaits_header) {
      m_stream.cancel();
    }
  }

  /** Refuses the connection because the connection limit is reached. */
  void Refuse() {
    m_stream.expires_after(m_state->limits.idle);
    Guard([this] {
      Write(m_state->handler->OnMalformed(kServiceUnavailable,
                                          "too many connections"),
            false);
    });
  }

  void Answer(HttpAnswer answer) {
    m_reserved.Release();
    ++m_generation;
    m_stream.expires_after(m_state->limits.idle);
    Guard([&] {
      // A pipelined request that has arrived gets its answer, too.
      Write(std::move(answer), m_buffer.KeepsConnection() &&
                                   (!m_state->closing || HasUnreadInput()));
    });
    m_exchange = 0;
  }

 private:
  /** Runs a handler of this session. An exception becomes an error for the
   * client, and the connection is closed. */
  template <class Work>
  void Guard(Work work) {
    RunGuarded(work, [this](std::string_view error) { OnFailed(error); });
  }

  void OnFailed(std::string_view error) {
    const ExchangeId failed{std::exchange(m_exchange, 0)};
    m_reserved.Release();
    ++m_generation;
    m_state->waiting.erase(failed.number);
    const bool can_answer = !m_writing && !m_failed;
    m_failed = true;
    RunGuarded(
        [&] {
          HttpAnswer answer = m_state->handler->OnFailed(failed, error);
          if (can_answer) {
            m_stream.expires_after(m_state->limits.idle);
            Write(std::move(answer), false);
          } else {
            CloseSocket();
          }
        },
        [this](std::string_view) { CloseSocket(); });
  }

  void ReadHeader() {
    m_awaits_header = true;
    m_stream.expires_after(m_state->stopped
                               ? std::min(m_state->limits.idle, kLastReadTime)
                               : m_state->limits.idle);
    http::async_read_header(
        m_stream, m_buffer, *m_parser,
        [self = shared_from_this()](const error_code& error, std::size_t) {
          self->Guard([&] { self->OnHeader(error); });
        });
  }

  void OnHeader(const error_code& error) {
    m_awaits_header = false;
    if (error == asio::error::operation_aborted && m_state->stopped) {
      // A new connection's first request may still be on its way.
      const bool is_new = !m_has_read && !std::exchange(m_waited, true);
      if (is_new || HasInput()) {
        ReadHeader();
      }
      return;
    }
    if (error || m_buffer.Problem() != FramingProblem::kNone) {
      OnReadError(error);
      return;
    }
    const auto length = m_parser->content_length();
    if (length && !m_reserved.GrowTo(static_cast<std::size_t>(*length))) {
      RefuseBody();
      return;
    }
    if (beast::iequals(m_parser->get()[http::field::expect], "100-continue")) {
      asio::async_write(
          m_stream, asio::buffer(kContinue.data(), kContinue.size()),
          [self = shared_from_this()](const error_code& failed, std::size_t) {
            if (!failed) {
              self->Guard([&] { self->ReadBody(); });
            }
          });
      return;
    }
    ReadBody();
  }

  void ReadBody() {
    if (m_parser->is_done()) {
      OnBody();
      return;
    }
    m_stream.expires_after(m_state->limits.idle);
    http::async_read_some(
        m_stream, m_buffer, *m_parser,
        [self = shared_from_this()](const error_code& error, std::size_t) {
          self->Guard([&] { self->OnBodyPart(error); });
        });
  }

  /** Returns whether a part of the next request has arrived. */
  bool HasInput() { return m_parser->got_some() || HasUnreadInput(); }

  bool HasUnreadInput() {
    error_code ignored;
    return m_buffer.size() > 0 || m_stream.socket().available(ignored) > 0;
  }

  void OnBodyPart(const error_code& error) {
    if (error || m_buffer.Problem() != FramingProblem::kNone) {
      OnReadError(error);
    } else if (!m_reserved.GrowTo(m_parser->get().body().size())) {
      RefuseBody();
    } else {
      ReadBody();
    }
  }

  /** Refuses a request whose body exceeds the available body memory. */
  void RefuseBody() {
    m_reserved.Release();
    HttpAnswer answer = m_state->handler->OnMalformed(
        kServiceUnavailable, "too many large bodies in progress");
    answer.headers.push_back({"Retry-After", std::string(kBodyRetryAfter)});
    Write(std::move(answer), false);
  }

  void CloseSocket() {
    error_code ignored;
    m_stream.socket().close(ignored);
  }

  void OnReadError(const error_code& error) {
    m_reserved.Release();
    const FramingProblem problem = m_buffer.Problem();
    if (problem != FramingProblem::kNone) {
      Write(m_state->handler->OnMalformed(kBadRequest, ToString(problem)),
            false);
    } else if (IsParseError(error)) {
      Write(m_state->handler->OnMalformed(StatusOfParseError(error),
                                          error.message()),
            false);
    }
  }

  void OnBody() {
    if (const FramingProblem problem = m_buffer.ProblemOfWhole();
        problem != FramingProblem::kNone) {
      m_reserved.Release();
      Write(m_state->handler->OnMalformed(kBadRequest, ToString(problem)),
            false);
      return;
    }
    m_stream.expires_never();
    const BeastRequest& message = m_parser->get();
    ServedRequest request;
    request.exchange.number = NextExchangeNumber();
    request.remote_address = m_remote;
    request.http.method = std::string(message.method_string());
    request.http.target = std::string(message.target());
    request.http.headers = m_buffer.TakeHeaders();
    request.http.body = std::move(m_parser->get().body());
    m_has_read = true;
    m_exchange = request.exchange.number;
    m_state->waiting[m_exchange] = shared_from_this();
    WatchForClose();
    m_state->handler->OnRequest(std::move(request));
  }

  /** Detects that the client closes its connection before the answer. */
  void WatchForClose() {
    m_stream.socket().async_wait(
        asio::ip::tcp::socket::wait_read,
        [self = shared_from_this(),
         generation = m_generation](const error_code& error) {
          if (self->m_generation == generation) {
            self->Guard([&] { self->OnReadableWhileWaiting(error); });
          }
        });
  }

  void OnReadableWhileWaiting(const error_code& error) {
    char byte = 0;
    const auto received = ::recv(m_stream.socket().native_handle(), &byte, 1,
                                 MSG_PEEK | MSG_DONTWAIT);
    const bool more_data = received > 0;
    const bool spurious =
        received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    if (!error && more_data) {
      return;  // A pipelined request, read after the answer.
    }
    if (!error && spurious) {
      WatchForClose();
      return;
    }
    const ExchangeId disconnected{std::exchange(m_exchange, 0)};
    m_reserved.Release();
    ++m_generation;
    m_state->waiting.erase(disconnected.number);
    error_code ignored;
    m_stream.socket().close(ignored);
    m_state->handler->OnClientDisconnected(disconnected);
  }

  void Write(HttpAnswer answer, bool keep_alive) {
    const bool is_head = m_parser && m_parser->is_header_done() &&
                         m_parser->get().method() == http::verb::head;
    m_response.emplace(ToBeast(std::move(answer), keep_alive, is_head));
    m_writing = true;
    http::async_write(
        m_stream, *m_response,
        [self = shared_from_this(), keep_alive](const error_code& error,
                                                std::size_t) {
          self->m_writing = false;
          self->Guard([&] { self->OnWritten(error, keep_alive); });
        });
  }

  void OnWritten(const error_code& error, bool keep_alive) {
    if (error) {
      return;
    }
    if (keep_alive) {
      ReadRequest();
      return;
    }
    error_code ignored;
    m_stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    m_stream.expires_after(kDiscardTime);
    DiscardInput();
  }

  /** Reads and discards further input, since closing a socket with unread input
   * would reset the connection and lose the answer. */
  void DiscardInput() {
    m_discarded.resize(kDiscardBytes);
    m_stream.async_read_some(
        asio::buffer(m_discarded),
        [self = shared_from_this()](const error_code& error, std::size_t size) {
          self->m_discard_total += size;
          if (!error && self->m_discard_total < kMaxDiscardBytes) {
            self->DiscardInput();
          }
        });
  }

  static constexpr std::size_t kDiscardBytes = 16'384;
  static constexpr std::size_t kMaxDiscardBytes = 4U << 20U;

  beast::tcp_stream m_stream;
  std::shared_ptr<ServerState> m_state;
  std::string m_remote;
  CheckedBuffer m_buffer;
  std::optional<http::request_parser<http::string_body>> m_parser;
  std::optional<BeastResponse> m_response;
  std::string m_discarded;
  std::size_t m_discard_total = 0;
  /** Memory for the body. */
  ByteReservation m_reserved;
  /** Number of the unanswered exchange, or 0. */
  std::uint64_t m_exchange = 0;
  /** Whether the header of a request is being awaited or read. */
  bool m_awaits_header = false;
  /** Whether the connection has carried a request. */
  bool m_has_read = false;
  /** Whether a stopped server has waited for the connection's first request. */
  bool m_waited = false;
  /** Whether an answer is being written. */
  bool m_writing = false;
  /** Whether an exception left a handler; the connection then ends. */
  bool m_failed = false;
  /** Incremented to invalidate a pending wait for readable data. */
  std::uint64_t m_generation = 0;
};

asio::ip::tcp::endpoint ParseEndpoint(const std::string& address) {
  const std::optional<NetworkAddress> parsed = ParseNetworkAddress(address);
  if (!parsed) {
    throw std::runtime_error("not an IP number and port: " + address);
  }
  return {asio::ip::make_address(parsed->host), parsed->port};
}

}  // namespace

class RequestServer::Implementation
    : public std::enable_shared_from_this<RequestServer::Implementation> {
 public:
  Implementation(asio::io_context& context,
                 const std::string& address,
                 RequestServerLimits limits,
                 HttpHandler& handler)
      : m_acceptor(context),
        m_pause(context),
        m_state(std::make_shared<ServerState>()) {
    m_state->limits = limits;
    m_state->body_budget =
        std::make_shared<ByteBudget>(limits.max_buffered_bytes);
    m_state->handler = &handler;
    try {
      const asio::ip::tcp::endpoint endpoint = ParseEndpoint(address);
      m_acceptor.open(endpoint.protocol());
      m_acceptor.set_option(asio::socket_base::reuse_address(true));
      m_acceptor.bind(endpoint);
      m_acceptor.listen();
      m_port = m_acceptor.local_endpoint().port();
    } catch (const std::exception& error) {
      throw std::runtime_error("can't listen at " + address + ": " +
                               error.what());
    }
  }

  void Accept() {
    m_acceptor.async_accept(
        [self = shared_from_this()](const error_code& error,
                                    asio::ip::tcp::socket socket) {
          self->OnAccepted(error, std::move(socket));
        });
  }

  void Answer(ExchangeId exchange, HttpAnswer answer) {
    const auto found = m_state->waiting.find(exchange.number);
    if (found == m_state->waiting.end()) {
      return;
    }
    const std::shared_ptr<Session> session = std::move(found->second);
    m_state->waiting.erase(found);
    session->Answer(std::move(answer));
  }

  void SetLimits(RequestServerLimits limits) { m_state->limits = limits; }

  void CloseAfterAnswers() { m_state->closing = true; }

  void StopReading() {
    m_state->stopped = true;
    m_state->closing = true;
    AcceptQueued();
    error_code ignored;
    m_acceptor.close(ignored);
    LogInfo(
        LogLine("intake_stopped")
            .Add("port", m_port)
            .Add("connections", static_cast<std::int64_t>(m_state->connections))
            .Add("unanswered",
                 static_cast<std::int64_t>(m_state->waiting.size())));
    const auto sessions = m_state->sessions;
    for (const auto& [address, session] : sessions) {
      if (const std::shared_ptr<Session> open = session.lock()) {
        open->StopReading();
      }
    }
  }

  /** Releases the sessions with unanswered requests, which form reference
   * cycles with the server state. */
  void ReleaseWaiting() {
    error_code ignored;
    m_acceptor.close(ignored);
    const auto dropped = std::move(m_state->waiting);
    m_state->waiting.clear();
  }

  std::size_t AcceptedConnections() const { return m_state->accepted; }

  std::size_t OpenConnections() const { return m_state->connections; }

  std::uint16_t Port() const { return m_port; }

 private:
  /** Accepts the connections that the kernel has established: closing the
   * acceptor would reset them, with the requests that they carry. */
  void AcceptQueued() {
    error_code error;
    m_acceptor.non_blocking(true, error);
    for (std::size_t i = 0; !error && i < m_state->limits.max_connections;
         ++i) {
      asio::ip::tcp::socket socket(m_acceptor.get_executor());
      m_acceptor.accept(socket, error);
      if (!error) {
        Serve(std::move(socket));
      }
    }
  }

  void OnAccepted(const error_code& error, asio::ip::tcp::socket socket) {
    if (error == asio::error::operation_aborted) {
      return;
    }
    if (error) {
      m_pause.expires_after(kAcceptPause);
      m_pause.async_wait(
          [self = shared_from_this()](const error_code& cancelled) {
            if (!cancelled && self->m_acceptor.is_open()) {
              self->Accept();
            }
          });
      return;
    }
    Serve(std::move(socket));
    if (m_acceptor.is_open()) {
      Accept();
    }
  }

  void Serve(asio::ip::tcp::socket socket) {
    const std::size_t excess_limit =
        m_state->limits.max_connections + kMaxRefusedConnections;
    const bool full = m_state->connections >= m_state->limits.max_connections;
    if (m_state->connections >= excess_limit) {
      return;
    }
    ++m_state->accepted;
    const auto session = std::make_shared<Session>(std::move(socket), m_state);
    if (full) {
      session->Refuse();
    } else {
      session->ReadRequest();
    }
  }

  asio::ip::tcp::acceptor m_acceptor;
  std::uint16_t m_port = 0;
  asio::steady_timer m_pause;
  std::shared_ptr<ServerState> m_state;
};

RequestServer::RequestServer(IoThread& io,
                             const std::string& address,
                             RequestServerLimits limits,
                             HttpHandler& handler)
    : m_implementation(std::make_shared<Implementation>(io.Context(),
                                                        address,
                                                        limits,
                                                        handler)) {
  m_implementation->Accept();
}

RequestServer::~RequestServer() {
  m_implementation->ReleaseWaiting();
}

void RequestServer::Answer(ExchangeId exchange, HttpAnswer answer) {
  m_implementation->Answer(exchange, std::move(answer));
}

void RequestServer::SetLimits(RequestServerLimits limits) {
  m_implementation->SetLimits(limits);
}

void RequestServer::StopReading() {
  m_implementation->StopReading();
}

void RequestServer::CloseAfterAnswers() {
  m_implementation->CloseAfterAnswers();
}

std::size_t RequestServer::AcceptedConnections() const {
  return m_implementation->AcceptedConnections();
}

std::size_t RequestServer::OpenConnections() const {
  return m_implementation->OpenConnections();
}

std::uint16_t RequestServer::Port() const {
  return m_implementation->Port();
}

}  // namespace kumquatcove
