#include "dispatch/crash_checks.h"

#include <algorithm>
#include <utility>

namespace kumquatcove {

bool CrashChecks::Join(const UpstreamId& upstream, std::uint64_t content_hash) {
  for (auto& [connection, check] : m_checks) {
    if (check.upstream == upstream) {
      check.contents.push_back(content_hash);
      return true;
    }
  }
  return false;
}

void CrashChecks::Start(ConnectionId connection, CrashCheck check) {
  m_checks[connection] = std::move(check);
}

std::optional<CrashCheck> CrashChecks::Take(ConnectionId connection) {
  const auto found = m_checks.find(connection);
  if (found == m_checks.end()) {
    return std::nullopt;
  }
  CrashCheck check = std::move(found->second);
  m_checks.erase(found);
  return check;
}

bool CrashChecks::IsRunning(const UpstreamId& upstream) const {
  return std::any_of(m_checks.begin(), m_checks.end(), [&](const auto& item) {
    return item.second.upstream == upstream;
  });
}

std::vector<ConnectionId> CrashChecks::FindDue(MonotonicTime now) const {
  std::vector<ConnectionId> connections;
  for (const auto& [connection, check] : m_checks) {
    if (now > check.due) {
      connections.push_back(connection);
    }
  }
  return connections;
}

}  // namespace kumquatcove
