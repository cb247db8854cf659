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
 * Answers the load of many instances before upstreams with a few slots: each
 * instance sees only a small part of the answers, and reports of load and speed
 * are old before the same upstream is chosen again. With the digests of the
 * others an instance knows nearly all requests that an upstream of its region
 * has, the last report that any of them got, and the objects at hand there.
 * Thread safety: none.
 */
class SharedLoad {
 public:
  /** Time between two digests for each receiver: instances of large regions
   * send them more rarely, so that their messages don't grow with the square of
   * the number of instances. */
  static constexpr Duration kIntervalPerReceiver = Milliseconds(25);
  /** Digests can't come more often than the load changes. */
  static constexpr Duration kMinInterval = Milliseconds(100);
  static constexpr Duration kMaxInterval = Milliseconds(500);
  /** Bounds a digest; more answers come only from a burst, of which the last
   * ones matter. */
  static constexpr std::size_t kMaxHandled = 256;

  /** `table` must outlive this object. */
  explicit SharedLoad(UpstreamTable& table) : m_table(table) {}

  /** Returns whether it is time to send a digest to `receivers` instances. */
  bool IsDue(std::size_t receivers, MonotonicTime now) const;

  /** Notes that an upstream has handled an object for this instance. */
  void OnHandled(const UpstreamId& upstream, ObjectHash object);

  /** Returns the digest to be sent now. */
  LoadDigest MakeDigest(MonotonicTime now);

  /** Takes the digest of another instance. */
  void OnDigest(const InstanceId& sender,
                const LoadDigest& digest,
                MonotonicTime now);

  /** Forgets what instances sent that aren't heard any more. */
  void OnTick(MonotonicTime now);

  /** Returns the number of instances whose load is known. */
  std::size_t CountSenders() const { return m_senders.size(); }

 private:
  struct Sender {
    std::vector<UpstreamLoad> loads;
    MonotonicTime heard;
  };

  void Count(const std::vector<UpstreamLoad>& loads, int sign);

  UpstreamTable& m_table;
  std::map<InstanceId, Sender> m_senders;
  MonotonicTime m_last_digest;
  std::vector<HandledObject> m_handled;
};

}  // namespace kumquatcove

#endif  // DISPATCH_SHARED_LOAD_H_
