#include "catalogue/ipv4.h"

#include <cassert>
#include <charconv>

#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/ip/network_v4.hpp>

namespace kumquatcove {

std::optional<std::uint32_t> ParseIpv4Address(const std::string& text) {
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address_v4(text, error);
  return error ? std::nullopt : std::optional(address.to_uint());
}

std::optional<Ipv4Network> ParseIpv4Network(const std::string& text) {
  boost::system::error_code error;
  const auto network = boost::asio::ip::make_network_v4(text, error);
  if (error || network.address() != network.network()) {
    return std::nullopt;
  }
  return Ipv4Network{network.address().to_uint(), network.prefix_length()};
}

bool IsIpv4Endpoint(const std::string& text) {
  const std::size_t colon = text.find(':');
  if (colon == std::string::npos || !ParseIpv4Address(text.substr(0, colon))) {
    return false;
  }
  std::uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto [parsed, error] =
      std::from_chars(text.data() + colon + 1, end, port);
  return error == std::errc() && parsed == end && port > 0;
}

std::uint32_t Ipv4Mask(int length) {
  assert(length >= 0 && length <= 32);
  return length == 0 ? 0 : ~std::uint32_t{0} << (32U - length);
}

}  // namespace kumquatcove
