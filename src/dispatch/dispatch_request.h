#ifndef DISPATCH_DISPATCH_REQUEST_H_
#define DISPATCH_DISPATCH_REQUEST_H_

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/clock_reading.h"
#include "base/enum_table.h"
#include "dispatch/placement.h"
#include "protocol/http_message.h"
#include "protocol/ids.h"
#include "registry/route_table.h"

namespace kumquatcove {

/** What allowed a send to an upstream that states a rate limit. */
enum class SendAllowance { kPermit, kTimeSlot };

constexpr auto EnumNames(SendAllowance /*unused*/) {
  return std::array{
      EnumName<SendAllowance>{SendAllowance::kPermit, "permit"},
      EnumName<SendAllowance>{SendAllowance::kTimeSlot, "time-slot"}};
}

/** A send of a request to an upstream, which may still wait for its connection.
 */
struct ActiveSend {
  UpstreamId upstream;
  ConnectionId connection;
  MonotonicTime started;
  PlacementChoice choice;
  /** Empty if no rate limit of the upstream is known. */
  std::optional<SendAllowance> allowance;
  /** The connection has carried an earlier request. */
  bool reused = false;
  /** The request was written to the connection; the upstream may execute it
   * from then on. */
  bool sent = false;
  MonotonicTime sent_at;
};

/** A caller's request from its arrival to its answer. */
struct DispatchRequest {
  RequestId id;
  std::shared_ptr<const HttpRequest> http;
  /** Id of the caller's send. */
  std::string attempt;
  /** Routes in force when the request arrived; `route` points into them. */
  std::shared_ptr<const RouteTable> table;
  const Route* route = nullptr;
  ServiceName service;
  PlacementRequest placement;
  std::uint64_t content_hash = 0;
  MonotonicTime arrived;
  /** Earlier of the caller's deadline and the route's timeout. */
  MonotonicTime deadline;
  std::optional<ActiveSend> active;
  /** Upstream for whose free slot or permit the request waits. */
  std::optional<UpstreamId> awaited;
  /** Last time at which an upstream was chosen for it. */
  MonotonicTime chosen;
  /** The send that ended last, for the log. */
  std::optional<ActiveSend> last;
  /** Best choice for a request that was refused for lack of room because that
   * choice would have missed the deadline. */
  std::optional<PlacementChoice> considered;
  /** Sends that reached an upstream. */
  int sends = 0;
  /** An upstream may have run the request. */
  bool may_have_run = false;
  /** The caller has closed its connection; the answer is discarded. */
  bool abandoned = false;

  bool IsIdempotent() const {
    return route->request_class == RequestClass::kIdempotent;
  }
};

}  // namespace kumquatcove

#endif  // DISPATCH_DISPATCH_REQUEST_H_
