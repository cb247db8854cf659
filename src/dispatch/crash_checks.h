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

/** A connection that is opened to find out whether an upstream has crashed. */
struct CrashCheck {
  UpstreamId upstream;
  MonotonicTime started;
  /** Contents that were in flight when its connections broke. */
  std::vector<std::uint64_t> contents;
};

/**
 * Checks in progress of upstreams whose connections broke: a connection that
 * can be opened shows that only the earlier one was lost.
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

  /** Returns the connections of checks that started before `limit`. */
  std::vector<ConnectionId> FindStartedBefore(MonotonicTime limit) const;

 private:
  absl::flat_hash_map<ConnectionId, CrashCheck> m_checks;
};

}  // namespace kumquatcove

#endif  // DISPATCH_CRASH_CHECKS_H_
