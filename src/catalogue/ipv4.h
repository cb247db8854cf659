#ifndef CATALOGUE_IPV4_H_
#define CATALOGUE_IPV4_H_

#include <cstdint>
#include <optional>
#include <string>

namespace kumquatcove {

/** IPv4 network: the first `length` bits of `address`; the others are 0. */
struct Ipv4Network {
  std::uint32_t address = 0;
  int length = 0;
  friend bool operator==(const Ipv4Network&, const Ipv4Network&) = default;
};

/** Returns the address written as four decimal numbers, or nothing. */
std::optional<std::uint32_t> ParseIpv4Address(const std::string& text);

/** Returns the network in CIDR notation, or nothing if `text` isn't one or bits
 * after the prefix are set. */
std::optional<Ipv4Network> ParseIpv4Network(const std::string& text);

/** Returns whether `text` is an IPv4 address and a port from 1 to 65535. */
bool IsIpv4Endpoint(const std::string& text);

/** Returns the netmask of a prefix length. Precondition: 0 <= length <= 32. */
std::uint32_t Ipv4Mask(int length);

}  // namespace kumquatcove

#endif  // CATALOGUE_IPV4_H_
