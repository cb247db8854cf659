#include "claims/store_pacer.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace kumquatcove {
namespace {

// Exceeds the slowest round trip to the store (110 ms), with a margin for a
// busy store. A lost reply delays the next batch by this time.
constexpr Duration kStoreTimeout = Milliseconds(600);
// Key that probes read; no claim has this key.
constexpr char kProbeKey[] = "claims/";

}  // namespace

bool StorePacer::CanWrite(MonotonicTime now) {
  const double seconds =
      std::chrono::duration<double>(now - m_tokens_updated).count();
  m_tokens = std::min(kWriteBurst, m_tokens + seconds * kWritesPerSecond);
  m_tokens_updated = now;
  return !IsDown() && !m_write && m_tokens >= 1;
}

StoreRequestId StorePacer::Write(Context& context, StoreOperation write) {
  assert(!m_write);
  m_tokens -= 1;
  m_write = context.CallStoreFor(StoreClientModule::kClaims, std::move(write),
                                 kStoreTimeout);
  return *m_write;
}

StoreRequestId StorePacer::Read(Context& context, StoreOperation read) {
  assert(!m_read);
  m_read = context.CallStoreFor(StoreClientModule::kClaims, std::move(read),
                                kStoreTimeout);
  return *m_read;
}

void StorePacer::ProbeWhenDue(Context& context) {
  if (!m_read && m_breaker.TakeProbe(context.Now())) {
    Read(context, StoreRead{{kProbeKey}});
  }
}

ClaimCall StorePacer::OnReply(StoreRequestId id,
                              StoreStatus status,
                              MonotonicTime now) {
  ClaimCall call = ClaimCall::kNone;
  if (m_write == id) {
    m_write.reset();
    call = ClaimCall::kWrite;
  } else if (m_read == id) {
    m_read.reset();
    call = ClaimCall::kRead;
  }
  if (call != ClaimCall::kNone) {
    m_breaker.OnReply(status, now);
  }
  return call;
}

}  // namespace kumquatcove
