#ifndef TOOLS_CALLER_CONNECTIONS_H_
#define TOOLS_CALLER_CONNECTIONS_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "base/clock_reading.h"
#include "tools/http_client.h"

namespace kumquatcove {

/**
 * Connections of callers to entry instances; one request at a time on each,
 * kept open for later ones.
 *
 * Thread safety: none; used from the thread that runs the I/O context.
 */
class CallerConnections {
 public:
  using Done = std::function<void(HttpResult)>;

  explicit CallerConnections(boost::asio::io_context& io);
  ~CallerConnections();
  CallerConnections(const CallerConnections&) = delete;
  CallerConnections& operator=(const CallerConnections&) = delete;

  /** Sends a request to `address` and calls `done` exactly once, never from
   * within this call. */
  void Exchange(const std::string& address,
                const ToolRequest& request,
                Duration timeout,
                Done done);

 private:
  class Connection;
  using ConnectionPointer = std::shared_ptr<Connection>;

  ConnectionPointer TakeIdle(const std::string& address);

  boost::asio::io_context& m_io;
  std::map<std::string, std::vector<ConnectionPointer>> m_idle;
};

}  // namespace kumquatcove

#endif  // TOOLS_CALLER_CONNECTIONS_H_
