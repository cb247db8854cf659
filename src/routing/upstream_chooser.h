#ifndef ROUTING_UPSTREAM_CHOOSER_H_
#define ROUTING_UPSTREAM_CHOOSER_H_

#include <cstdint>
#include <variant>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "base/name.h"
#include "protocol/context.h"
#include "protocol/peer_message.h"
#include "routing/routing_settings.h"
#include "routing/upstream_health.h"

namespace kumquatcove {

/** The slot home chooses. While no home answers, uses OwnCountChoice within
 * this instance's share. */
struct SlotHomeChoice {};
/** Any upstream, at random. */
struct RandomChoice {};
/** The less loaded of two by their own reports. */
struct ReportedLoadChoice {};
/** The less loaded of two by this instance's own attempts. */
struct OwnCountChoice {};

using ChoicePolicy = std::
    variant<SlotHomeChoice, RandomChoice, ReportedLoadChoice, OwnCountChoice>;

/** Returns the policy that the settings name. */
ChoicePolicy MakeChoicePolicy(RoutingPolicy policy);

/** Attempts of this instance in flight, by upstream. */
using InFlightCounts = absl::flat_hash_map<UpstreamId, std::int32_t>;

/** Returns the upstreams of the request's service in this region that accept
 * new work and aren't excluded. */
std::vector<UpstreamId> OpenUpstreams(const Context& context,
                                      const UpstreamHealth& health,
                                      const SlotRequest& request);

/**
 * Visitor of ChoicePolicy that chooses one of some upstreams without a slot
 * home.
 *
 * Stores references to its arguments, which must outlive it. Thread safety:
 * none.
 */
class UpstreamChooser {
 public:
  /** Precondition: `upstreams` isn't empty. */
  UpstreamChooser(Random& random,
                  const UpstreamHealth& health,
                  const InFlightCounts& in_flight,
                  const std::vector<UpstreamId>& upstreams);

  const UpstreamId& operator()(const SlotHomeChoice& choice) const;
  const UpstreamId& operator()(const RandomChoice& choice) const;
  const UpstreamId& operator()(const ReportedLoadChoice& choice) const;
  const UpstreamId& operator()(const OwnCountChoice& choice) const;

 private:
  template <class Load>
  const UpstreamId& BetterOfTwo(Load load) const;

  Random& m_random;
  const UpstreamHealth& m_health;
  const InFlightCounts& m_in_flight;
  const std::vector<UpstreamId>& m_upstreams;
};

}  // namespace kumquatcove

#endif  // ROUTING_UPSTREAM_CHOOSER_H_
