#include "registry/route_table.h"

#include <algorithm>
#include <utility>

#include <absl/strings/ascii.h>

namespace kumquatcove {

RouteTable::RouteTable(RouteConfiguration configuration)
    : m_configuration(std::move(configuration)) {
  for (std::size_t i = 0; i < m_configuration.routes.size(); ++i) {
    m_hosts[absl::AsciiStrToLower(m_configuration.routes[i].host)].push_back(i);
  }
  for (auto& [host, routes] : m_hosts) {
    std::stable_sort(routes.begin(), routes.end(),
                     [this](std::size_t left, std::size_t right) {
                       return m_configuration.routes[left].prefix.size() >
                              m_configuration.routes[right].prefix.size();
                     });
  }
  for (std::size_t i = 0; i < m_configuration.services.size(); ++i) {
    m_services[m_configuration.services[i].service] = i;
  }
}

const Route* RouteTable::Find(std::string_view host,
                              std::string_view path) const {
  const auto found = m_hosts.find(
      absl::AsciiStrToLower(std::string(host.substr(0, host.find(':')))));
  if (found == m_hosts.end()) {
    return nullptr;
  }
  for (const std::size_t index : found->second) {
    const Route& route = m_configuration.routes[index];
    if (path.starts_with(route.prefix)) {
      return &route;
    }
  }
  return nullptr;
}

const ServiceTraits* RouteTable::FindService(const ServiceName& service) const {
  const auto found = m_services.find(service);
  return found == m_services.end() ? nullptr
                                   : &m_configuration.services[found->second];
}

}  // namespace kumquatcove
