#include "dispatch/idle_connections.h"

#include <algorithm>
#include <utility>

namespace kumquatcove {

void IdleConnections::Add(const UpstreamId& upstream,
                          ConnectionId connection,
                          std::optional<Duration> idle_limit,
                          MonotonicTime now) {
  Duration usable = kMaxIdle;
  if (idle_limit) {
    usable = std::min(usable, std::chrono::duration_cast<Duration>(
                                  *idle_limit * kUsableShare));
  }
  m_upstreams[upstream].push_back({connection, now, now + usable});
  m_connections[connection] = upstream;
}

std::optional<ConnectionId> IdleConnections::Take(const UpstreamId& upstream,
                                                  bool idempotent,
                                                  MonotonicTime now) {
  const auto found = m_upstreams.find(upstream);
  if (found == m_upstreams.end() || found->second.empty()) {
    return std::nullopt;
  }
  const Idle newest = found->second.back();
  const bool fit = now < newest.usable_until &&
                   (idempotent || now < newest.since + kMaxIdleNonIdempotent);
  if (!fit) {
    return std::nullopt;
  }
  found->second.pop_back();
  m_connections.erase(newest.connection);
  return newest.connection;
}

std::size_t IdleConnections::Count(const UpstreamId& upstream) const {
  const auto found = m_upstreams.find(upstream);
  return found == m_upstreams.end() ? 0 : found->second.size();
}

bool IdleConnections::Remove(ConnectionId connection) {
  const auto found = m_connections.find(connection);
  if (found == m_connections.end()) {
    return false;
  }
  std::erase_if(m_upstreams[found->second], [&](const Idle& idle) {
    return idle.connection == connection;
  });
  m_connections.erase(found);
  return true;
}

std::vector<ConnectionId> IdleConnections::TakeAll(const UpstreamId& upstream) {
  std::vector<ConnectionId> taken;
  const auto found = m_upstreams.find(upstream);
  if (found == m_upstreams.end()) {
    return taken;
  }
  for (const Idle& idle : found->second) {
    taken.push_back(idle.connection);
    m_connections.erase(idle.connection);
  }
  m_upstreams.erase(found);
  return taken;
}

std::vector<ConnectionId> IdleConnections::TakeExpired(MonotonicTime now) {
  std::vector<ConnectionId> taken;
  for (auto& [upstream, idles] : m_upstreams) {
    std::erase_if(idles, [&](const Idle& idle) {
      if (now < idle.usable_until) {
        return false;
      }
      taken.push_back(idle.connection);
      return true;
    });
  }
  for (const ConnectionId connection : taken) {
    m_connections.erase(connection);
  }
  return taken;
}

}  // namespace kumquatcove
