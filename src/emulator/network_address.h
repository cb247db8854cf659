#ifndef EMULATOR_NETWORK_ADDRESS_H_
#define EMULATOR_NETWORK_ADDRESS_H_

#include <optional>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>

namespace kumquatcove::emulator {

/** Returns the endpoint that `address` (IP number and port, such as
 * `127.0.0.1:9001`) names, or nothing if it has another form. */
std::optional<boost::asio::ip::tcp::endpoint> ParseAddress(
    std::string_view address);

}  // namespace kumquatcove::emulator

#endif  // EMULATOR_NETWORK_ADDRESS_H_
