#ifndef DISPATCH_ANSWER_STATUS_H_
#define DISPATCH_ANSWER_STATUS_H_

#include <cstdint>

namespace kumquatcove {

/** Returns whether an HTTP status reports a success (2xx). */
bool IsSuccess(std::int32_t status);

/** Returns whether an HTTP status reports a failure of the server (5xx). */
bool IsServerError(std::int32_t status);

/** Returns whether a status tells a caller that its request has not run. */
bool PromisesNotRun(std::int32_t status);

}  // namespace kumquatcove

#endif  // DISPATCH_ANSWER_STATUS_H_
