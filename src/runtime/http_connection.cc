#include "runtime/http_connection.h"

#include <cassert>
#include <cerrno>
#include <chrono>
#include <utility>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "runtime/beast_message.h"
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

constexpr std::uint32_t kMaxHeaderBytes = 64U * 1024U;
// Bytes that are read but not parsed yet: a header, or a line of a chunked
// body, which the parser doesn't bound.
constexpr std::size_t kMaxUnparsedBytes = std::size_t{2} * kMaxHeaderBytes;
// Interim answers, and answers to earlier requests, before the awaited one.
constexpr int kMaxSkippedAnswers = 32;
constexpr int kFirstFinalStatus = 200;

enum class ConnectionState { kNew, kOpening, kIdle, kBusy, kClosed };

}  // namespace

class HttpConnection::Implementation
    : public std::enable_shared_from_this<HttpConnection::Implementation> {
 public:
  Implementation(asio::io_context& context,
                 std::size_t max_answer_bytes,
                 std::shared_ptr<ByteBudget> budget)
      : m_context(context),
        m_stream(context),
        m_max_answer_bytes(max_answer_bytes),
        m_budget(budget != nullptr
                     ? std::move(budget)
                     : std::make_shared<ByteBudget>(max_answer_bytes)),
        m_reserved(m_budget) {}

  void Open(const std::string& address,
            Duration timeout,
            OpenedCallback callback) {
    assert(m_state == ConnectionState::kNew);
    m_state = ConnectionState::kOpening;
    m_opened = std::move(callback);
    const std::optional<NetworkAddress> parsed = ParseNetworkAddress(address);
    if (!parsed) {
      asio::post(m_context, [self = shared_from_this()] {
        self->Guard([&] { self->OnConnected(asio::error::invalid_argument); });
      });
      return;
    }
    m_stream.expires_after(timeout);
    m_stream.async_connect(
        asio::ip::tcp::endpoint(asio::ip::make_address(parsed->host),
                                parsed->port),
        [self = shared_from_this()](const error_code& error) {
          self->Guard([&] { self->OnConnected(error); });
        });
  }

  void Send(HttpRequest request,
            const std::string& host,
            Duration timeout,
            BelongsFunction belongs,
            AnsweredCallback callback) {
    assert(m_state == ConnectionState::kIdle);
    m_state = ConnectionState::kBusy;
    ++m_generation;
    m_skipped = 0;
    m_belongs = std::move(belongs);
    m_answered = std::move(callback);
    m_is_head = request.method == "HEAD";
    if (!IsValidMethod(request.method) || !IsValidTarget(request.target)) {
      PostFail();
      return;
    }
    m_stream.expires_after(timeout);
    RunGuarded(
        [&] {
          m_request = ToBeast(std::move(request), host);
          Write();
        },
        [this](std::string_view error) {
          ReportMessageFailure(kIdKey, m_message_id, error);
          PostFail();
        });
  }

  void Write() {
    m_writing = true;
    m_write_error = {};
    m_has_request = true;
    http::async_write(
        m_stream, m_request,
        [self = shared_from_this()](const error_code& error, std::size_t) {
          self->Guard([&] { self->OnWritten(error); });
        });
    ReadAnswer();
  }

  void SetMessageId(std::string id) { m_message_id = std::move(id); }

  void Close() {
    m_state = ConnectionState::kClosed;
    ++m_generation;
    m_reserved.Release();
    m_opened = nullptr;
    m_answered = nullptr;
    m_idle_lost = nullptr;
    error_code ignored;
    if (!m_has_request) {
      SetResetOnClose(false);
    }
    m_stream.socket().close(ignored);
  }

  void SetOnIdleLost(LostCallback callback) {
    m_idle_lost = std::move(callback);
  }

  bool IsIdle() const { return m_state == ConnectionState::kIdle; }

  bool IsUsable() {
    char byte = 0;
    return IsIdle() &&
           ::recv(m_stream.socket().native_handle(), &byte, sizeof(byte),
                  MSG_PEEK | MSG_DONTWAIT) < 0 &&
           (errno == EAGAIN || errno == EWOULDBLOCK);
  }

  void EnableKeepAlive() { m_keep_alive = true; }

 private:
  /** Sets whether closing the socket resets the connection, so that the kernel
   * discards the bytes that the server hasn't received. */
  void SetResetOnClose(bool reset) {
    error_code ignored;
    m_stream.socket().set_option(asio::socket_base::linger(reset, 0), ignored);
  }

  static constexpr std::string_view kIdKey = "attempt";

  /** Runs a handler of this connection. An exception fails the exchange in
   * progress and closes the connection. */
  template <class Work>
  void Guard(Work work) {
    RunGuarded(work, [this](std::string_view error) {
      ReportMessageFailure(kIdKey, m_message_id, error);
      RunGuarded(
          [this] {
            Fail();
            Close();
          },
          [this](std::string_view next) {
            ReportMessageFailure(kIdKey, m_message_id, next);
          });
    });
  }

  /** Fails the exchange in progress after the present handler. */
  void PostFail() {
    asio::post(m_context, [self = shared_from_this()] {
      self->Guard([&] { self->Fail(); });
    });
  }

  void SetKeepAlive() {
    using Seconds = std::chrono::seconds;
    constexpr int kProbeInterval = 1;
    constexpr int kProbes =
        std::chrono::duration_cast<Seconds>(kStallTimeout).count() - 1;
    const int socket = m_stream.socket().native_handle();
    const int on = 1;
    const auto limit = static_cast<unsigned>(
        std::chrono::duration_cast<std::chrono::milliseconds>(kStallTimeout)
            .count());
    const bool set =
        ::setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on)) == 0 &&
        ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &kProbeInterval,
                     sizeof(kProbeInterval)) == 0 &&
        ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &kProbeInterval,
                     sizeof(kProbeInterval)) == 0 &&
        ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &kProbes,
                     sizeof(kProbes)) == 0 &&
        ::setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit,
                     sizeof(limit)) == 0;
    if (!set) {
      LogWarning(LogLine("keep_alive_unavailable").Add("error", errno));
    }
  }

  void OnConnected(const error_code& error) {
    if (m_state != ConnectionState::kOpening) {
      return;
    }
    const OpenedCallback callback = std::exchange(m_opened, nullptr);
    if (error) {
      Close();
    } else {
      error_code ignored;
      m_stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
      // Set in advance, since a timer or the end of the process may close the
      // socket as well.
      SetResetOnClose(true);
      if (m_keep_alive) {
        SetKeepAlive();
      }
      BecomeIdle();
    }
    callback(!error);
  }

  void BecomeIdle() {
    m_state = ConnectionState::kIdle;
    m_stream.expires_never();
    m_stream.socket().async_wait(
        asio::ip::tcp::socket::wait_read,
        [self = shared_from_this(),
         generation = m_generation](const error_code&) {
          if (self->m_generation == generation) {
            self->Guard([&] { self->OnReadableWhileIdle(); });
          }
        });
  }

  /** Closes the connection: without a pending request, readable data is either
   * the end of the connection or an unsolicited answer. */
  void OnReadableWhileIdle() {
    const LostCallback callback = std::exchange(m_idle_lost, nullptr);
    Close();
    if (callback) {
      callback();
    }
  }

  void ReadAnswer() {
    m_reserved.Release();
    m_parser.emplace();
    m_parser->eager(true);
    m_parser->header_limit(kMaxHeaderBytes);
    m_parser->body_limit(m_max_answer_bytes);
    m_parser->skip(m_is_head);
    m_buffer.BeginAnswer(m_is_head);
    ReadMore();
  }

  /** A server may answer and close before it has read the whole request, so a
   * write error alone doesn't fail the exchange. */
  void OnWritten(const error_code& error) {
    m_writing = false;
    m_write_error = error;
    if (m_state == ConnectionState::kBusy && m_awaits_write) {
      OnEndOfStream();
    }
  }

  /** Reads in parts, so that the body is counted while it arrives. */
  void ReadMore() {
    http::async_read_some(
        m_stream, m_buffer, *m_parser,
        [self = shared_from_this()](const error_code& error, std::size_t) {
          self->Guard([&] { self->OnRead(error); });
        });
  }

  void OnRead(const error_code& error) {
    if (m_state != ConnectionState::kBusy) {
      return;
    }
    if (error || !IsFramingValid() || !ReserveBody()) {
      Fail();
    } else if (!m_parser->is_done()) {
      ReadMore();
    } else if (m_buffer.IsUntilClose()) {
      OnEndOfStream();
    } else {
      OnAnswer();
    }
  }

  /**
   * Decides whether an answer that extends to the end of its connection is
   * whole, which it is only if the server ended the stream in order (RFC 9112,
   * 8).
   *
   * The kernel reports a reset to one operation. If that is the write, the read
   * returns an end of stream all the same. A write to a connection whose stream
   * ended in order before it was reset fails with a broken pipe instead.
   */
  void OnEndOfStream() {
    m_awaits_write = m_writing && IsConnectionDown();
    if (m_awaits_write) {
      return;
    }
    if (!m_write_error || m_write_error == asio::error::broken_pipe) {
      OnAnswer();
      return;
    }
    LogWarning(LogLine("answer_incomplete")
                   .Add(kIdKey, m_message_id)
                   .Add("status", m_parser->get().result_int())
                   .Add("bytes", m_parser->get().body().size())
                   .Add("error", m_write_error.message()));
    Fail();
  }

  /** Returns whether both directions of the connection have ended, so that a
   * write in progress fails. */
  bool IsConnectionDown() {
    pollfd events{m_stream.socket().native_handle(), 0, 0};
    return ::poll(&events, 1, 0) > 0 &&
           (events.revents & (POLLERR | POLLHUP)) != 0;
  }

  bool IsFramingValid() const {
    const FramingProblem problem =
        m_parser->is_done() ? m_buffer.ProblemOfWhole() : m_buffer.Problem();
    if (problem == FramingProblem::kNone) {
      return true;
    }
    LogWarning(LogLine("answer_framing_invalid")
                   .Add("problem", ToString(problem))
                   .Add("status", m_parser->get().result_int()));
    return false;
  }

  bool ReserveBody() {
    const std::string& body = m_parser->get().body();
    if (m_reserved.GrowTo(body.capacity())) {
      return true;
    }
    LogWarning(LogLine("answer_too_large")
                   .Add("bytes", body.size())
                   .Add("all_bytes", m_budget->Reserved()));
    return false;
  }

  void OnAnswer() {
    if (m_parser->get().result_int() < kFirstFinalStatus) {
      ReadNextAnswer();
      return;
    }
    HttpResult result;
    result.keep_alive = m_buffer.KeepsConnection() && m_buffer.size() == 0 &&
                        !m_writing && !m_write_error && !m_has_stray_answers;
    result.answer.status = static_cast<int>(m_parser->get().result_int());
    result.answer.headers = m_buffer.TakeHeaders();
    result.answer.body = std::move(m_parser->get().body());
    if (m_belongs && !m_belongs(result.answer)) {
      SkipAnswer();
      return;
    }
    m_reserved.Release();
    // The rest of a request that was answered early must not follow.
    m_has_request = m_writing;
    const AnsweredCallback callback = std::exchange(m_answered, nullptr);
    if (result.keep_alive) {
      BecomeIdle();
    } else {
      Close();
    }
    callback(std::move(result));
  }

  /** Discards an answer that belongs to an earlier request and reads the next
   * one. */
  void SkipAnswer() {
    const bool last = !m_buffer.KeepsConnection();
    m_has_stray_answers = true;
    if (last) {
      Fail();
    } else {
      ReadNextAnswer();
    }
  }

  /** Reads the next answer to the same request, unless there were too many. */
  void ReadNextAnswer() {
    if (++m_skipped > kMaxSkippedAnswers) {
      Fail();
    } else {
      ReadAnswer();
    }
  }

  void Fail() {
    if (m_state != ConnectionState::kBusy || !m_answered) {
      return;
    }
    const AnsweredCallback callback = std::exchange(m_answered, nullptr);
    Close();
    callback(std::nullopt);
  }

  asio::io_context& m_context;
  beast::tcp_stream m_stream;
  std::size_t m_max_answer_bytes;
  ConnectionState m_state = ConnectionState::kNew;
  OpenedCallback m_opened;
  AnsweredCallback m_answered;
  LostCallback m_idle_lost;
  BeastRequest m_request;
  std::string m_message_id;
  BelongsFunction m_belongs;
  bool m_is_head = false;
  bool m_writing = false;
  /** Why the request could not be written whole. */
  error_code m_write_error;
  /** Whether the result of the write decides if the answer is whole. */
  bool m_awaits_write = false;
  /** Whether closing the connection gives up a request. */
  bool m_has_request = false;
  /** Answers skipped since the request was sent. */
  int m_skipped = 0;
  bool m_has_stray_answers = false;
  bool m_keep_alive = false;
  std::shared_ptr<ByteBudget> m_budget;
  /** Memory for the body. */
  ByteReservation m_reserved;
  CheckedBuffer m_buffer{kMaxUnparsedBytes};
  std::optional<http::response_parser<http::string_body>> m_parser;
  /** Incremented to invalidate a pending wait for readable data. */
  std::uint64_t m_generation = 0;
};

HttpConnection::HttpConnection(IoThread& io,
                               std::size_t max_answer_bytes,
                               std::shared_ptr<ByteBudget> budget)
    : m_implementation(std::make_shared<Implementation>(io.Context(),
                                                        max_answer_bytes,
                                                        std::move(budget))) {}

HttpConnection::~HttpConnection() {
  m_implementation->Close();
}

void HttpConnection::Open(const std::string& address,
                          Duration timeout,
                          OpenedCallback callback) {
  m_implementation->Open(address, timeout, std::move(callback));
}

void HttpConnection::Send(HttpRequest request,
                          const std::string& host,
                          Duration timeout,
                          BelongsFunction belongs,
                          AnsweredCallback callback) {
  m_implementation->Send(std::move(request), host, timeout, std::move(belongs),
                         std::move(callback));
}

void HttpConnection::EnableKeepAlive() {
  m_implementation->EnableKeepAlive();
}

void HttpConnection::SetIdleLostCallback(LostCallback callback) {
  m_implementation->SetOnIdleLost(std::move(callback));
}

void HttpConnection::Close() {
  m_implementation->Close();
}

void HttpConnection::SetMessageId(std::string id) {
  m_implementation->SetMessageId(std::move(id));
}

bool HttpConnection::IsIdle() const {
  return m_implementation->IsIdle();
}

bool HttpConnection::IsUsable() const {
  return m_implementation->IsUsable();
}

}  // namespace kumquatcove
