#ifndef PLATFORM_STAND_IN_LINK_PROXY_H_
#define PLATFORM_STAND_IN_LINK_PROXY_H_

#include <array>
#include <cstdint>
#include <memory>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "base/clock_reading.h"
#include "base/enum_table.h"

namespace kumquatcove::stand_in {

/** What a link does to the connections that pass it. */
enum class LinkFault {
  kNone,
  /** Bytes arrive late, in both directions. */
  kDelayed,
  /** Open connections carry nothing any more, for good; new ones work. */
  kOpenSilent,
  /** Bytes towards the server are held until the fault ends. */
  kCutToServer,
  /** Bytes towards the client are held until the fault ends. */
  kCutToClient,
  /** Open connections and new ones are reset. */
  kReset,
  /** Uploads are answered in part before they have been read, and their
   * connections then reset. */
  kBreaksOffUploads,
};

constexpr auto EnumNames(LinkFault) {
  using Row = EnumName<LinkFault>;
  return std::array{Row{LinkFault::kNone, "none"},
                    Row{LinkFault::kDelayed, "delayed"},
                    Row{LinkFault::kOpenSilent, "open connections silent"},
                    Row{LinkFault::kCutToServer, "cut to the server"},
                    Row{LinkFault::kCutToClient, "cut to the client"},
                    Row{LinkFault::kReset, "reset"},
                    Row{LinkFault::kBreaksOffUploads, "breaks off uploads"}};
}

/**
 * Passes TCP connections on to a server and harms them on request.
 *
 * Thread safety: none; used from the thread that runs the I/O context.
 */
class LinkProxy {
 public:
  /** By how much a delayed link delays each direction. */
  static constexpr Duration kDelay = Milliseconds(120);
  /** Size from which a body counts as an upload; more than the kernel holds for
   * one connection, so that it is still being written when it is answered. */
  static constexpr std::size_t kUploadBytes = 8U << 20U;

  /** `listen` is where clients connect. */
  LinkProxy(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint listen);
  ~LinkProxy();
  LinkProxy(const LinkProxy&) = delete;
  LinkProxy& operator=(const LinkProxy&) = delete;

  /** Begins to accept connections, which go on to `server`. Throws
   * boost::system::system_error if the address is taken. */
  void Open(const boost::asio::ip::tcp::endpoint& server);

  /** Refuses new connections and resets the others, as if the server were
   * gone. */
  void Close();

  /** Begins a fault, or ends one with kNone. */
  void SetFault(LinkFault fault);

  /** Returns where clients connect; the port is known after Open. */
  const boost::asio::ip::tcp::endpoint& Endpoint() const { return m_listen; }

 private:
  class Connection;

  void Accept();

  boost::asio::io_context& m_io;
  boost::asio::ip::tcp::endpoint m_listen;
  boost::asio::ip::tcp::endpoint m_server;
  boost::asio::ip::tcp::acceptor m_acceptor;
  /** Shared with the connections, which may outlive this object shortly. */
  std::shared_ptr<LinkFault> m_fault;
  std::vector<std::weak_ptr<Connection>> m_connections;
};

}  // namespace kumquatcove::stand_in

#endif  // PLATFORM_STAND_IN_LINK_PROXY_H_
