#include "runtime/link_delays.h"

#include <utility>

namespace kumquatcove {

LinkDelays::LinkDelays(ZoneName own_zone,
                       std::optional<EmulationSettings> settings)
    : m_own_zone(std::move(own_zone)), m_settings(std::move(settings)) {}

Duration LinkDelays::ToZone(const std::string& zone) const {
  if (!m_settings) {
    return Duration::zero();
  }
  if (zone == m_own_zone.Text()) {
    return Duration(m_settings->same_zone_us);
  }
  const auto own = m_settings->zones.find(m_own_zone.Text());
  const auto other = m_settings->zones.find(zone);
  const bool same_region = own != m_settings->zones.end() &&
                           other != m_settings->zones.end() &&
                           own->second == other->second;
  return Duration(same_region ? m_settings->same_region_us
                              : m_settings->other_region_us);
}

Duration LinkDelays::ToAddress(const std::string& address) const {
  if (!m_settings) {
    return Duration::zero();
  }
  if (!m_settings->addresses) {
    return Duration(m_settings->same_zone_us);
  }
  const auto& zones = *m_settings->addresses;
  auto found = zones.find(address);
  if (found == zones.end()) {
    found = zones.find(address.substr(0, address.rfind(':')));
  }
  return found == zones.end() ? Duration(m_settings->same_zone_us)
                              : ToZone(found->second);
}

Duration LinkDelays::ToCaller() const {
  return m_settings ? Duration(m_settings->caller_us) : Duration::zero();
}

}  // namespace kumquatcove
