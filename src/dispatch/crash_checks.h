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

/** A connection that is opened to find out whether an upstream is still there.
 */
struct CrashCheck {
  UpstreamId upstream;
  /** If the connection isn't open by then, the upstream is gone. */
  MonotonicTime due;
  /** Contents that were in flight when its connections broke. */
  std::vector<std::uint64_t> contents;
};

/**
 * Checks in progress of upstreams whose connections broke or that answer
 * nothing: a connection that can be opened shows that they are there.
 *
 * Thread safety: none.
 */
class CrashChecks {
 public:
  /** Adds a content to the check of an upstream; returns false if there is
   * none.
   */
  bool Join(const UpstreamId& upstream, std::uint64_t content_hash);

  /** Starts a check. Precondition: there is none of the upstream. */
  void Start(ConnectionId connection, CrashCheck check);

  /** Ends the check that uses a connection; returns nothing if there is none.
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
