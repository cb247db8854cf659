#include "node/service_resolver.h"

#include <algorithm>
#include <locale>
#include <string>

#include <boost/algorithm/string/predicate.hpp>

#include "base/hash.h"

namespace kumquatcove {
namespace {

constexpr const char* kResendHeader = "Kumquatcove-Resend";

std::string FirstPathSegment(const std::string& target) {
  const std::size_t begin = target.find_first_not_of('/');
  if (begin == std::string::npos) {
    return "";
  }
  const std::size_t end = target.find_first_of("/?", begin);
  return target.substr(begin, end == std::string::npos ? end : end - begin);
}

std::string HostWithoutPort(const std::string& host) {
  return host.substr(0, host.find(':'));
}

}  // namespace

const ServiceEntry* ResolveService(const CatalogueIndex& catalogue,
                                   const HttpRequest& http) {
  if (!http.service_code.empty()) {
    return catalogue.FindByName(NamingScheme::kCode, http.service_code);
  }
  if (const ServiceEntry* by_host = catalogue.FindByName(
          NamingScheme::kHost, HostWithoutPort(http.host))) {
    return by_host;
  }
  return catalogue.FindByName(NamingScheme::kPath,
                              FirstPathSegment(http.target));
}

Duration RequestTimeout(const HttpRequest& http, const ServiceLimits& limits) {
  const Duration wanted =
      http.deadline.value_or(Milliseconds(limits.default_deadline_ms));
  return std::min(wanted, Milliseconds(limits.max_deadline_ms));
}

bool IsMarkedAsResend(const HttpRequest& http) {
  return std::any_of(http.headers.begin(), http.headers.end(),
                     [](const HttpHeader& header) {
                       return boost::algorithm::iequals(
                           header.name, kResendHeader, std::locale::classic());
                     });
}

std::uint64_t ContentHash(const ServiceName& service, const HttpRequest& http) {
  return StableHash({service.Text(), http.method, http.target, http.body});
}

}  // namespace kumquatcove
