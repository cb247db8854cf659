#include "runtime/settings.h"

#include <doctest/doctest.h>

#include <filesystem>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace kumquatcove {
namespace {

std::string ExampleFile() {
  return (std::filesystem::path(__FILE__).parent_path() /
          "../../examples/kumquatcoved.json")
      .string();
}

Settings Example() {
  return ReadSettingsFile(ExampleFile());
}

/** Returns the error for the example after `change`; empty if it is valid. */
template <class Change>
std::string ErrorAfter(Change change) {
  boost::json::value json = ToJson(Example());
  change(json.as_object());
  try {
    ParseSettings(boost::json::serialize(json), "s.json");
  } catch (const SettingsError& error) {
    return error.what();
  }
  return "";
}

}  // namespace

TEST_CASE(
    "The example settings are valid, so that the documentation stays up to "
    "date") {
  const Settings settings = Example();
  CHECK(settings.instance == InstanceId("lima-a-1"));
  CHECK(settings.seeds->size() == 1);
  CHECK(settings.emulation->addresses->size() == 2);
}

TEST_CASE("Optional members may be omitted") {
  CHECK(ErrorAfter([](boost::json::object& settings) {
          settings.erase("seeds");
          settings.erase("routing");
          settings.erase("emulation");
          settings.erase("log_level");
        }).empty());
}

TEST_CASE("Errors name file, path, value and permitted range") {
  CHECK(ErrorAfter([](boost::json::object& settings) {
          settings["caller_address"] = "localhost:80";
        }) ==
        "s.json: $.caller_address: 'localhost:80' isn't permitted; expected an "
        "IPv4 number and a port, such as 127.0.0.1:7001");
  CHECK(ErrorAfter([](boost::json::object& settings) {
          settings["emulation"].as_object()["same_zone_us"] = 1'000'001;
        }) ==
        "s.json: $.emulation.same_zone_us: 1000001 isn't permitted; expected 0 "
        "to 1000000");
  CHECK(ErrorAfter([](boost::json::object& settings) {
          settings["seeds"].as_array()[0].as_object()["peer_address"] = "x";
        }).find("$.seeds[0].peer_address: 'x'") != std::string::npos);
  CHECK(ErrorAfter([](boost::json::object& settings) {
          settings["colour"] = 1;
        }) == "s.json: $.colour: unknown member");
  CHECK(ErrorAfter([](boost::json::object& settings) {
          settings["routing"].as_object()["policy"] = "best";
        }).find("$.routing.policy") != std::string::npos);
  CHECK(ErrorAfter([](boost::json::object& settings) {
          settings["emulation"].as_object()["addresses"].as_object()["a"] = "?";
        }).find("$.emulation.addresses.a: '?'") != std::string::npos);
}

TEST_CASE("Weak and repeated tokens are rejected without showing them") {
  const auto with_token = [](const char* token) {
    return ErrorAfter([&](boost::json::object& settings) {
      settings["operators"].as_array()[0].as_object()["token"] = token;
    });
  };
  CHECK(with_token("short").find("a token of 5 bytes") != std::string::npos);
  CHECK(ErrorAfter([](boost::json::object& settings) {
          auto& operators = settings["operators"].as_array();
          operators.push_back(operators[0]);
        }).find("$.operators[1].token: a token of another operator") !=
        std::string::npos);
}

TEST_CASE("Missing files and invalid JSON are reported with the file name") {
  CHECK_THROWS_WITH_AS(ReadSettingsFile("/nonexistent/s.json"),
                       "/nonexistent/s.json: can't be opened", SettingsError);
  CHECK_THROWS_AS(ParseSettings("{", "s.json"), SettingsError);
  CHECK_THROWS_AS(ParseSettings("[]", "s.json"), SettingsError);
}

TEST_CASE("Settings of a deployment with registered upstreams are checked") {
  const auto error_after = [](auto change) {
    return ErrorAfter([&](boost::json::object& settings) {
      RegisteredSettings registered;
      registered.lookup_address = "127.0.0.1:1";
      registered.readiness_address = "127.0.0.1:2";
      change(registered);
      settings["registered"] = ToJson(registered);
    });
  };
  CHECK(error_after([](RegisteredSettings&) {}).empty());
  CHECK(
      error_after(
          [](RegisteredSettings& registered) { registered.limits.grace_s = 0; })
          .find("$.registered.limits.grace_s: 0 isn't permitted; expected 0.5 "
                "to 3600") != std::string::npos);
  CHECK(error_after([](RegisteredSettings& registered) {
          registered.lookup_address = "x";
        }).find("$.registered.lookup_address: 'x'") != std::string::npos);
}

}  // namespace kumquatcove
