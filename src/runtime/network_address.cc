#include "runtime/network_address.h"

#include <charconv>

#include <boost/asio/ip/address_v4.hpp>

namespace kumquatcove {

std::optional<NetworkAddress> ParseNetworkAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  NetworkAddress result;
  const std::string_view port = text.substr(colon + 1);
  const auto [end, error] =
      std::from_chars(port.data(), port.data() + port.size(), result.port);
  if (error != std::errc() || end != port.data() + port.size()) {
    return std::nullopt;
  }
  result.host = std::string(text.substr(0, colon));
  boost::system::error_code ignored;
  boost::asio::ip::make_address_v4(result.host, ignored);
  return ignored ? std::nullopt : std::optional(result);
}

}  // namespace kumquatcove
