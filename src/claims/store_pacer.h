#ifndef CLAIMS_STORE_PACER_H_
#define CLAIMS_STORE_PACER_H_

#include <array>
#include <cstdint>
#include <optional>

#include "base/clock_reading.h"
#include "base/enum_table.h"
#include "claims/store_breaker.h"
#include "protocol/context.h"
#include "protocol/ids.h"
#include "protocol/store_operation.h"

namespace kumquatcove {

/** Kind of a store call of one claim table. */
enum class ClaimCall {
  /** The reply doesn't belong to a call in flight. */
  kNone,
  kWrite,
  kRead,
};

constexpr auto EnumNames(ClaimCall) {
  using Row = EnumName<ClaimCall>;
  return std::array{Row{ClaimCall::kNone, "none"},
                    Row{ClaimCall::kWrite, "write"},
                    Row{ClaimCall::kRead, "read"}};
}

/**
 * Limits the store calls of one claim table: at most one write and one read in
 * flight, a maximum rate of writes, and no calls except probes while the store
 * is unavailable.
 *
 * Thread safety: none.
 */
class StorePacer {
 public:
  /** Maximum rate of writes. It keeps 10 instances together below several
   * hundred writes per second. */
  static constexpr double kWritesPerSecond = 25;
  /** Number of writes that may be sent in a burst after an idle period. */
  static constexpr double kWriteBurst = 3;

  bool IsDown() const { return m_breaker.IsOpen(); }

  /** Returns whether a write may be sent at `now`. */
  bool CanWrite(MonotonicTime now);
  bool CanRead() const { return !IsDown() && !m_read; }

  /** Sends a call. Precondition: CanWrite or CanRead has returned true. */
  StoreRequestId Write(Context& context, StoreOperation write);
  StoreRequestId Read(Context& context, StoreOperation read);

  /** Sends one cheap read if the store is unavailable and a probe is due. */
  void ProbeWhenDue(Context& context);

  /** Processes a reply and returns the kind of call that it belongs to. */
  ClaimCall OnReply(StoreRequestId id, StoreStatus status, MonotonicTime now);

 private:
  StoreBreaker m_breaker;
  std::optional<StoreRequestId> m_write;
  std::optional<StoreRequestId> m_read;
  double m_tokens = kWriteBurst;
  MonotonicTime m_tokens_updated;
};

}  // namespace kumquatcove

#endif  // CLAIMS_STORE_PACER_H_
