#ifndef PROTOCOL_PEER_MESSAGE_H_
#define PROTOCOL_PEER_MESSAGE_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <boost/describe/class.hpp>

#include "base/clock_reading.h"
#include "base/enum_table.h"
#include "base/name.h"
#include "catalogue/entry.h"
#include "protocol/http_message.h"
#include "protocol/ids.h"
#include "protocol/outcome.h"

namespace kumquatcove {

/** Lifecycle phase of an entry instance. */
enum class InstancePhase { kJoining, kServing, kLeaving };

constexpr auto EnumNames(InstancePhase) {
  using Row = EnumName<InstancePhase>;
  return std::array{Row{InstancePhase::kJoining, "joining"},
                    Row{InstancePhase::kServing, "serving"},
                    Row{InstancePhase::kLeaving, "leaving"}};
}

/** An instance's description of itself, distributed by gossip. The record with
 * the greater (incarnation, counter) is newer. */
struct MemberRecord {
  InstanceId instance;
  /** Start time in wall-clock microseconds, raised above any other value
   * received for the same instance. */
  std::int64_t incarnation = 0;
  /** Heartbeat counter; increases while the instance runs. */
  std::int64_t counter = 0;
  RegionName region;
  ZoneName zone;
  /** IP address and port for callers. */
  std::string caller_address;
  /** IP address and port for other instances. */
  std::string peer_address;
  InstancePhase phase = InstancePhase::kJoining;
  std::int64_t catalogue_revision = 0;
  friend bool operator==(const MemberRecord&, const MemberRecord&) = default;
};
BOOST_DESCRIBE_STRUCT(MemberRecord,
                      (),
                      (instance,
                       incarnation,
                       counter,
                       region,
                       zone,
                       caller_address,
                       peer_address,
                       phase,
                       catalogue_revision))

/** Heartbeat with member records and the sender's catalogue revision. */
struct Gossip {
  static constexpr std::string_view kName = "gossip";
  std::vector<MemberRecord> records;
  std::int64_t catalogue_revision = 0;
  std::uint64_t catalogue_digest = 0;
  friend bool operator==(const Gossip&, const Gossip&) = default;
};
BOOST_DESCRIBE_STRUCT(Gossip,
                      (),
                      (records, catalogue_revision, catalogue_digest))

/** Expected duration of a request, based on the observed service times of its
 * path. */
enum class WorkLength { kShort, kLong };

constexpr auto EnumNames(WorkLength) {
  return std::array{EnumName<WorkLength>{WorkLength::kShort, "short"},
                    EnumName<WorkLength>{WorkLength::kLong, "long"}};
}

/** Requests a slot from the slot home of a service in this region. */
struct SlotRequest {
  static constexpr std::string_view kName = "slot_request";
  TicketId ticket;
  ServiceName service;
  /** Remaining time for which the request may wait, measured from the arrival
   * of this message. */
  Duration patience{0};
  WorkLength length = WorkLength::kShort;
  std::int32_t priority = 0;
  /** The request comes from another region, so that the headroom limit applies.
   */
  bool spillover = false;
  /** A hedge: granted only from free slots, never queued. */
  bool hedge = false;
  /** The request may crash upstreams, so it must run alone on an upstream. */
  bool isolate = false;
  /** Upstreams that were tried before. */
  std::vector<UpstreamId> exclude;
  friend bool operator==(const SlotRequest&, const SlotRequest&) = default;
};
BOOST_DESCRIBE_STRUCT(SlotRequest,
                      (),
                      (ticket,
                       service,
                       patience,
                       length,
                       priority,
                       spillover,
                       hedge,
                       isolate,
                       exclude))

/** Grants a slot of `upstream` until SlotRelease. */
struct SlotGrant {
  static constexpr std::string_view kName = "slot_grant";
  TicketId ticket;
  ServiceName service;
  UpstreamId upstream;
  friend bool operator==(const SlotGrant&, const SlotGrant&) = default;
};
BOOST_DESCRIBE_STRUCT(SlotGrant, (), (ticket, service, upstream))

struct SlotRefusal {
  static constexpr std::string_view kName = "slot_refusal";
  TicketId ticket;
  ServiceName service;
  RefusalReason reason = RefusalReason::kNone;
  friend bool operator==(const SlotRefusal&, const SlotRefusal&) = default;
};
BOOST_DESCRIBE_STRUCT(SlotRefusal, (), (ticket, service, reason))

/** Notifies the sender of SlotRequest that the request is in the home's queue,
 * which distinguishes a queued request from an unresponsive home. */
struct SlotQueued {
  static constexpr std::string_view kName = "slot_queued";
  TicketId ticket;
  ServiceName service;
  friend bool operator==(const SlotQueued&, const SlotQueued&) = default;
};
BOOST_DESCRIBE_STRUCT(SlotQueued, (), (ticket, service))

/** Result of an attempt at an upstream, as observed by the entry instance that
 * made it. */
enum class AttemptResult {
  kAnswered,
  kShed,
  kFailed,
  kTimedOut,
  kCancelled,
  kNotSent
};

constexpr auto EnumNames(AttemptResult) {
  using Row = EnumName<AttemptResult>;
  return std::array{Row{AttemptResult::kAnswered, "answered"},
                    Row{AttemptResult::kShed, "shed"},
                    Row{AttemptResult::kFailed, "failed"},
                    Row{AttemptResult::kTimedOut, "timed-out"},
                    Row{AttemptResult::kCancelled, "cancelled"},
                    Row{AttemptResult::kNotSent, "not-sent"}};
}

/** Returns a slot, or withdraws a request that is still queued (kNotSent). */
struct SlotRelease {
  static constexpr std::string_view kName = "slot_release";
  TicketId ticket;
  ServiceName service;
  /** Empty if the ticket was withdrawn before a grant. */
  UpstreamId upstream;
  AttemptResult result = AttemptResult::kNotSent;
  /** Time from sending the request to the end of the attempt. */
  Duration service_time{0};
  friend bool operator==(const SlotRelease&, const SlotRelease&) = default;
};
BOOST_DESCRIBE_STRUCT(SlotRelease,
                      (),
                      (ticket, service, upstream, result, service_time))

/** A slot currently used by the sender. */
struct HeldSlot {
  TicketId ticket;
  UpstreamId upstream;
  friend bool operator==(const HeldSlot&, const HeldSlot&) = default;
};
BOOST_DESCRIBE_STRUCT(HeldSlot, (), (ticket, upstream))

/** All slots of a service that the sender uses; sent to a new slot home. */
struct SlotInventory {
  static constexpr std::string_view kName = "slot_inventory";
  ServiceName service;
  std::vector<HeldSlot> held;
  friend bool operator==(const SlotInventory&, const SlotInventory&) = default;
};
BOOST_DESCRIBE_STRUCT(SlotInventory, (), (service, held))

/** Why a request is relayed to another entry instance. */
enum class RelayPurpose {
  /** The region of the sender has no capacity left. */
  kSpillover,
  /** A declared shift moves the request to another region. */
  kShift,
  /** The receiver holds the claim of the idempotency key. */
  kClaimOwner,
};

constexpr auto EnumNames(RelayPurpose) {
  using Row = EnumName<RelayPurpose>;
  return std::array{Row{RelayPurpose::kSpillover, "spillover"},
                    Row{RelayPurpose::kShift, "shift"},
                    Row{RelayPurpose::kClaimOwner, "claim-owner"}};
}

/** Requests another entry instance to handle a request. Sent once for each
 * `relay`. */
struct RelayRequest {
  static constexpr std::string_view kName = "relay_request";
  RelayId relay;
  RelayPurpose purpose = RelayPurpose::kSpillover;
  ServiceName service;
  /** Remaining time, measured from the arrival of this message. */
  Duration patience{0};
  HttpRequest http;
  friend bool operator==(const RelayRequest&, const RelayRequest&) = default;
};
BOOST_DESCRIBE_STRUCT(RelayRequest,
                      (),
                      (relay, purpose, service, patience, http))

struct RelayAnswer {
  static constexpr std::string_view kName = "relay_answer";
  RelayId relay;
  CallerAnswer answer;
  friend bool operator==(const RelayAnswer&, const RelayAnswer&) = default;
};
BOOST_DESCRIBE_STRUCT(RelayAnswer, (), (relay, answer))

/** The sender no longer waits for a relayed idempotent request. */
struct RelayCancel {
  static constexpr std::string_view kName = "relay_cancel";
  RelayId relay;
  friend bool operator==(const RelayCancel&, const RelayCancel&) = default;
};
BOOST_DESCRIBE_STRUCT(RelayCancel, (), (relay))

enum class UpstreamState { kServing, kSlowed, kDraining, kDown };

constexpr auto EnumNames(UpstreamState) {
  using Row = EnumName<UpstreamState>;
  return std::array{Row{UpstreamState::kServing, "serving"},
                    Row{UpstreamState::kSlowed, "slowed"},
                    Row{UpstreamState::kDraining, "draining"},
                    Row{UpstreamState::kDown, "down"}};
}

/** Change of an upstream's state, sent to all entry instances when it is first
 * detected. */
struct UpstreamNotice {
  static constexpr std::string_view kName = "upstream_notice";
  UpstreamId upstream;
  UpstreamState state = UpstreamState::kServing;
  friend bool operator==(const UpstreamNotice&,
                         const UpstreamNotice&) = default;
};
BOOST_DESCRIBE_STRUCT(UpstreamNotice, (), (upstream, state))

/** Suspicion level of requests with a certain content hash, which may crash
 * upstreams. */
enum class SuspicionLevel { kCleared, kSuspect, kQuarantined };

constexpr auto EnumNames(SuspicionLevel) {
  using Row = EnumName<SuspicionLevel>;
  return std::array{Row{SuspicionLevel::kCleared, "cleared"},
                    Row{SuspicionLevel::kSuspect, "suspect"},
                    Row{SuspicionLevel::kQuarantined, "quarantined"}};
}

/** Notifies of the suspicion level of requests with this content hash; the
 * receiver acknowledges it. */
struct Suspicion {
  static constexpr std::string_view kName = "suspicion";
  std::uint64_t content_hash = 0;
  SuspicionLevel level = SuspicionLevel::kSuspect;
  /** Upstream that failed while it ran a request with this content hash. */
  UpstreamId upstream;
  friend bool operator==(const Suspicion&, const Suspicion&) = default;
};
BOOST_DESCRIBE_STRUCT(Suspicion, (), (content_hash, level, upstream))

struct SuspicionAck {
  static constexpr std::string_view kName = "suspicion_ack";
  std::uint64_t content_hash = 0;
  SuspicionLevel level = SuspicionLevel::kSuspect;
  friend bool operator==(const SuspicionAck&, const SuspicionAck&) = default;
};
BOOST_DESCRIBE_STRUCT(SuspicionAck, (), (content_hash, level))

/** Requests all catalogue entries that changed after `known_revision`. */
struct CatalogueRequest {
  static constexpr std::string_view kName = "catalogue_request";
  std::int64_t known_revision = 0;
  friend bool operator==(const CatalogueRequest&,
                         const CatalogueRequest&) = default;
};
BOOST_DESCRIBE_STRUCT(CatalogueRequest, (), (known_revision))

/** Entries that changed after `base_revision`. Applying them brings the
 * receiver to `revision`. */
struct CatalogueDelta {
  static constexpr std::string_view kName = "catalogue_delta";
  std::int64_t base_revision = 0;
  std::int64_t revision = 0;
  /** Digest of the whole catalogue at `revision`. */
  std::uint64_t digest = 0;
  std::vector<CatalogueEntry> entries;
  friend bool operator==(const CatalogueDelta&,
                         const CatalogueDelta&) = default;
};
BOOST_DESCRIBE_STRUCT(CatalogueDelta,
                      (),
                      (base_revision, revision, digest, entries))

/** Load of one upstream as tracked by an instance. */
struct UpstreamLoad {
  /** StableHash of the upstream's id. */
  std::uint64_t upstream_hash = 0;
  /** Requests that the sender has sent to the upstream (`in_flight`), and
   * requests queued at the sender for it (`awaited`). */
  std::int32_t in_flight = 0;
  std::int32_t awaited = 0;
  /** Requests of instances from which the sender receives no messages,
   * according to the upstream's last report. */
  std::int32_t others = 0;
  /** Current duration of work at the upstream, in percent of the usual
   * duration. */
  std::int32_t work_time_percent = 100;
  /** Time since that report; negative if the sender has none. */
  Duration report_age{-1};
  friend bool operator==(const UpstreamLoad&, const UpstreamLoad&) = default;
};
BOOST_DESCRIBE_STRUCT(
    UpstreamLoad,
    (),
    (upstream_hash, in_flight, awaited, others, work_time_percent, report_age))

/** An upstream has handled an object. */
struct HandledObject {
  /** StableHash of the upstream's id. */
  std::uint64_t upstream_hash = 0;
  std::uint64_t object_hash = 0;
  friend bool operator==(const HandledObject&, const HandledObject&) = default;
};
BOOST_DESCRIBE_STRUCT(HandledObject, (), (upstream_hash, object_hash))

/** Rate limit that an upstream states, as known to the sender. */
struct StatedLimit {
  /** Requests per second; negative if the upstream states none any more. */
  double rate = -1;
  /** Time since an answer with the limit was received, or since a request was
   * sent whose answer had none. */
  Duration age{0};
  friend bool operator==(const StatedLimit&, const StatedLimit&) = default;
};
BOOST_DESCRIBE_STRUCT(StatedLimit, (), (rate, age))

struct UpstreamLimit {
  /** StableHash of the upstream's id. */
  std::uint64_t upstream_hash = 0;
  StatedLimit limit;
  friend bool operator==(const UpstreamLimit&, const UpstreamLimit&) = default;
};
BOOST_DESCRIBE_STRUCT(UpstreamLimit, (), (upstream_hash, limit))

/** Expected time until a further request gets a permit of an upstream, as told
 * by the instance that issues its permits. */
struct PermitForecast {
  /** StableHash of the upstream's id. */
  std::uint64_t upstream_hash = 0;
  Duration wait{0};
  /** Time since the issuer's message was received. */
  Duration age{0};
  friend bool operator==(const PermitForecast&,
                         const PermitForecast&) = default;
};
BOOST_DESCRIBE_STRUCT(PermitForecast, (), (upstream_hash, wait, age))

/** Requests of the sender that wait for permits of an upstream. */
struct PermitDemand {
  /** StableHash of the upstream's id. */
  std::uint64_t upstream_hash = 0;
  std::int32_t wanted = 0;
  /** Number of permits of this upstream that the sender has received in the run
   * of its process. */
  std::uint64_t received = 0;
  StatedLimit limit;
  friend bool operator==(const PermitDemand&, const PermitDemand&) = default;
};
BOOST_DESCRIBE_STRUCT(PermitDemand,
                      (),
                      (upstream_hash, wanted, received, limit))

/** Requests permits to send requests to upstreams that state a rate limit;
 * answered by PermitGrant. Each demand replaces the sender's last one for that
 * upstream. */
struct PermitRequest {
  static constexpr std::string_view kName = "permit_request";
  std::vector<PermitDemand> demands;
  friend bool operator==(const PermitRequest&, const PermitRequest&) = default;
};
BOOST_DESCRIBE_STRUCT(PermitRequest, (), (demands))

/** Permits for the receiver, each for one request to the upstream. */
struct GrantedPermits {
  /** StableHash of the upstream's id. */
  std::uint64_t upstream_hash = 0;
  std::int32_t count = 0;
  /** Expected time until a further request of the receiver gets a permit. */
  Duration wait{0};
  /** The sender isn't the issuer of the upstream's permits; according to it
   * this instance is. Empty otherwise. */
  InstanceId issuer;
  StatedLimit limit;
  friend bool operator==(const GrantedPermits&,
                         const GrantedPermits&) = default;
};
BOOST_DESCRIBE_STRUCT(GrantedPermits,
                      (),
                      (upstream_hash, count, wait, issuer, limit))

/** Answers PermitRequest, at once and again whenever permits become available.
 */
struct PermitGrant {
  static constexpr std::string_view kName = "permit_grant";
  std::vector<GrantedPermits> grants;
  friend bool operator==(const PermitGrant&, const PermitGrant&) = default;
};
BOOST_DESCRIBE_STRUCT(PermitGrant, (), (grants))

/** Load that an instance causes at upstreams, and the information it has
 * received about them since its last digest. Upstreams that are not listed have
 * no load. */
struct LoadDigest {
  static constexpr std::string_view kName = "load_digest";
  std::vector<UpstreamLoad> upstreams;
  /** In the order of their answers. */
  std::vector<HandledObject> handled;
  /** Versions of the newest rows that the sender has read from the operator's
   * table and from the upstreams table of the store. */
  std::int64_t operator_version = 0;
  std::int64_t upstreams_version = 0;
  /** Era of the store to which these versions belong. */
  std::int64_t store_era = 0;
  /** Rate limits that upstreams have stated to the sender, or stopped to state.
   */
  std::vector<UpstreamLimit> limits;
  /** Waits for permits that issuers have told the sender. */
  std::vector<PermitForecast> forecasts;
  friend bool operator==(const LoadDigest&, const LoadDigest&) = default;
};
BOOST_DESCRIBE_STRUCT(LoadDigest,
                      (),
                      (upstreams,
                       handled,
                       operator_version,
                       upstreams_version,
                       store_era,
                       limits,
                       forecasts))

using PeerMessage = std::variant<Gossip,
                                 SlotRequest,
                                 SlotGrant,
                                 SlotRefusal,
                                 SlotRelease,
                                 SlotInventory,
                                 RelayRequest,
                                 RelayAnswer,
                                 RelayCancel,
                                 UpstreamNotice,
                                 Suspicion,
                                 SuspicionAck,
                                 CatalogueRequest,
                                 CatalogueDelta,
                                 SlotQueued,
                                 LoadDigest,
                                 PermitRequest,
                                 PermitGrant>;

}  // namespace kumquatcove

#endif  // PROTOCOL_PEER_MESSAGE_H_
