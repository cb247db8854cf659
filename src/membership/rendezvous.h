#ifndef MEMBERSHIP_RENDEZVOUS_H_
#define MEMBERSHIP_RENDEZVOUS_H_

#include <string_view>
#include <vector>

#include "base/name.h"

namespace kumquatcove {

/**
 * Orders `instances` by rendezvous hashing (highest random weight) for `key`.
 *
 * All instances that use the same set compute the same order. Removing one
 * instance only moves the keys for which it came first.
 */
std::vector<InstanceId> RendezvousOrder(std::string_view key,
                                        std::vector<InstanceId> instances);

}  // namespace kumquatcove

#endif  // MEMBERSHIP_RENDEZVOUS_H_
