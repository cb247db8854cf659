#ifndef RUNTIME_LINK_DELAYS_H_
#define RUNTIME_LINK_DELAYS_H_

#include <optional>
#include <string>

#include "base/clock_reading.h"
#include "base/name.h"
#include "runtime/settings.h"

namespace kumquatcove {

/**
 * One-way network delays that are emulated in tests. All are zero without
 * emulation settings.
 *
 * Immutable, hence safe to share between threads.
 */
class LinkDelays {
 public:
  LinkDelays(ZoneName own_zone, std::optional<EmulationSettings> settings);

  /** Returns the delay between this zone and `zone`; an unknown zone is treated
   * as being in another region. */
  Duration ToZone(const std::string& zone) const;

  /** Returns the delay to an upstream or to the platform. */
  Duration ToAddress(const std::string& address) const;

  /** Returns the delay to callers. */
  Duration ToCaller() const;

 private:
  ZoneName m_own_zone;
  std::optional<EmulationSettings> m_settings;
};

}  // namespace kumquatcove

#endif  // RUNTIME_LINK_DELAYS_H_
