#include "routing/region_selector.h"

#include <algorithm>

#include "routing/slot_home.h"

namespace kumquatcove {
namespace {

constexpr Duration kFirstBackOff = Milliseconds(50);
constexpr Duration kLongestBackOff = Seconds(1);

bool HasUsableUpstream(const Context& context,
                       const UpstreamHealth& health,
                       const ServiceName& service,
                       const RegionName& region) {
  const std::vector<UpstreamId>& upstreams =
      context.Catalogue().UpstreamsIn(service, region);
  return std::any_of(upstreams.begin(), upstreams.end(),
                     [&](const UpstreamId& upstream) {
                       return health.TakesNewWork(context, upstream);
                     });
}

}  // namespace

std::optional<RegionChoice> RegionSelector::Choose(
    Context& context,
    const MemberTable& members,
    const UpstreamHealth& health,
    const ServiceName& service,
    const std::vector<RegionName>& tried) {
  std::vector<RegionChoice> choices;
  for (const RegionDeclaration& region :
       context.Catalogue().Topology().regions) {
    const bool excluded =
        region.name == context.Self().region ||
        std::find(tried.begin(), tried.end(), region.name) != tried.end() ||
        IsBackingOff(context, service, region.name);
    if (excluded) {
      continue;
    }
    if (std::optional<RegionChoice> choice =
            Resolve(context, members, health, service, region.name)) {
      choices.push_back(std::move(*choice));
    }
  }
  if (choices.empty()) {
    return std::nullopt;
  }
  return choices[context.RandomNumbers().NextBelow(choices.size())];
}

std::optional<RegionChoice> RegionSelector::Resolve(
    const Context& context,
    const MemberTable& members,
    const UpstreamHealth& health,
    const ServiceName& service,
    const RegionName& region) {
  if (!HasUsableUpstream(context, health, service, region)) {
    return std::nullopt;
  }
  const std::optional<InstanceId> home = FindSlotHome(members, service, region);
  if (!home) {
    return std::nullopt;
  }
  return RegionChoice{region, *home};
}

void RegionSelector::OnRefused(const Context& context,
                               const ServiceName& service,
                               const RegionName& region) {
  BackOff& back_off = m_back_offs[{service, region}];
  back_off.length =
      std::clamp(back_off.length * 2, kFirstBackOff, kLongestBackOff);
  back_off.until = context.Now() + back_off.length;
}

void RegionSelector::OnAdmitted(const ServiceName& service,
                                const RegionName& region) {
  m_back_offs.erase({service, region});
}

bool RegionSelector::IsBackingOff(const Context& context,
                                  const ServiceName& service,
                                  const RegionName& region) const {
  const auto found = m_back_offs.find({service, region});
  return found != m_back_offs.end() && context.Now() < found->second.until;
}

}  // namespace kumquatcove
