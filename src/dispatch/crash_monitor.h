#ifndef DISPATCH_CRASH_MONITOR_H_
#define DISPATCH_CRASH_MONITOR_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "base/clock_reading.h"
#include "base/name.h"
#include "dispatch/crash_checks.h"
#include "dispatch/crash_suspicions.h"
#include "dispatch/dispatch_request.h"
#include "dispatch/upstream_connections.h"
#include "dispatch/upstream_table.h"
#include "dispatch/zone_distances.h"
#include "protocol/context.h"
#include "protocol/peer_message.h"

namespace kumquatcove {

/**
 * Finds upstreams that have crashed, and the request contents that crash them.
 *
 * An upstream whose connection broke, or that is unresponsive for too long, is
 * checked by a new connection. Thread safety: none.
 */
class CrashMonitor {
 public:
  /** The references must outlive this object. */
  CrashMonitor(const UpstreamTable& upstreams,
               const ZoneDistances& distances,
               UpstreamConnections& connections)
      : m_upstreams(upstreams),
        m_distances(distances),
        m_connections(connections) {}

  /** Checks an upstream whose connection broke during a request, within
   * `timeout`. */
  void OnConnectionBroken(Context& context,
                          const UpstreamId& upstream,
                          std::uint64_t content_hash,
                          Duration timeout);

  /** Starts a check of an upstream that has been unresponsive for too long
   * since a request was sent to it. */
  void CheckIfUnresponsive(Context& context, const DispatchRequest& request);

  /** Ends and returns the check that uses a connection; returns `std::nullopt`
   * if no check uses it. */
  std::optional<CrashCheck> Take(ConnectionId connection) {
    return m_checks.Take(connection);
  }
  /** Returns the connections of checks that are due. */
  std::vector<ConnectionId> FindDue(MonotonicTime now) const {
    return m_checks.FindDue(now);
  }

  /** Suspects the contents of a check whose upstream has crashed. */
  void SuspectContents(Context& context, const CrashCheck& check);
  /** Handles a report of another instance on a content hash. */
  void OnSuspicion(Context& context, const Suspicion& suspicion);
  /** Clears a content that an upstream has answered successfully. */
  void OnSuccess(const UpstreamId& upstream, std::uint64_t content_hash);
  /** Returns whether requests with a content are to be refused. */
  bool IsRejected(std::uint64_t content_hash, MonotonicTime now) const {
    return m_suspicions.IsRejected(content_hash, now);
  }

  /** Returns the changes of suspicions since the last call, to be sent to the
   * other instances. */
  std::vector<Suspicion> TakeChanges();

 private:
  void StartCheck(Context& context,
                  const UpstreamId& upstream,
                  Duration timeout,
                  std::vector<std::uint64_t> contents);

  const UpstreamTable& m_upstreams;
  const ZoneDistances& m_distances;
  UpstreamConnections& m_connections;
  CrashChecks m_checks;
  CrashSuspicions m_suspicions;
  std::vector<Suspicion> m_changes;
};

}  // namespace kumquatcove

#endif  // DISPATCH_CRASH_MONITOR_H_
