#ifndef RUNTIME_HTTP_CONNECTION_H_
#define RUNTIME_HTTP_CONNECTION_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/clock_reading.h"
#include "protocol/http_message.h"
#include "runtime/byte_budget.h"
#include "runtime/io_thread.h"

namespace kumquatcove {

/** Answer of a server. `keep_alive` is false if the connection cannot be
 * reused. */
struct HttpResult {
  HttpAnswer answer;
  bool keep_alive = false;
};

/**
 * One TCP connection of an HTTP client. It processes one request at a time.
 *
 * A connection that failed or timed out is closed and never reused. Each
 * callback is called once, on the IoThread, unless Close is called first.
 * Thread safety: all functions run on the IoThread.
 */
class HttpConnection {
 public:
  using OpenedCallback = std::function<void(bool opened)>;
  /** Receives `std::nullopt` if the connection failed, timed out or did not
   * return valid HTTP. */
  using AnsweredCallback = std::function<void(std::optional<HttpResult>)>;
  using LostCallback = std::function<void()>;
  /** Returns whether an answer belongs to the request that was sent. */
  using BelongsFunction = std::function<bool(const HttpAnswer&)>;

  /** Answers whose body is longer than `max_answer_bytes`, or doesn't fit into
   * `budget` while it is read, are treated as failures. Connections that share
   * a budget run on the same IoThread; without one, only the former counts. */
  explicit HttpConnection(IoThread& io,
                          std::size_t max_answer_bytes = kMaxBodyBytes,
                          std::shared_ptr<ByteBudget> budget = nullptr);
  /** Closes the connection. */
  ~HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  /** Connects to `address`. Precondition: called once. */
  void Open(const std::string& address,
            Duration timeout,
            OpenedCallback callback);

  /**
   * Sends `request` immediately and waits for the complete answer.
   *
   * `host` is the value of the header `Host`. An answer for which `belongs`
   * returns false is skipped, and the connection is closed after the exchange.
   * If `belongs` is empty, every answer is accepted. Preconditions: the
   * connection is open and idle.
   */
  void Send(HttpRequest request,
            const std::string& host,
            Duration timeout,
            BelongsFunction belongs,
            AnsweredCallback callback);

  /** Enables TCP keep-alive probes, so that a stalled connection is closed
   * within kStallTimeout. Must be called before Open. */
  void EnableKeepAlive();

  /** Time after which a stalled connection with keep-alive probes is closed. */
  static constexpr Duration kStallTimeout = Seconds(3);

  /** Sets the function that is called when the server closes the connection
   * while it is idle. */
  void SetIdleLostCallback(LostCallback callback);

  /** Closes the connection; no callback is called afterwards. A request that
   * isn't answered is given up: the connection is reset, so that bytes which
   * the kernel still holds don't reach the server later. The same holds if the
   * connection times out or the process ends. */
  void Close();

  bool IsIdle() const;

  /** Returns whether the connection is idle and the kernel has received neither
   * its end nor unsolicited bytes, of which IsIdle learns later. */
  bool IsUsable() const;

  /** Sets the id under which failures of the next exchanges are logged. */
  void SetMessageId(std::string id);

 private:
  class Implementation;
  std::shared_ptr<Implementation> m_implementation;
};

}  // namespace kumquatcove

#endif  // RUNTIME_HTTP_CONNECTION_H_
