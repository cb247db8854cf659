#ifndef ROUTING_SLOT_HOME_H_
#define ROUTING_SLOT_HOME_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/clock_reading.h"
#include "base/name.h"
#include "membership/member_table.h"
#include "protocol/context.h"
#include "protocol/peer_message.h"
#include "routing/slot_capacity.h"
#include "routing/slot_occupancy.h"
#include "routing/slot_queue.h"
#include "routing/upstream_health.h"

namespace kumquatcove {

/** Returns the slot home of a service in a region; std::nullopt if the region
 * has no live, serving instance. */
std::optional<InstanceId> FindSlotHome(const MemberTable& members,
                                       const ServiceName& service,
                                       const RegionName& region);

/** Use of the slots of a service in this region, for status and headroom
 * metrics. */
struct SlotUsage {
  std::int32_t total = 0;
  std::int32_t busy = 0;
  std::int32_t queued = 0;
};

/**
 * Queue and exact occupancy of the services for which this instance is the slot
 * home in its region.
 *
 * Each SlotRequest is answered at once by SlotGrant, SlotRefusal or SlotQueued;
 * SlotQueued is followed by a grant or a refusal. A repeated SlotRequest gets
 * the same answer again and no second slot.
 *
 * Thread safety: none; owned by one reducer.
 */
class SlotHome {
 public:
  /** Answers with SlotGrant, SlotRefusal or SlotQueued. Refuses with kNotReady
   * if this instance isn't the home. */
  void OnRequest(Context& context,
                 const MemberTable& members,
                 const UpstreamHealth& health,
                 const InstanceId& from,
                 const SlotRequest& request);

  /**
   * Frees the slot, or removes the request from the queue. Unknown tickets are
   * ignored.
   *
   * The caller must report the result to UpstreamHealth::OnAttempt, unless it
   * has already done so for an attempt of its own.
   */
  void OnRelease(Context& context,
                 const MemberTable& members,
                 const UpstreamHealth& health,
                 const InstanceId& from,
                 const SlotRelease& release);

  /**
   * Replaces the recorded slots of the sender for one service.
   *
   * A grant that the inventory lacks stays while it is less than 1 s old, since
   * it may have been in flight when the inventory was sent.
   */
  void OnInventory(Context& context,
                   const MemberTable& members,
                   const InstanceId& from,
                   const SlotInventory& inventory);

  /** Frees slots of instances that were removed or restarted, refuses queued
   * requests that have expired, and grants slots that became free. */
  void OnTick(Context& context,
              const MemberTable& members,
              const UpstreamHealth& health);

  /** Discards all grants and queues after a pause of this process. */
  void Reset();

  /** Returns whether this instance is the slot home of a service in its
   * region. The result is cached until membership or catalogue changes. */
  bool IsHome(const Context& context,
              const MemberTable& members,
              const ServiceName& service);

  /** Returns the use of a service's slots; zeros if this instance isn't its
   * home. */
  SlotUsage Usage(const Context& context, const ServiceName& service) const;

 private:
  struct Service {
    ServiceName name;
    SlotQueue queue;
    SlotOccupancy occupancy;
    /** Time when this instance became the home. */
    MonotonicTime since;
    /** Instances whose inventory is awaited after a takeover. */
    std::set<InstanceId> unreported;
  };

  /** Cached results of FindSlotHome for this region, valid for one membership
   * version and catalogue revision. */
  struct HomeView {
    std::uint64_t membership_version = 0;
    std::int64_t revision = -1;
    std::map<ServiceName, bool> is_home;
  };

  Service* FindIfHome(Context& context,
                      const MemberTable& members,
                      const ServiceName& service);
  void ResignHome(Context& context,
                  const MemberTable& members,
                  Service& service);
  void Admit(Context& context,
             const MemberTable& members,
             const UpstreamHealth& health,
             Service& service,
             const InstanceId& from,
             const SlotRequest& request);
  bool AnswerRepeated(Context& context,
                      const MemberTable& members,
                      Service& service,
                      const InstanceId& from,
                      const SlotRequest& request);
  void Enqueue(Context& context,
               const MemberTable& members,
               Service& service,
               WaitingRequest waiting);
  void DropUnservable(Context& context,
                      const MemberTable& members,
                      const UpstreamHealth& health,
                      Service& service);
  SlotCapacity MeasureCapacity(const Context& context,
                               const MemberTable& members,
                               const UpstreamHealth& health,
                               const Service& service) const;
  void Dispatch(Context& context,
                const MemberTable& members,
                const UpstreamHealth& health,
                Service& service);
  bool TryGrant(Context& context,
                const MemberTable& members,
                Service& service,
                SlotCapacity& capacity,
                const WaitingRequest& waiting);

  std::map<ServiceName, Service> m_services;
  HomeView m_view;
};

}  // namespace kumquatcove

#endif  // ROUTING_SLOT_HOME_H_
