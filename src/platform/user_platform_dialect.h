#ifndef PLATFORM_USER_PLATFORM_DIALECT_H_
#define PLATFORM_USER_PLATFORM_DIALECT_H_

#include "runtime/platform_dialect.h"

namespace kumquatcove {

/** Returns how callers, upstreams and the store speak on the users' platform.
 * Safe from any thread. */
PlatformDialect MakeUserPlatformDialect();

}  // namespace kumquatcove

#endif  // PLATFORM_USER_PLATFORM_DIALECT_H_
