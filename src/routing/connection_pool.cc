#include "routing/connection_pool.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace kumquatcove {
namespace {

// Shorter than the keep-alive time of common HTTP servers (60 s and more), so
// that a request is seldom sent on a connection that the upstream is closing.
constexpr Duration kIdleLimit = Seconds(30);
constexpr Duration kSweepInterval = Seconds(1);

// Number of abandoned connections stored for CloseStalledConnections.
constexpr std::size_t kMaximumAbandoned = 1024;

/** Returns the maximum number of connections of this instance to an upstream of
 * the service. */
std::size_t ConnectionShare(const Context& context,
                            const ServiceName& service) {
  const ServiceEntry* entry = context.Catalogue().FindService(service);
  if (entry == nullptr) {
    return 0;
  }
  const std::int32_t instances =
      std::max(context.Catalogue().Topology().max_instances, 1);
  const std::int32_t share =
      std::max(entry->limits.connections_per_upstream / instances,
               entry->limits.slots_per_upstream);
  return static_cast<std::size_t>(std::max(share, 1));
}

bool IsAtDeclaredAddress(const Context& context,
                         const UpstreamId& upstream,
                         const std::string& address) {
  const UpstreamRecord* record = context.Catalogue().FindUpstream(upstream);
  return record != nullptr && record->declaration.address == address;
}

}  // namespace

std::optional<AcquiredConnection> ConnectionPool::Acquire(
    Context& context,
    const UpstreamId& upstream,
    TicketId ticket,
    bool fresh) {
  const UpstreamRecord* record = context.Catalogue().FindUpstream(upstream);
  if (record == nullptr) {
    return std::nullopt;
  }
  UpstreamConnections& connections = m_upstreams[upstream];
  if (!fresh && !connections.idle.empty()) {
    const ConnectionId id = connections.idle.back();
    Connection& connection = m_connections.at(id);
    if (connection.address == record->declaration.address) {
      connections.idle.pop_back();
      connection.state = State::kBusy;
      connection.ticket = ticket;
      return AcquiredConnection{id, true};
    }
  }
  const std::size_t share = ConnectionShare(context, record->service);
  if (connections.open >= share && !connections.idle.empty()) {
    Close(context, connections.idle.front());
  }
  if (m_upstreams[upstream].open >= share) {
    return std::nullopt;
  }
  return AcquiredConnection{Open(context, *record, ticket), false};
}

std::optional<PoolEvent> ConnectionPool::OnOpened(Context& /*context*/,
                                                  ConnectionId connection) {
  const auto found = m_connections.find(connection);
  if (found == m_connections.end() || found->second.state != State::kOpening) {
    return std::nullopt;
  }
  found->second.state = State::kBusy;
  return PoolEvent{PoolEventKind::kReady, found->second.ticket,
                   found->second.upstream};
}

std::optional<PoolEvent> ConnectionPool::OnLost(Context& /*context*/,
                                                ConnectionId connection) {
  const auto found = m_connections.find(connection);
  if (found == m_connections.end()) {
    return std::nullopt;
  }
  const Connection lost = found->second;
  Remove(connection);
  if (lost.state == State::kIdle) {
    return std::nullopt;
  }
  const PoolEventKind kind = lost.state == State::kOpening
                                 ? PoolEventKind::kOpenFailed
                                 : PoolEventKind::kBroken;
  return PoolEvent{kind, lost.ticket, lost.upstream};
}

std::optional<TicketId> ConnectionPool::OnAnswered(Context& context,
                                                   ConnectionId connection,
                                                   bool keep_alive) {
  const auto found = m_connections.find(connection);
  if (found == m_connections.end() || found->second.state != State::kBusy) {
    return std::nullopt;
  }
  Connection& answered = found->second;
  const TicketId ticket = answered.ticket;
  if (keep_alive &&
      IsAtDeclaredAddress(context, answered.upstream, answered.address)) {
    answered.state = State::kIdle;
    answered.idle_since = context.Now();
    m_upstreams[answered.upstream].idle.push_back(connection);
  } else {
    Close(context, connection);
  }
  return ticket;
}

void ConnectionPool::Abandon(Context& context, ConnectionId connection) {
  const auto found = m_connections.find(connection);
  if (found == m_connections.end()) {
    return;
  }
  m_abandoned.push_back({connection, found->second.upstream});
  if (m_abandoned.size() > kMaximumAbandoned) {
    m_abandoned.pop_front();
  }
  Close(context, connection);
}

void ConnectionPool::CloseStalledConnections(Context& context,
                                             ConnectionId connection) {
  const UpstreamId* upstream = UpstreamOf(connection);
  if (upstream == nullptr) {
    upstream = UpstreamOfAbandoned(connection);
  }
  if (upstream == nullptr) {
    return;
  }
  const auto found = m_upstreams.find(*upstream);
  if (found == m_upstreams.end()) {
    return;
  }
  const std::vector<ConnectionId> idle = found->second.idle;
  for (const ConnectionId other : idle) {
    if (other <= connection) {
      Close(context, other);
    }
  }
}

const UpstreamId* ConnectionPool::UpstreamOf(ConnectionId connection) const {
  const auto found = m_connections.find(connection);
  return found == m_connections.end() ? nullptr : &found->second.upstream;
}

void ConnectionPool::OnTick(Context& context) {
  if (context.Now() < m_next_sweep) {
    return;
  }
  m_next_sweep = context.Now() + kSweepInterval;
  std::vector<ConnectionId> stale;
  for (const auto& [id, connection] : m_connections) {
    if (connection.state == State::kIdle &&
        (context.Now() - connection.idle_since >= kIdleLimit ||
         !IsAtDeclaredAddress(context, connection.upstream,
                              connection.address))) {
      stale.push_back(id);
    }
  }
  for (const ConnectionId id : stale) {
    Close(context, id);
  }
}

ConnectionId ConnectionPool::Open(Context& context,
                                  const UpstreamRecord& upstream,
                                  TicketId ticket) {
  const ConnectionId id{++m_last_id};
  Connection connection;
  connection.upstream = upstream.declaration.id;
  connection.address = upstream.declaration.address;
  connection.ticket = ticket;
  m_connections.emplace(id, std::move(connection));
  ++m_upstreams[upstream.declaration.id].open;
  context.Emit(OpenConnection{id, upstream.declaration.id,
                              upstream.declaration.address});
  return id;
}

void ConnectionPool::Remove(ConnectionId connection) {
  const auto found = m_connections.find(connection);
  assert(found != m_connections.end());
  const auto upstream = m_upstreams.find(found->second.upstream);
  assert(upstream != m_upstreams.end());
  auto& idle = upstream->second.idle;
  idle.erase(std::remove(idle.begin(), idle.end(), connection), idle.end());
  if (--upstream->second.open == 0) {
    m_upstreams.erase(upstream);
  }
  m_connections.erase(found);
}

void ConnectionPool::Close(Context& context, ConnectionId connection) {
  Remove(connection);
  context.Emit(CloseConnection{connection});
}

const UpstreamId* ConnectionPool::UpstreamOfAbandoned(
    ConnectionId connection) const {
  const auto found = std::find_if(m_abandoned.begin(), m_abandoned.end(),
                                  [&](const AbandonedConnection& abandoned) {
                                    return abandoned.connection == connection;
                                  });
  return found == m_abandoned.end() ? nullptr : &found->upstream;
}

}  // namespace kumquatcove
