#ifndef RUNTIME_REQUEST_SERVER_H_
#define RUNTIME_REQUEST_SERVER_H_

#include <cstdint>
#include <memory>
#include <string>

#include "base/clock_reading.h"
#include "runtime/http_handler.h"
#include "runtime/io_thread.h"

namespace kumquatcove {

/** Resource limits of a server. */
struct RequestServerLimits {
  std::size_t max_header_bytes = kMaxRequestHeadBytes;
  std::size_t max_body_bytes = kMaxBodyBytes;
  /** Total body size of all requests in progress, in bytes; requests beyond it
   * are refused. Up to three copies of a body exist, so bodies use at most 120
   * MiB; the users' smallest instances have 160 MB. */
  std::size_t max_buffered_bytes = 40U << 20U;
  /** Timeout for reading one request and for waiting between two requests. */
  Duration idle{Seconds(30)};
  std::size_t max_connections = 4096;
};

/**
 * HTTP/1.1 server on one port.
 *
 * A connection processes one request at a time; each request gets exactly one
 * answer. Thread safety: the constructor may run on any thread, all other
 * functions only on the IoThread. The IoThread must be stopped before this
 * object is destroyed.
 */
class RequestServer {
 public:
  /**
   * Binds `address` (IP address and port, where 0 selects a free port) and
   * starts accepting connections.
   *
   * Throws std::runtime_error that names the address if it cannot be bound.
   */
  RequestServer(IoThread& io,
                const std::string& address,
                RequestServerLimits limits,
                HttpHandler& handler);
  ~RequestServer();
  RequestServer(const RequestServer&) = delete;
  RequestServer& operator=(const RequestServer&) = delete;

  /** Answers a request. Does nothing if it was already answered or its client
   * has disconnected. */
  void Answer(ExchangeId exchange, HttpAnswer answer);

  /** Sets the limits that apply from the next request on. */
  void SetLimits(RequestServerLimits limits);

  /** From now on, closes each connection after its next answer. */
  void CloseAfterAnswers();

  /** Stops accepting connections and closes those on which no part of a request
   * has arrived. Every other request is still read, passed to the handler and
   * answered, and its connection closed after the answer. */
  void StopReading();

  /** Returns the number of connections accepted so far. */
  std::size_t AcceptedConnections() const;

  /** Returns the number of connections that are open now. */
  std::size_t OpenConnections() const;

  /** Returns the bound port. */
  std::uint16_t Port() const;

 private:
  class Implementation;
  std::shared_ptr<Implementation> m_implementation;
};

}  // namespace kumquatcove

#endif  // RUNTIME_REQUEST_SERVER_H_
