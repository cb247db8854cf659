#ifndef DISPATCH_SEND_PERMITS_H_
#define DISPATCH_SEND_PERMITS_H_

#include <cstdint>
#include <deque>
#include <optional>

#include "base/clock_reading.h"
#include "protocol/peer_message.h"

namespace kumquatcove {

/**
 * Permits of one instance to send requests to one upstream that states a rate
 * limit, and the forecast of further ones.
 *
 * Each permit allows one send. Permits expire soon, so that an instance that
 * was idle or suspended has none left over. Thread safety: none.
 */
class SendPermits {
 public:
  /** Time from receipt in which a permit may be used. */
  static constexpr Duration kValidity = Milliseconds(500);

  /** Adds permits that were received. */
  void Add(int count, MonotonicTime now);
  int CountValid(MonotonicTime now) const;
  /** Uses a permit. Returns false if there is none. */
  bool Take(MonotonicTime now);

  /** Number of permits received so far. */
  std::uint64_t Received() const { return m_received; }

  /** Records the issuer's forecast: the time until a permit for one request
   * more than the `wanted` of this instance that it knows of. */
  void SetForecast(Duration wait, int wanted, MonotonicTime now);
  /** Records a forecast that another instance has received, if it is newer. */
  void OnPeerForecast(const PermitForecast& forecast,
                      int wanted,
                      MonotonicTime now);
  /** Returns the forecast if the issuer has told it to this instance since
   * `since` and it makes requests go elsewhere, unless another instance has
   * told one lately. */
  std::optional<PermitForecast> FindForecastToShare(std::uint64_t upstream_hash,
                                                    MonotonicTime since,
                                                    MonotonicTime now) const;

  /** Returns the expected time until a request gets a permit behind `ahead`
   * waiting requests of this instance; zero if nothing is known, as the issuer
   * may have permits at hand. Precondition: `rate` > 0. */
  Duration EstimateWait(int ahead, double rate, MonotonicTime now) const;

  /** Returns whether no instance that issues permits is reachable, so that time
   * slots apply instead. */
  bool IsIssuerLost(MonotonicTime now) const { return now < m_lost_until; }
  /** Records that no issuer is reachable; after `until` it is tried again. */
  void SetIssuerLost(MonotonicTime until) { m_lost_until = until; }
  void SetIssuerFound() { m_lost_until = MonotonicTime(); }

 private:
  /** Returns what remains of the forecast wait. */
  Duration FindKnownWait(MonotonicTime now) const;

  /** Times of expiry, in ascending order. */
  std::deque<MonotonicTime> m_expiries;
  std::uint64_t m_received = 0;
  Duration m_forecast_wait{0};
  int m_forecast_wanted = 0;
  MonotonicTime m_forecast_at;
  /** Last forecast that the issuer has told this instance. */
  MonotonicTime m_own_forecast_at;
  /** Last forecast that another instance has told. */
  MonotonicTime m_peer_forecast_at;
  MonotonicTime m_lost_until;
};

}  // namespace kumquatcove

#endif  // DISPATCH_SEND_PERMITS_H_
