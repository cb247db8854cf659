#ifndef RUNTIME_NETWORK_ADDRESS_H_
#define RUNTIME_NETWORK_ADDRESS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace kumquatcove {

/** IPv4 address and port. */
struct NetworkAddress {
  std::string host;
  std::uint16_t port = 0;
  friend bool operator==(const NetworkAddress&,
                         const NetworkAddress&) = default;
};

/** Parses `IPv4:port`. Returns `std::nullopt` if the text is invalid. Host
 * names are not resolved. */
std::optional<NetworkAddress> ParseNetworkAddress(std::string_view text);

}  // namespace kumquatcove

#endif  // RUNTIME_NETWORK_ADDRESS_H_
