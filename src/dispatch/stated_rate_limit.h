#ifndef DISPATCH_STATED_RATE_LIMIT_H_
#define DISPATCH_STATED_RATE_LIMIT_H_

#include <optional>

#include "base/clock_reading.h"
#include "protocol/peer_message.h"

namespace kumquatcove {

/**
 * The rate limit that an upstream states in its answers, as known to one
 * instance.
 *
 * An upstream states the requests per second that it accepts from all instances
 * together, for as long as the limit applies. Answers may arrive in another
 * order than they were written, so an answer without a limit ends the limit
 * only if its request was sent after the limit was last received. Thread
 * safety: none.
 */
class StatedRateLimit {
 public:
  /** Requests per second, at least 0; `std::nullopt` if there is no limit. */
  std::optional<double> Rate() const { return m_rate; }

  /** Applies the limit of an answer, or its absence, and returns whether the
   * known limit has changed. Precondition: `sent` <= `received`. */
  bool OnAnswer(std::optional<double> rate,
                MonotonicTime sent,
                MonotonicTime received);

  /** Applies what another instance knows, and returns whether the known limit
   * has changed. */
  bool OnPeerReport(const StatedLimit& report, MonotonicTime now);

  /** Returns what this instance knows, for other instances. Precondition: a
   * limit was known at some time. */
  StatedLimit Report(MonotonicTime now) const;

 private:
  bool Apply(std::optional<double> rate, MonotonicTime known_at);

  std::optional<double> m_rate;
  /** With a limit, the latest time at which it may have been stated; without
   * one, the earliest time from which none was stated. */
  MonotonicTime m_known_at;
};

}  // namespace kumquatcove

#endif  // DISPATCH_STATED_RATE_LIMIT_H_
