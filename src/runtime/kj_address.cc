#include "runtime/kj_address.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <optional>

#include "runtime/network_address.h"

namespace kumquatcove {

kj::Maybe<kj::Own<kj::NetworkAddress>> ParseKjAddress(kj::Network& network,
                                                      const std::string& text) {
  const std::optional<NetworkAddress> parsed = ParseNetworkAddress(text);
  if (!parsed) {
    return nullptr;
  }
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(parsed->port);
  if (::inet_pton(AF_INET, parsed->host.c_str(), &address.sin_addr) != 1) {
    return nullptr;
  }
  return network.getSockaddr(&address, sizeof(address));
}

}  // namespace kumquatcove
