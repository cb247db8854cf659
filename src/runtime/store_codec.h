#ifndef RUNTIME_STORE_CODEC_H_
#define RUNTIME_STORE_CODEC_H_

#include "protocol/http_message.h"
#include "protocol/store_operation.h"

namespace kumquatcove {

/**
 * Encodes an operation as an HTTP request: in the JSON format of the etcd v3
 * key-value API, or as GET or PUT of an object.
 *
 * A StoreWrite is one transaction without conditions that contains one nested
 * transaction for each of its transactions. Version 0 in a condition is
 * expressed by a create revision of 0. The era of a reply is the cluster id of
 * its header, which must rise with each restore of the store.
 */
HttpRequest EncodeStoreOperation(const StoreOperation& operation);

/**
 * Decodes the platform's answer to `operation`.
 *
 * Status 503 is decoded as kRefused. Every other answer that is not a complete,
 * valid reply is decoded as kUnknown, since the operation may have taken
 * effect.
 */
StoreReply DecodeStoreReply(const StoreOperation& operation,
                            const HttpAnswer& answer);

}  // namespace kumquatcove

#endif  // RUNTIME_STORE_CODEC_H_
