#ifndef EMULATOR_TOKEN_BUCKET_H_
#define EMULATOR_TOKEN_BUCKET_H_

#include "base/clock_reading.h"

namespace kumquatcove::emulator {

/** Limits operations to a rate; a burst of a quarter of a second's worth may
 * pass at once. Thread safety: none. */
class TokenBucket {
 public:
  explicit TokenBucket(double rate_per_second);

  /** Returns whether one more operation is within the rate. Precondition: `now`
   * isn't below that of the call before. */
  bool Take(MonotonicTime now);

 private:
  double m_rate;
  double m_burst;
  double m_tokens;
  MonotonicTime m_last;
};

}  // namespace kumquatcove::emulator

#endif  // EMULATOR_TOKEN_BUCKET_H_
