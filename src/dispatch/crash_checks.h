#ifndef DISPATCH_CRASH_CHECKS_H_
#define DISPATCH_CRASH_CHECKS_H_

#include <cstdint>
#include <optional>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "base/clock_reading.h"
#include "base/name.h"
#include "protocol/ids.h"

namespace kumquatcove {

/** A connection opened to check whether an upstream is still reachable.
 */
struct CrashCheck {
  UpstreamId upstream;
  /** The upstream counts as crashed if the connection isn't open by then. */
  MonotonicTime due;
  /** Content hashes of the requests in flight when its connections broke. */
  std::vector<std::uint64_t> contents;
};

/**
 * Checks in progress of upstreams whose connections broke or that are
 * unresponsive: a connection that opens shows that the upstream is alive.
 *
 * Thread safety: none.
 */
class CrashChecks {
 public:
  /** Adds a content hash to the running check of an upstream; returns false if
   * no check is running.
   */
  bool Join(const UpstreamId& upstream, std::uint64_t content_hash);

  /** Starts a check. Precondition: no check of the upstream is running. */
  void Start(ConnectionId connection, CrashCheck check);

  /** Ends and returns the check that uses a connection; returns `std::nullopt`
   * if no check uses it.
   */
  std::optional<CrashCheck> Take(ConnectionId connection);

  /** Returns whether an upstream is being checked. */
  bool IsRunning(const UpstreamId& upstream) const;

  /** Returns the connections of checks that are due. */
  std::vector<ConnectionId> FindDue(MonotonicTime now) const;

 private:
  absl::flat_hash_map<ConnectionId, CrashCheck> m_checks;
};

}  // namespace kumquatcove

#endif  // DISPATCH_CRASH_CHECKS_H_
