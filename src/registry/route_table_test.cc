#include "registry/route_table.h"

#include <doctest/doctest.h>

namespace kumquatcove {
namespace {

Route MakeRoute(const std::string& host, const std::string& prefix) {
  Route route;
  route.name = host + prefix;
  route.host = host;
  route.prefix = prefix;
  route.services = {{ServiceName("s"), 1}};
  return route;
}

RouteTable MakeTable() {
  RouteConfiguration configuration;
  configuration.version = 4;
  configuration.routes = {MakeRoute("a.example", "/x/"),
                          MakeRoute("a.example", "/x/y/"),
                          MakeRoute("b.example", "/")};
  ServiceTraits traits;
  traits.service = ServiceName("s");
  traits.max_connections = 7;
  configuration.services = {traits};
  return RouteTable(configuration);
}

}  // namespace

TEST_CASE("The route with the longest matching prefix is selected") {
  const RouteTable table = MakeTable();
  REQUIRE(table.Find("a.example", "/x/y/z") != nullptr);
  CHECK(table.Find("a.example", "/x/y/z")->prefix == "/x/y/");
  CHECK(table.Find("a.example", "/x/z")->prefix == "/x/");
  CHECK(table.Find("b.example", "/x/z")->prefix == "/");
}

TEST_CASE("The case and the port of a host are ignored") {
  const RouteTable table = MakeTable();
  REQUIRE(table.Find("A.Example:8080", "/x/") != nullptr);
  CHECK(table.Find("A.Example:8080", "/x/")->prefix == "/x/");
}

TEST_CASE("Find returns nullptr if no route matches") {
  const RouteTable table = MakeTable();
  CHECK(table.Find("a.example", "/x") == nullptr);
  CHECK(table.Find("c.example", "/x/") == nullptr);
  CHECK(RouteTable().Find("a.example", "/x/") == nullptr);
}

TEST_CASE("FindService returns the traits of a service") {
  const RouteTable table = MakeTable();
  REQUIRE(table.FindService(ServiceName("s")) != nullptr);
  CHECK(table.FindService(ServiceName("s"))->max_connections == 7);
  CHECK(table.FindService(ServiceName("t")) == nullptr);
}

}  // namespace kumquatcove
