#ifndef DISPATCH_DISPATCH_REQUEST_H_
#define DISPATCH_DISPATCH_REQUEST_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/clock_reading.h"
#include "dispatch/placement.h"
#include "protocol/http_message.h"
#include "protocol/ids.h"
#include "registry/route_table.h"

namespace kumquatcove {

/** A request that has been given to an upstream, or waits for a connection. */
struct ActiveSend {
  UpstreamId upstream;
  ConnectionId connection;
  MonotonicTime started;
  PlacementChoice choice;
  /** The connection has carried an earlier request. */
  bool reused = false;
  /** The request has been handed to the connection; from then on it may run. */
  bool sent = false;
  MonotonicTime sent_at;
};

/** A caller's request from its arrival to its answer. */
struct DispatchRequest {
  RequestId id;
  std::shared_ptr<const HttpRequest> http;
  /** Id of the caller's send. */
  std::string attempt;
  /** Table that was in force at the arrival; `route` points into it. */
  std::shared_ptr<const RouteTable> table;
  const Route* route = nullptr;
  ServiceName service;
  PlacementRequest placement;
  std::uint64_t content_hash = 0;
  MonotonicTime arrived;
  /** The caller waits no longer, or the route allows no more time. */
  MonotonicTime deadline;
  std::optional<ActiveSend> active;
  /** Upstream for whose room it waits. */
  std::optional<UpstreamId> awaited;
  /** The send that ended last, for the log. */
  std::optional<ActiveSend> last;
  /** The best choice, which was too late, of a request that is refused for lack
   * of room. */
  std::optional<PlacementChoice> considered;
  /** Sends that reached an upstream. */
  int sends = 0;
  /** An upstream may have run the request. */
  bool may_have_run = false;
  /** The caller has closed its connection; the answer goes nowhere. */
  bool abandoned = false;

  bool IsIdempotent() const {
    return route->request_class == RequestClass::kIdempotent;
  }
};

}  // namespace kumquatcove

#endif  // DISPATCH_DISPATCH_REQUEST_H_
