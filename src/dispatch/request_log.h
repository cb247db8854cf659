#ifndef DISPATCH_REQUEST_LOG_H_
#define DISPATCH_REQUEST_LOG_H_

#include <optional>
#include <string>

#include "dispatch/dispatch_request.h"
#include "protocol/context.h"
#include "protocol/http_message.h"

namespace kumquatcove {

/** Returns a rate limit in requests per second for the log. */
std::string FormatRate(std::optional<double> rate);

/** Records the end of a request with the inputs of its last decision. */
void RecordRequestEnd(Context& context,
                      const DispatchRequest& request,
                      const CallerAnswer& answer);

}  // namespace kumquatcove

#endif  // DISPATCH_REQUEST_LOG_H_
