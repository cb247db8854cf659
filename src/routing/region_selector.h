#ifndef ROUTING_REGION_SELECTOR_H_
#define ROUTING_REGION_SELECTOR_H_

#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "base/clock_reading.h"
#include "base/name.h"
#include "membership/member_table.h"
#include "protocol/context.h"
#include "routing/upstream_health.h"

namespace kumquatcove {

/** Another region that may run a request, and the instance there that admits
 * it. */
struct RegionChoice {
  RegionName region;
  /** Slot home of the service in that region, so that admission uses exact
   * occupancy without another hop. */
  InstanceId instance;
};

/**
 * Chooses the region to which a request is relayed when the own region lacks
 * capacity.
 *
 * A region that refused a request is not chosen during a back-off time that
 * doubles with each consecutive refusal, so that the loss of a region doesn't
 * cause a stream of relayed requests that other regions refuse. Thread safety:
 * none; owned by one reducer.
 */
class RegionSelector {
 public:
  /** Returns a region other than the own and those in `tried`; std::nullopt
   * if none is available. */
  std::optional<RegionChoice> Choose(Context& context,
                                     const MemberTable& members,
                                     const UpstreamHealth& health,
                                     const ServiceName& service,
                                     const std::vector<RegionName>& tried);

  /** Returns the admitting instance of `region`; std::nullopt if it has no such
   * instance or no upstream that accepts new work. */
  static std::optional<RegionChoice> Resolve(const Context& context,
                                             const MemberTable& members,
                                             const UpstreamHealth& health,
                                             const ServiceName& service,
                                             const RegionName& region);

  void OnRefused(const Context& context,
                 const ServiceName& service,
                 const RegionName& region);
  void OnAdmitted(const ServiceName& service, const RegionName& region);

 private:
  struct BackOff {
    MonotonicTime until;
    Duration length{0};
  };

  bool IsBackingOff(const Context& context,
                    const ServiceName& service,
                    const RegionName& region) const;

  std::map<std::pair<ServiceName, RegionName>, BackOff> m_back_offs;
};

}  // namespace kumquatcove

#endif  // ROUTING_REGION_SELECTOR_H_
