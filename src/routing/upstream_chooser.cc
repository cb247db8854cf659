#include "routing/upstream_chooser.h"

#include <algorithm>
#include <cassert>
#include <cstddef>

namespace kumquatcove {

ChoicePolicy MakeChoicePolicy(RoutingPolicy policy) {
  switch (policy) {
    case RoutingPolicy::kRandom:
      return RandomChoice{};
    case RoutingPolicy::kTwoChoicesReported:
      return ReportedLoadChoice{};
    case RoutingPolicy::kTwoChoicesOwn:
      return OwnCountChoice{};
    case RoutingPolicy::kSlotHome:
      break;
  }
  return SlotHomeChoice{};
}

std::vector<UpstreamId> OpenUpstreams(const Context& context,
                                      const UpstreamHealth& health,
                                      const SlotRequest& request) {
  std::vector<UpstreamId> open;
  for (const UpstreamId& upstream : context.Catalogue().UpstreamsIn(
           request.service, context.Self().region)) {
    const bool is_excluded =
        std::find(request.exclude.begin(), request.exclude.end(), upstream) !=
        request.exclude.end();
    if (!is_excluded && health.TakesNewWork(context, upstream)) {
      open.push_back(upstream);
    }
  }
  return open;
}

UpstreamChooser::UpstreamChooser(Random& random,
                                 const UpstreamHealth& health,
                                 const InFlightCounts& in_flight,
                                 const std::vector<UpstreamId>& upstreams)
    : m_random(random),
      m_health(health),
      m_in_flight(in_flight),
      m_upstreams(upstreams) {
  assert(!upstreams.empty());
}

const UpstreamId& UpstreamChooser::operator()(const SlotHomeChoice&) const {
  return (*this)(OwnCountChoice{});
}

const UpstreamId& UpstreamChooser::operator()(const RandomChoice&) const {
  return m_upstreams[m_random.NextBelow(m_upstreams.size())];
}

const UpstreamId& UpstreamChooser::operator()(const ReportedLoadChoice&) const {
  return BetterOfTwo([&](const UpstreamId& upstream) {
    return m_health.ReportedLoad(upstream);
  });
}

const UpstreamId& UpstreamChooser::operator()(const OwnCountChoice&) const {
  return BetterOfTwo([&](const UpstreamId& upstream) {
    const auto found = m_in_flight.find(upstream);
    return found == m_in_flight.end() ? 0 : found->second;
  });
}

template <class Load>
const UpstreamId& UpstreamChooser::BetterOfTwo(Load load) const {
  const std::size_t first = m_random.NextBelow(m_upstreams.size());
  if (m_upstreams.size() == 1) {
    return m_upstreams[first];
  }
  std::size_t second = m_random.NextBelow(m_upstreams.size() - 1);
  second += second >= first ? 1 : 0;
  return load(m_upstreams[second]) < load(m_upstreams[first])
             ? m_upstreams[second]
             : m_upstreams[first];
}

}  // namespace kumquatcove
