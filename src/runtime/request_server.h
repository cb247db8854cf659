#ifndef RUNTIME_REQUEST_SERVER_H_
#define RUNTIME_REQUEST_SERVER_H_

#include <cstdint>
#include <memory>
#include <string>

#include "base/clock_reading.h"
#include "runtime/http_handler.h"
#include "runtime/io_thread.h"

namespace kumquatcove {

/** Limits that keep one client from using up a server. */
struct RequestServerLimits {
  std::size_t max_header_bytes = 16'384;
  std::size_t max_body_bytes = kMaxBodyBytes;
  /** Bytes of the bodies of all requests in progress; what goes beyond is
   * refused. A body is held up to three times, so that bodies take at most 120
   * MiB; the users' smallest instances have 160 MB. */
  std::size_t max_buffered_bytes = 40U << 20U;
  /** Longest time for reading one request, or between two requests. */
  Duration idle{Seconds(30)};
  std::size_t max_connections = 4096;
};

/**
 * HTTP/1.1 server on one port.
 *
 * A connection carries one request at a time; each gets exactly one answer.
 * Thread safety: the constructor may run on any thread, all other functions
 * only on the IoThread. The IoThread must be stopped before this object is
 * destroyed.
 */
class RequestServer {
 public:
  /**
   * Binds `address` (IP number and port, 0 for any) and starts to accept.
   *
   * Throws std::runtime_error that names the address if it can't be bound.
   */
  RequestServer(IoThread& io,
                const std::string& address,
                RequestServerLimits limits,
                HttpHandler& handler);
  ~RequestServer();
  RequestServer(const RequestServer&) = delete;
  RequestServer& operator=(const RequestServer&) = delete;

  /** Answers a request; does nothing if it was answered or its client is gone.
   */
  void Answer(ExchangeId exchange, HttpAnswer answer);

  /** Sets what clients may send from the next request on. */
  void SetLimits(RequestServerLimits limits);

  /** Closes each connection with its next answer from now on. */
  void CloseAfterAnswers();

  /** Accepts no connection and reads no request from now on; connections
   * without a request in progress are closed. Requests that were read are still
   * answered. */
  void StopReading();

  /** Returns how many connections have been accepted so far. */
  std::size_t AcceptedConnections() const;

  /** Returns the port that was bound. */
  std::uint16_t Port() const;

 private:
  class Implementation;
  std::shared_ptr<Implementation> m_implementation;
};

}  // namespace kumquatcove

#endif  // RUNTIME_REQUEST_SERVER_H_
