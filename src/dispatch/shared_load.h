#ifndef DISPATCH_SHARED_LOAD_H_
#define DISPATCH_SHARED_LOAD_H_

#include <cstddef>
#include <map>
#include <vector>

#include "base/clock_reading.h"
#include "base/name.h"
#include "dispatch/upstream_table.h"
#include "protocol/peer_message.h"

namespace kumquatcove {

/**
 * Exchanges the load of upstreams with the other instances of the region.
 *
 * Designed for many instances and upstreams with a few slots: each instance
 * receives only a small part of the answers, so its own reports of load and
 * speed are outdated before it chooses the same upstream again. With the
 * digests of the others an instance has nearly all requests in flight at an
 * upstream of its region, the last report that any of them received, and the
 * objects cached there. Thread safety: none.
 */
class SharedLoad {
 public:
  /** Time between two digests for each receiver: instances of large regions
   * send them less often, so that the message rate doesn't grow with the square
   * of the number of instances. */
  static constexpr Duration kIntervalPerReceiver = Milliseconds(25);
  /** Minimum time between two digests; the load doesn't change faster. */
  static constexpr Duration kMinInterval = Milliseconds(100);
  static constexpr Duration kMaxInterval = Milliseconds(500);
  /** Maximum number of objects in a digest; only a burst has more, of which the
   * last ones matter. */
  static constexpr std::size_t kMaxHandled = 256;

  /** `table` must outlive this object. */
  explicit SharedLoad(UpstreamTable& table) : m_table(table) {}

  /** Returns whether it is time to send a digest to `receivers` instances. */
  bool IsDue(std::size_t receivers, MonotonicTime now) const;

  /** Returns the time of the last digest. */
  MonotonicTime LastDigest() const { return m_last_digest; }

  /** Records that an upstream has handled an object for this instance. */
  void OnHandled(const UpstreamId& upstream, ObjectHash object);

  /** Returns the digest to be sent now. */
  LoadDigest MakeDigest(MonotonicTime now);

  /** Handles the digest of another instance. */
  void OnDigest(const InstanceId& sender,
                const LoadDigest& digest,
                MonotonicTime now);

  /** Discards the load of instances that have sent no digest within the
   * timeout. */
  void OnTick(MonotonicTime now);

  /** Returns the number of instances with a current digest. */
  std::size_t CountSenders() const { return m_senders.size(); }

 private:
  struct Sender {
    std::vector<UpstreamLoad> loads;
    MonotonicTime last_contact;
  };

  void Count(const std::vector<UpstreamLoad>& loads, int sign);

  UpstreamTable& m_table;
  std::map<InstanceId, Sender> m_senders;
  MonotonicTime m_last_digest;
  std::vector<HandledObject> m_handled;
};

}  // namespace kumquatcove

#endif  // DISPATCH_SHARED_LOAD_H_
