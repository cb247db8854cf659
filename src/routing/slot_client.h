#ifndef ROUTING_SLOT_CLIENT_H_
#define ROUTING_SLOT_CLIENT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/clock_reading.h"
#include "base/name.h"
#include "membership/member_table.h"
#include "protocol/context.h"
#include "protocol/peer_message.h"
#include "routing/routing_settings.h"
#include "routing/upstream_chooser.h"
#include "routing/upstream_health.h"

namespace kumquatcove {

/** Answer to a request for a slot: an upstream, or a refusal if `upstream` is
 * empty. */
struct SlotDecision {
  TicketId ticket;
  UpstreamId upstream;
  RefusalReason reason = RefusalReason::kNone;
};

/**
 * Gets slots for this instance's attempts, from the slot home of the service in
 * this region, or by local choice while no home answers.
 *
 * A home answers each SlotRequest at once, at least with SlotQueued. A home
 * that doesn't answer within kHomeReplyTimeout is unresponsive. While requests
 * are queued at a home from which no message has arrived for kHomeReplyTimeout,
 * one of them is resent as a check. Requests for an unresponsive home are
 * decided locally at once, except one check per kUnresponsiveCheckInterval that
 * detects whether it is available again.
 *
 * Thread safety: none; owned by one reducer.
 */
class SlotClient {
 public:
  /** Timeout for the answer of a home; a round trip inside a region takes 1 to
   * 2 ms. */
  static constexpr Duration kHomeReplyTimeout = Milliseconds(40);
  /** Interval between checks of an unresponsive home. */
  static constexpr Duration kUnresponsiveCheckInterval = Milliseconds(100);

  explicit SlotClient(RoutingSettings settings);

  /** Requests a slot; TakeDecisions returns exactly one decision unless
   * Withdraw is called before. */
  void Request(Context& context,
               const MemberTable& members,
               const UpstreamHealth& health,
               const SlotRequest& request);

  /** Handles the home's answer. A grant that arrives too late is released. */
  void OnGrant(Context& context,
               const MemberTable& members,
               const InstanceId& from,
               const SlotGrant& grant);
  void OnRefusal(Context& context,
                 const MemberTable& members,
                 const InstanceId& from,
                 const SlotRefusal& refusal);
  /** Records that the home has queued the request. */
  void OnQueued(Context& context,
                const MemberTable& members,
                const InstanceId& from,
                const SlotQueued& queued);

  /** Releases the slot of a decided attempt and reports the attempt's result.
   */
  void Release(Context& context,
               const MemberTable& members,
               TicketId ticket,
               AttemptResult result,
               Duration service_time);

  /** Withdraws a request that has no decision yet. */
  void Withdraw(Context& context, const MemberTable& members, TicketId ticket);

  /**
   * Falls back to local choice if the home is unresponsive, and sends
   * inventories after a change of home.
   *
   * Requests that wait for a slot of this instance's share are granted here, so
   * released slots are used at the next tick. Inventories are repeated for
   * services in use, so that the home frees slots whose release was lost.
   */
  void OnTick(Context& context,
              const MemberTable& members,
              const UpstreamHealth& health);

  /** Returns the decisions since the last call. */
  std::vector<SlotDecision> TakeDecisions();

  /** Returns the number of attempts of this instance at the upstream. */
  std::int32_t InFlight(const UpstreamId& upstream) const;

 private:
  enum class Stage {
    /** Sent to the home, not answered yet. */
    kRequested,
    /** In the home's queue. */
    kQueued,
    /** Waits here for a slot of this instance's share, or for a home. */
    kLocal,
  };

  struct Waiting {
    SlotRequest request;
    MonotonicTime expires;
    Stage stage = Stage::kLocal;
    /** Home to which the request was sent; empty in kLocal. */
    InstanceId home;
    /** Time of the last SlotRequest or of the answer SlotQueued. */
    MonotonicTime last_exchange;
    /** SlotRequests sent since the home last changed or queued it. */
    std::int32_t asked = 0;
  };

  struct Held {
    ServiceName service;
    UpstreamId upstream;
    /** Home that granted the slot; empty after a local choice. */
    InstanceId granter;
  };

  /** State of the communication with an instance that is a home. */
  struct Contact {
    MonotonicTime last_contact;
    /** Time of a check that isn't answered yet. */
    std::optional<MonotonicTime> check_sent;
    /** It doesn't answer, or reported that it isn't the home. */
    bool unavailable = false;
    MonotonicTime next_check;
  };

  struct ServiceView {
    std::optional<InstanceId> home;
    /** Inventories are sent until this time. */
    MonotonicTime active_until;
    MonotonicTime next_inventory;
  };

  bool UsesHome() const {
    return std::holds_alternative<SlotHomeChoice>(m_policy);
  }
  void RefreshHomes(Context& context, const MemberTable& members);
  void OnHomeChanged(Context& context,
                     const MemberTable& members,
                     const ServiceName& service,
                     ServiceView& view);
  std::optional<InstanceId> UsableHome(Context& context,
                                       const ServiceName& service);
  void RecordContact(Context& context, const InstanceId& home);
  void MarkUnavailable(Context& context, const InstanceId& home);
  void RecordUse(Context& context, const ServiceName& service);
  void Ask(Context& context,
           const MemberTable& members,
           const InstanceId& home,
           Waiting& waiting) const;
  void LeaveHome(Context& context,
                 const MemberTable& members,
                 Waiting& waiting) const;
  void LeaveUnresponsiveHome(Context& context,
                             const MemberTable& members,
                             const InstanceId& home);
  void SendInventory(Context& context,
                     const MemberTable& members,
                     const ServiceName& service,
                     const InstanceId& home) const;
  void CheckRequested(Context& context, const MemberTable& members);
  void CheckQueued(Context& context, const MemberTable& members);
  void SendInventories(Context& context, const MemberTable& members);
  void DropExpired(Context& context, const MemberTable& members);
  void DecideLocal(Context& context,
                   const MemberTable& members,
                   const UpstreamHealth& health);
  bool TryLocal(Context& context,
                const MemberTable& members,
                const UpstreamHealth& health,
                const SlotRequest& request);
  void DecideBaseline(Context& context,
                      const UpstreamHealth& health,
                      const SlotRequest& request);
  bool IsLocalQueueFull(const Context& context,
                        const ServiceName& service) const;
  void Hold(const SlotRequest& request,
            const UpstreamId& upstream,
            const InstanceId& granter);
  void Unhold(TicketId ticket);
  void Refuse(TicketId ticket, RefusalReason reason);

  ChoicePolicy m_policy;
  std::map<TicketId, Waiting> m_waiting;
  std::map<TicketId, Held> m_held;
  InFlightCounts m_in_flight;
  std::map<ServiceName, ServiceView> m_services;
  std::map<InstanceId, Contact> m_contacts;
  std::vector<SlotDecision> m_decisions;
  std::uint64_t m_membership_version = 0;
  std::int64_t m_revision = -1;
};

}  // namespace kumquatcove

#endif  // ROUTING_SLOT_CLIENT_H_
