#include "emulator/network_address.h"

#include <charconv>
#include <cstdint>
#include <string>

#include <boost/asio/ip/address.hpp>

namespace kumquatcove::emulator {

std::optional<boost::asio::ip::tcp::endpoint> ParseAddress(
    std::string_view address) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view digits = address.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (error != std::errc{} || end != digits.data() + digits.size()) {
    return std::nullopt;
  }
  boost::system::error_code failure;
  const auto ip = boost::asio::ip::make_address(
      std::string(address.substr(0, colon)), failure);
  if (failure) {
    return std::nullopt;
  }
  return boost::asio::ip::tcp::endpoint(ip, port);
}

}  // namespace kumquatcove::emulator
