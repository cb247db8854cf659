#ifndef RUNTIME_HTTP_CONNECTION_H_
#define RUNTIME_HTTP_CONNECTION_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/clock_reading.h"
#include "protocol/http_message.h"
#include "runtime/io_thread.h"

namespace kumquatcove {

/** Answer of a server, and whether it keeps the connection open. */
struct HttpResult {
  HttpAnswer answer;
  bool keep_alive = false;
};

/**
 * One TCP connection of an HTTP client; it carries one request at a time.
 *
 * A connection that failed or timed out is closed and never used again. Each
 * callback is called once, on the IoThread, unless Close comes first. Thread
 * safety: all functions run on the IoThread.
 */
class HttpConnection {
 public:
  using OpenedCallback = std::function<void(bool opened)>;
  /** Gets nothing if the connection broke, timed out or sent no HTTP. */
  using AnsweredCallback = std::function<void(std::optional<HttpResult>)>;
  using LostCallback = std::function<void()>;
  /** Returns whether an answer belongs to the request that was sent. */
  using BelongsFunction = std::function<bool(const HttpAnswer&)>;

  /** Answers whose body is longer than `max_answer_bytes` count as failures. */
  explicit HttpConnection(IoThread& io,
                          std::size_t max_answer_bytes = kMaxBodyBytes);
  /** Closes the connection. */
  ~HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  /** Connects to `address`. Precondition: called once. */
  void Open(const std::string& address,
            Duration timeout,
            OpenedCallback callback);

  /**
   * Sends `request` at once and waits for the whole answer.
   *
   * `host` is the value of the header `Host`. An answer that doesn't belong to
   * the request is skipped, and the connection isn't kept after that; without
   * `belongs` all do. Preconditions: the connection is open and idle.
   */
  void Send(HttpRequest request,
            const std::string& host,
            Duration timeout,
            BelongsFunction belongs,
            AnsweredCallback callback);

  /** Lets the kernel probe the server while nothing is received, so that a
   * connection that went silent is lost within kSilenceLimit. Called before
   * Open. */
  void EnableKeepAlive();

  /** Time after which a silent connection with probes is lost. */
  static constexpr Duration kSilenceLimit = Seconds(3);

  /** Sets the function that is called when the server closes the connection
   * while it is idle. */
  void OnIdleLost(LostCallback callback);

  /** Closes the connection; no callback is called afterwards. */
  void Close();

  bool IsIdle() const;

 private:
  class Implementation;
  std::shared_ptr<Implementation> m_implementation;
};

}  // namespace kumquatcove

#endif  // RUNTIME_HTTP_CONNECTION_H_
