#include "emulator/http_server.h"

#include <algorithm>
#include <utility>

namespace kumquatcove::emulator {

namespace asio = boost::asio;

HttpServer::HttpServer(asio::io_context& io,
                       asio::ip::tcp::endpoint endpoint,
                       HttpSession::Handler handler,
                       Duration connection_cost)
    : m_endpoint(std::move(endpoint)),
      m_acceptor(io),
      m_handler(std::move(handler)),
      m_connection_cost(connection_cost) {}

HttpServer::~HttpServer() {
  StopListening();
  ResetConnections();
}

void HttpServer::Open() {
  m_acceptor.open(m_endpoint.protocol());
  m_acceptor.set_option(asio::socket_base::reuse_address(true));
  m_acceptor.bind(m_endpoint);
  m_acceptor.listen(asio::socket_base::max_listen_connections);
  m_endpoint = m_acceptor.local_endpoint();
  Accept();
}

void HttpServer::StopListening() {
  boost::system::error_code ignored;
  m_acceptor.close(ignored);
}

void HttpServer::Finish() {
  m_is_finishing = true;
  StopListening();
  for (const auto& weak : m_sessions) {
    if (const auto session = weak.lock()) {
      session->Finish();
    }
  }
}

bool HttpServer::HasConnections() const {
  return std::any_of(m_sessions.begin(), m_sessions.end(),
                     [](const auto& weak) { return !weak.expired(); });
}

void HttpServer::ResetConnections() {
  for (const auto& weak : std::exchange(m_sessions, {})) {
    if (const auto session = weak.lock()) {
      session->Reset();
    }
  }
}

void HttpServer::SilenceConnections() {
  // Silent sessions stay in the list, so that a later reset reaches them too.
  for (const auto& weak : m_sessions) {
    if (const auto session = weak.lock()) {
      session->Silence();
    }
  }
}

void HttpServer::Accept() {
  m_acceptor.async_accept(
      [this](boost::system::error_code error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted) {
          return;
        }
        if (!error) {
          const auto session =
              std::make_shared<HttpSession>(std::move(socket), m_handler);
          ForgetClosed();
          m_sessions.push_back(session);
          m_max_connections = std::max(m_max_connections, m_sessions.size());
          session->Start(m_connection_cost);
          if (m_is_finishing) {
            // Accepted before the port was closed.
            session->Finish();
          }
        }
        if (m_acceptor.is_open()) {
          Accept();
        }
      });
}

void HttpServer::ForgetClosed() {
  m_sessions.erase(
      std::remove_if(m_sessions.begin(), m_sessions.end(),
                     [](const auto& weak) { return weak.expired(); }),
      m_sessions.end());
}

}  // namespace kumquatcove::emulator
