#ifndef PLATFORM_USER_STORE_CODEC_H_
#define PLATFORM_USER_STORE_CODEC_H_

#include "protocol/http_message.h"
#include "protocol/store_operation.h"

namespace kumquatcove {

/**
 * Returns the call of the platform's store for an operation.
 *
 * A key of the product is the platform's table and key with a slash between
 * them; parts aren't used. The transactions of a StoreWrite become one, which
 * commits as a whole, and only the first key of a StoreRead is read.
 * Precondition: each key has a slash. Safe from any thread.
 */
HttpRequest WriteUserStoreOperation(const StoreOperation& operation);

/** Converts the store's answer. An answer that isn't a complete, valid reply
 * gives kUnknown, since the operation may have taken effect. Safe from any
 * thread. */
StoreReply ReadUserStoreReply(const StoreOperation& operation,
                              const HttpAnswer& answer);

}  // namespace kumquatcove

#endif  // PLATFORM_USER_STORE_CODEC_H_
