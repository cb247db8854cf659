#ifndef RUNTIME_KJ_ADDRESS_H_
#define RUNTIME_KJ_ADDRESS_H_

#include <string>

#include <kj/async-io.h>

namespace kumquatcove {

/** Parses `IPv4:port` without resolving host names. Returns nullptr if the text
 * is invalid. */
kj::Maybe<kj::Own<kj::NetworkAddress>> ParseKjAddress(kj::Network& network,
                                                      const std::string& text);

}  // namespace kumquatcove

#endif  // RUNTIME_KJ_ADDRESS_H_
