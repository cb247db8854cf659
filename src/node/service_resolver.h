#ifndef NODE_SERVICE_RESOLVER_H_
#define NODE_SERVICE_RESOLVER_H_

#include <cstdint>

#include "base/clock_reading.h"
#include "base/name.h"
#include "catalogue/catalogue_index.h"
#include "protocol/http_message.h"

namespace kumquatcove {

/**
 * Returns the service that a request names, or null if there is no match.
 *
 * Looks at `Kumquatcove-Service` first, then at the host name, then at the
 * first path segment. Callers that connect by IP address send the entry's
 * address as the host.
 */
const ServiceEntry* ResolveService(const CatalogueIndex& catalogue,
                                   const HttpRequest& http);

/** Returns the request's timeout, limited by the service's maximum. */
Duration RequestTimeout(const HttpRequest& http, const ServiceLimits& limits);

/** Returns whether the caller marked the request as resent
 * (`Kumquatcove-Resend`). The first send may have gone to another entry
 * instance. */
bool IsMarkedAsResend(const HttpRequest& http);

/** Returns a hash of service, method, target and body, which identifies equal
 * requests regardless of their idempotency keys. */
std::uint64_t ContentHash(const ServiceName& service, const HttpRequest& http);

}  // namespace kumquatcove

#endif  // NODE_SERVICE_RESOLVER_H_
