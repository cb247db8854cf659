#include "limits/limit_key.h"

#include <algorithm>

namespace kumquatcove {
namespace {

constexpr double kBytesPerMegabit = 1e6 / 8;
constexpr std::int64_t kWholePermille = 1000;

bool IsDeclaredRegion(const CatalogueIndex& catalogue,
                      const RegionName& region) {
  const auto& regions = catalogue.Topology().regions;
  return std::any_of(regions.begin(), regions.end(),
                     [&](const RegionDeclaration& declared) {
                       return declared.name == region;
                     });
}

double SpilloverSlots(const CatalogueIndex& catalogue,
                      const ServiceEntry& service,
                      const RegionName& region) {
  std::int64_t slots = 0;
  for (const UpstreamId& id : catalogue.UpstreamsIn(service.service, region)) {
    const UpstreamRecord* upstream = catalogue.FindUpstream(id);
    if (upstream != nullptr && !upstream->declaration.drained) {
      slots += service.limits.slots_per_upstream;
    }
  }
  const std::int64_t permille = std::clamp<std::int64_t>(
      kWholePermille - service.limits.headroom_permille, 0, kWholePermille);
  const std::int64_t spillover = slots * permille / kWholePermille;
  return static_cast<double>(spillover);
}

}  // namespace

double DeclaredLimit(const CatalogueIndex& catalogue, const LimitKey& limit) {
  const ServiceEntry* service = catalogue.FindService(limit.service);
  switch (limit.kind) {
    case LimitKind::kShift:
      return service != nullptr && IsDeclaredRegion(catalogue, limit.to)
                 ? std::max(0, service->limits.shift_cap_per_second)
                 : 0;
    case LimitKind::kSpilloverSlots:
      return service != nullptr ? SpilloverSlots(catalogue, *service, limit.to)
                                : 0;
    case LimitKind::kLink:
      return limit.from != limit.to &&
                     IsDeclaredRegion(catalogue, limit.from) &&
                     IsDeclaredRegion(catalogue, limit.to)
                 ? kBytesPerMegabit *
                       std::max(0, catalogue.Topology().link_mbit_per_second)
                 : 0;
  }
  return 0;
}

}  // namespace kumquatcove
