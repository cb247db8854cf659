#ifndef NODE_PENDING_REQUEST_H_
#define NODE_PENDING_REQUEST_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <variant>
#include <vector>

#include "base/clock_reading.h"
#include "base/name.h"
#include "catalogue/entry.h"
#include "claims/claim_table.h"
#include "protocol/http_message.h"
#include "protocol/ids.h"
#include "protocol/peer_message.h"

namespace kumquatcove {

/** The request came from a caller, which waits for the answer. */
struct CallerOrigin {};

/** Another entry instance relayed the request. */
struct RelayOrigin {
  InstanceId instance;
  RelayId relay;
  RelayPurpose purpose = RelayPurpose::kSpillover;
};

/** The caller has disconnected. The request continues because it may have run
 * already. */
struct NoOrigin {};

using RequestOrigin = std::variant<CallerOrigin, RelayOrigin, NoOrigin>;

/** A relay to another instance that hasn't been answered yet. */
struct OutgoingRelay {
  RelayId relay;
  InstanceId instance;
  std::int64_t incarnation = 0;
  /** Empty for RelayPurpose::kClaimOwner. */
  RegionName region;
  RelayPurpose purpose = RelayPurpose::kSpillover;
};

/** A request between its arrival and its answer. */
struct PendingRequest {
  RequestId id;
  RequestOrigin origin;
  std::shared_ptr<const HttpRequest> http;
  ServiceName service;
  RequestClass request_class = RequestClass::kIdempotent;
  std::int32_t priority = 0;
  std::uint64_t content_hash = 0;
  WorkLength length = WorkLength::kShort;
  MonotonicTime arrived;
  MonotonicTime deadline;

  /** Set for non-idempotent requests that this instance claims. */
  std::optional<ClaimKey> claim;
  bool awaits_claim = false;
  bool claim_granted = false;

  std::vector<TicketId> attempts;
  std::vector<UpstreamId> tried_upstreams;
  std::optional<OutgoingRelay> relay;
  std::vector<RegionName> tried_regions;
  bool shift_tried = false;
  int failures_before_sending = 0;
  bool hedged = false;
  bool isolate = false;
  bool holds_spillover_slot = false;
  /** The request was sent and may have run although no answer arrived. */
  bool may_have_run = false;
  /** Answer that is delayed until peers have acknowledged a suspicion. */
  std::optional<CallerAnswer> held_answer;
};

}  // namespace kumquatcove

#endif  // NODE_PENDING_REQUEST_H_
