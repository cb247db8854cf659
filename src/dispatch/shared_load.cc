#include "dispatch/shared_load.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"

namespace kumquatcove {
namespace {

// After this time several digests in a row were lost, or their sender has ended
// and its requests are answered or cut off.
constexpr Duration kSenderTimeout = Milliseconds(1500);

}  // namespace

bool SharedLoad::IsDue(std::size_t receivers, MonotonicTime now) const {
  const Duration interval =
      std::clamp(kIntervalPerReceiver * static_cast<std::int64_t>(receivers),
                 kMinInterval, kMaxInterval);
  return receivers > 0 && now - m_last_digest >= interval;
}

void SharedLoad::OnHandled(const UpstreamId& upstream, ObjectHash object) {
  if (m_handled.size() >= kMaxHandled) {
    m_handled.erase(m_handled.begin());
  }
  m_handled.push_back({StableHash(upstream.Text()), object});
}

LoadDigest SharedLoad::MakeDigest(MonotonicTime now) {
  LoadDigest digest{m_table.ListOwnLoads(m_last_digest, now),
                    std::exchange(m_handled, {})};
  m_last_digest = now;
  return digest;
}

void SharedLoad::OnDigest(const InstanceId& sender,
                          const LoadDigest& digest,
                          MonotonicTime now) {
  Sender& entry = m_senders[sender];
  Count(entry.loads, -1);
  entry.loads = digest.upstreams;
  entry.last_contact = now;
  Count(entry.loads, 1);
  for (const UpstreamLoad& load : entry.loads) {
    m_table.OnSharedReport(load, now);
  }
  for (const HandledObject& handled : digest.handled) {
    m_table.OnSharedObject(handled);
  }
}

void SharedLoad::OnTick(MonotonicTime now) {
  for (auto entry = m_senders.begin(); entry != m_senders.end();) {
    if (now - entry->second.last_contact < kSenderTimeout) {
      ++entry;
      continue;
    }
    Count(entry->second.loads, -1);
    entry = m_senders.erase(entry);
  }
}

void SharedLoad::Count(const std::vector<UpstreamLoad>& loads, int sign) {
  for (const UpstreamLoad& load : loads) {
    m_table.AddPeerLoad(load.upstream_hash, sign * load.in_flight,
                        sign * load.awaited);
  }
}

}  // namespace kumquatcove
