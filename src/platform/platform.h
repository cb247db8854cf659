#ifndef PLATFORM_PLATFORM_H_
#define PLATFORM_PLATFORM_H_

/**
 * Module `platform`: names, formats and calls of the users' platform.
 *
 * `MakeUserPlatformDialect` translates headers, look-ups and store calls;
 * `UserRegistryCodec` reads the rows of the store. Nothing is decided here, and
 * no other module knows a name that is spelled here.
 */
#include "platform/user_platform_dialect.h"
#include "platform/user_registry_codec.h"
#include "platform/user_store_codec.h"

#endif  // PLATFORM_PLATFORM_H_
