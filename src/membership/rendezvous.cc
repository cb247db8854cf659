#include "membership/rendezvous.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "base/hash.h"

namespace kumquatcove {

std::vector<InstanceId> RendezvousOrder(std::string_view key,
                                        std::vector<InstanceId> instances) {
  std::vector<std::pair<std::uint64_t, InstanceId>> weighted;
  weighted.reserve(instances.size());
  for (InstanceId& instance : instances) {
    const std::uint64_t weight = StableHash({key, instance.Text()});
    weighted.emplace_back(weight, std::move(instance));
  }
  std::sort(weighted.begin(), weighted.end(), std::greater<>());
  std::vector<InstanceId> order;
  order.reserve(weighted.size());
  for (auto& [weight, instance] : weighted) {
    order.push_back(std::move(instance));
  }
  return order;
}

}  // namespace kumquatcove
