#include "tools/load_settings.h"

#include <string_view>

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <boost/asio/ip/address_v4.hpp>

namespace kumquatcove {
namespace {

double ParseNumber(const std::string& option, const std::string& text) {
  double number = 0;
  if (!absl::SimpleAtod(text, &number) || !(number >= 0)) {
    throw LoadSettingsError("option '" + option +
                            "': expected a non-negative number");
  }
  return number;
}

void TakeOption(const std::string& option, ServiceLoad& load) {
  const std::size_t equals = option.find('=');
  const std::string name = option.substr(0, equals);
  const std::string text =
      equals == std::string::npos ? "" : option.substr(equals + 1);
  if (name == "rate") {
    load.requests_per_second = ParseNumber(option, text);
  } else if (name == "long") {
    load.long_share = ParseNumber(option, text);
    if (load.long_share > 1) {
      throw LoadSettingsError("option '" + option + "': expected at most 1");
    }
  } else if (name == "scheme") {
    const auto scheme = FromString<NamingScheme>(text);
    if (!scheme) {
      throw LoadSettingsError("option '" + option +
                              "': expected host, path or code");
    }
    load.scheme = *scheme;
  } else if (option == "key") {
    load.with_key = true;
  } else {
    throw LoadSettingsError("unknown option '" + option + "'");
  }
}

}  // namespace

std::vector<ServiceLoad> ParseMix(const std::string& text) {
  std::vector<ServiceLoad> services;
  const std::vector<std::string> items =
      absl::StrSplit(text, ',', absl::SkipEmpty());
  for (const std::string& item : items) {
    const std::vector<std::string> parts = absl::StrSplit(item, ':');
    ServiceLoad load;
    load.service = parts[0];
    for (std::size_t i = 1; i < parts.size(); ++i) {
      TakeOption(parts[i], load);
    }
    if (load.service.empty() || load.requests_per_second <= 0) {
      throw LoadSettingsError("'" + item + "': expected a name and a rate");
    }
    services.push_back(std::move(load));
  }
  if (services.empty()) {
    throw LoadSettingsError("the mix names no service");
  }
  return services;
}

std::vector<std::string> CallerAddresses(const LoadSettings& settings) {
  std::vector<std::string> addresses;
  const auto bases = static_cast<std::int32_t>(settings.clients.size());
  for (std::int32_t caller = 0; caller < settings.callers; ++caller) {
    if (bases == 0) {
      addresses.emplace_back();
      continue;
    }
    boost::system::error_code error;
    const auto base = boost::asio::ip::make_address_v4(
        settings.clients[static_cast<std::size_t>(caller % bases)], error);
    if (error) {
      throw LoadSettingsError("clients: expected IPv4 numbers");
    }
    const auto neighbour = static_cast<std::uint32_t>(caller / bases);
    addresses.push_back(
        boost::asio::ip::address_v4(base.to_uint() + neighbour).to_string());
  }
  return addresses;
}

}  // namespace kumquatcove
