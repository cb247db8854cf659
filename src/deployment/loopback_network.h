#ifndef DEPLOYMENT_LOOPBACK_NETWORK_H_
#define DEPLOYMENT_LOOPBACK_NETWORK_H_

#include <string>

namespace kumquatcove {

/** Returns the first three numbers of loopback addresses, with a dot at the
 * end, that hardly any other process uses: the id of this process is in them.
 * Deployments on them may use fixed ports. Safe from any thread. */
std::string OwnLoopbackNetwork();

}  // namespace kumquatcove

#endif  // DEPLOYMENT_LOOPBACK_NETWORK_H_
