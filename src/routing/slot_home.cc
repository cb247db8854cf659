#include "routing/slot_home.h"

#include <algorithm>
#include <cassert>
#include <string>
#include <utility>

#include "membership/rendezvous.h"

namespace kumquatcove {
namespace {

// Inventories that don't arrive within this time after a takeover are treated
// as empty.
constexpr Duration kInventoryTimeout = Milliseconds(500);

// A grant in flight when its holder sent an inventory is missing from it, so
// grants younger than this are kept.
constexpr Duration kGrantInFlightTime = Seconds(1);

// Long requests may use at most this share of the usable slots.
constexpr std::int32_t kLongNumerator = 2;
constexpr std::int32_t kLongDenominator = 3;

constexpr std::int32_t kPermille = 1000;

/** Returns the live instances of this instance's region, in any phase. */
std::vector<InstanceId> LiveInRegion(const Context& context,
                                     const MemberTable& members) {
  std::vector<InstanceId> live;
  for (const auto& [id, member] : members.All()) {
    if (member.health == MemberHealth::kLive &&
        member.record.region == context.Self().region) {
      live.push_back(id);
    }
  }
  return live;
}

bool IsInRegion(const Context& context,
                const MemberTable& members,
                const InstanceId& instance) {
  const Member* member = members.Find(instance);
  return member != nullptr && member->record.region == context.Self().region;
}

std::int64_t IncarnationOf(const MemberTable& members,
                           const InstanceId& instance) {
  const Member* member = members.Find(instance);
  return member == nullptr ? 0 : member->record.incarnation;
}

std::int32_t DeclaredSlots(const Context& context, const ServiceName& service) {
  const ServiceEntry* entry = context.Catalogue().FindService(service);
  return entry == nullptr ? 0 : entry->limits.slots_per_upstream;
}

void Refuse(Context& context,
            const MemberTable& members,
            const InstanceId& to,
            const SlotRequest& request,
            RefusalReason reason) {
  members.Send(context, to,
               SlotRefusal{request.ticket, request.service, reason});
}

}  // namespace

std::optional<InstanceId> FindSlotHome(const MemberTable& members,
                                       const ServiceName& service,
                                       const RegionName& region) {
  std::vector<InstanceId> instances = members.ServingIn(region);
  if (instances.empty()) {
    return std::nullopt;
  }
  return RendezvousOrder(service.Text(), std::move(instances)).front();
}

void SlotHome::OnRequest(Context& context,
                         const MemberTable& members,
                         const UpstreamHealth& health,
                         const InstanceId& from,
                         const SlotRequest& request) {
  Service* service = FindIfHome(context, members, request.service);
  if (service == nullptr || !IsInRegion(context, members, from)) {
    Refuse(context, members, from, request, RefusalReason::kNotReady);
    return;
  }
  if (AnswerRepeated(context, members, *service, from, request)) {
    return;
  }
  if (request.patience <= Duration(0)) {
    Refuse(context, members, from, request, RefusalReason::kDeadlineTooShort);
    return;
  }
  Admit(context, members, health, *service, from, request);
}

void SlotHome::OnRelease(Context& context,
                         const MemberTable& members,
                         const UpstreamHealth& health,
                         const InstanceId& from,
                         const SlotRelease& release) {
  const auto found = m_services.find(release.service);
  if (found == m_services.end()) {
    return;
  }
  Service& service = found->second;
  const WaitingRequest* waiting = service.queue.Find(release.ticket);
  if (waiting != nullptr && waiting->from == from) {
    service.queue.Erase(release.ticket);
  }
  const OccupiedSlot* slot = service.occupancy.Find(release.ticket);
  // A release that names another upstream belongs to a grant that the holder
  // has replaced by its own choice.
  if (slot != nullptr && slot->holder == from &&
      (release.upstream.IsEmpty() || release.upstream == slot->upstream)) {
    service.occupancy.Remove(release.ticket);
  }
  if (FindIfHome(context, members, release.service) != nullptr) {
    Dispatch(context, members, health, service);
  }
}

void SlotHome::OnInventory(Context& context,
                           const MemberTable& members,
                           const InstanceId& from,
                           const SlotInventory& inventory) {
  Service* service = FindIfHome(context, members, inventory.service);
  if (service == nullptr || !IsInRegion(context, members, from)) {
    return;
  }
  std::set<TicketId> held;
  for (const HeldSlot& slot : inventory.held) {
    held.insert(slot.ticket);
  }
  service->occupancy.RemoveIf([&](TicketId ticket, const OccupiedSlot& slot) {
    return slot.holder == from && !held.contains(ticket) &&
           (slot.reported || context.Now() - slot.since >= kGrantInFlightTime);
  });
  const std::vector<UpstreamId>& upstreams =
      context.Catalogue().UpstreamsIn(inventory.service, context.Self().region);
  // No instance can use more slots than are declared. Further entries are an
  // error of the sender and are ignored to limit memory use.
  std::size_t entries_left =
      upstreams.size() * static_cast<std::size_t>(std::max(
                             DeclaredSlots(context, inventory.service), 1));
  for (const HeldSlot& slot : inventory.held) {
    const bool is_known = std::find(upstreams.begin(), upstreams.end(),
                                    slot.upstream) != upstreams.end();
    if (!is_known || entries_left == 0) {
      continue;
    }
    --entries_left;
    const OccupiedSlot* known = service->occupancy.Find(slot.ticket);
    if (known != nullptr &&
        (known->holder != from || known->upstream == slot.upstream)) {
      continue;
    }
    service->occupancy.Remove(slot.ticket);
    service->queue.Erase(slot.ticket);
    OccupiedSlot occupied;
    occupied.holder = from;
    occupied.incarnation = IncarnationOf(members, from);
    occupied.upstream = slot.upstream;
    occupied.since = context.Now();
    occupied.reported = true;
    service->occupancy.Add(slot.ticket, std::move(occupied));
  }
  service->unreported.erase(from);
}

void SlotHome::OnTick(Context& context,
                      const MemberTable& members,
                      const UpstreamHealth& health) {
  for (const ServiceName& name : context.Catalogue().Services()) {
    if (!context.Catalogue().UpstreamsIn(name, context.Self().region).empty()) {
      FindIfHome(context, members, name);
    }
  }
  for (auto entry = m_services.begin(); entry != m_services.end();) {
    Service& service = (entry++)->second;
    const ServiceName name = service.name;
    if (FindIfHome(context, members, name) == nullptr) {
      continue;
    }
    service.occupancy.RemoveIf([&](TicketId, const OccupiedSlot& slot) {
      return members.HasIncarnationEnded(slot.holder, slot.incarnation);
    });
    service.queue.TakeIf([&](const WaitingRequest& waiting) {
      return members.HasIncarnationEnded(waiting.from, waiting.incarnation);
    });
    if (context.Now() - service.since >= kInventoryTimeout) {
      service.unreported.clear();
    }
    DropUnservable(context, members, health, service);
    Dispatch(context, members, health, service);
  }
}

void SlotHome::Reset() {
  m_services.clear();
}

SlotUsage SlotHome::Usage(const Context& context,
                          const ServiceName& service) const {
  const auto found = m_services.find(service);
  if (found == m_services.end()) {
    return {};
  }
  const auto upstreams = static_cast<std::int32_t>(
      context.Catalogue().UpstreamsIn(service, context.Self().region).size());
  return {upstreams * DeclaredSlots(context, service),
          found->second.occupancy.Busy(),
          static_cast<std::int32_t>(found->second.queue.Size())};
}

bool SlotHome::IsHome(const Context& context,
                      const MemberTable& members,
                      const ServiceName& service) {
  if (members.IsRecoveringFromPause() ||
      context.Catalogue().FindService(service) == nullptr) {
    return false;
  }
  if (m_view.membership_version != members.MembershipVersion() ||
      m_view.revision != context.Catalogue().Revision()) {
    m_view = {members.MembershipVersion(), context.Catalogue().Revision(), {}};
  }
  const auto [entry, is_new] = m_view.is_home.try_emplace(service, false);
  if (is_new) {
    entry->second = FindSlotHome(members, service, context.Self().region) ==
                    context.Self().instance;
  }
  return entry->second;
}

SlotHome::Service* SlotHome::FindIfHome(Context& context,
                                        const MemberTable& members,
                                        const ServiceName& service) {
  const auto found = m_services.find(service);
  if (!IsHome(context, members, service)) {
    if (found != m_services.end()) {
      ResignHome(context, members, found->second);
    }
    return nullptr;
  }
  if (found != m_services.end()) {
    return &found->second;
  }
  Service& created = m_services[service];
  created.name = service;
  created.since = context.Now();
  for (InstanceId& instance : LiveInRegion(context, members)) {
    created.unreported.insert(std::move(instance));
  }
  context.Record("slot_home_taken", service.Text());
  return &created;
}

void SlotHome::ResignHome(Context& context,
                          const MemberTable& members,
                          Service& service) {
  for (const WaitingRequest& waiting :
       service.queue.TakeIf([](const WaitingRequest&) { return true; })) {
    Refuse(context, members, waiting.from, waiting.request,
           RefusalReason::kNotReady);
  }
  const ServiceName name = service.name;
  context.Record("slot_home_left", name.Text());
  m_services.erase(name);
}

bool SlotHome::AnswerRepeated(Context& context,
                              const MemberTable& members,
                              Service& service,
                              const InstanceId& from,
                              const SlotRequest& request) {
  const OccupiedSlot* slot = service.occupancy.Find(request.ticket);
  if (slot != nullptr) {
    if (slot->holder == from) {
      members.Send(context, from,
                   SlotGrant{request.ticket, request.service, slot->upstream});
    }
    return true;
  }
  WaitingRequest* waiting = service.queue.Find(request.ticket);
  if (waiting == nullptr) {
    return false;
  }
  if (waiting->from == from) {
    waiting->expires = context.Now() + request.patience;
    members.Send(context, from, SlotQueued{request.ticket, request.service});
  }
  return true;
}

void SlotHome::Admit(Context& context,
                     const MemberTable& members,
                     const UpstreamHealth& health,
                     Service& service,
                     const InstanceId& from,
                     const SlotRequest& request) {
  Dispatch(context, members, health, service);
  SlotCapacity capacity = MeasureCapacity(context, members, health, service);
  if (!capacity.CanServe(request)) {
    Refuse(context, members, from, request, RefusalReason::kNoUpstream);
    return;
  }
  WaitingRequest waiting{request, from, IncarnationOf(members, from),
                         context.Now() + request.patience, UpstreamId()};
  if (request.spillover) {
    const std::int32_t headroom = context.Catalogue()
                                      .FindService(request.service)
                                      ->limits.headroom_permille;
    const bool has_headroom = (service.occupancy.Busy() + 1) * kPermille <=
                              capacity.Usable() * (kPermille - headroom);
    if (!service.unreported.empty() || !service.queue.IsEmpty() ||
        !has_headroom ||
        !TryGrant(context, members, service, capacity, waiting)) {
      Refuse(context, members, from, request, RefusalReason::kHeadroom);
    }
    return;
  }
  if (request.hedge) {
    if (!service.queue.IsEmpty() ||
        !TryGrant(context, members, service, capacity, waiting)) {
      Refuse(context, members, from, request, RefusalReason::kOverloaded);
    }
    return;
  }
  if (!TryGrant(context, members, service, capacity, waiting)) {
    Enqueue(context, members, service, std::move(waiting));
  }
}

void SlotHome::Enqueue(Context& context,
                       const MemberTable& members,
                       Service& service,
                       WaitingRequest waiting) {
  const std::int32_t limit =
      context.Catalogue().FindService(service.name)->limits.queue_length;
  const TicketId ticket = waiting.request.ticket;
  const InstanceId from = waiting.from;
  const std::optional<WaitingRequest> shed = service.queue.Insert(
      std::move(waiting), static_cast<std::size_t>(std::max(limit, 0)));
  if (shed) {
    Refuse(context, members, shed->from, shed->request,
           RefusalReason::kQueueFull);
  }
  if (!shed || shed->request.ticket != ticket) {
    members.Send(context, from, SlotQueued{ticket, service.name});
  }
}

void SlotHome::DropUnservable(Context& context,
                              const MemberTable& members,
                              const UpstreamHealth& health,
                              Service& service) {
  if (service.queue.IsEmpty()) {
    return;
  }
  for (const WaitingRequest& expired :
       service.queue.TakeIf([&](const WaitingRequest& waiting) {
         return waiting.expires <= context.Now();
       })) {
    Refuse(context, members, expired.from, expired.request,
           RefusalReason::kDeadlineExpired);
  }
  const SlotCapacity capacity =
      MeasureCapacity(context, members, health, service);
  for (const WaitingRequest& unservable :
       service.queue.TakeIf([&](const WaitingRequest& waiting) {
         return !capacity.CanServe(waiting.request);
       })) {
    Refuse(context, members, unservable.from, unservable.request,
           RefusalReason::kNoUpstream);
  }
}

SlotCapacity SlotHome::MeasureCapacity(const Context& context,
                                       const MemberTable& members,
                                       const UpstreamHealth& health,
                                       const Service& service) const {
  std::int32_t withheld = 0;
  if (!service.unreported.empty()) {
    const auto live =
        static_cast<std::int32_t>(LiveInRegion(context, members).size());
    const std::int32_t share =
        std::max(DeclaredSlots(context, service.name) / std::max(live, 1), 1);
    withheld = static_cast<std::int32_t>(service.unreported.size()) * share;
  }
  return SlotCapacity(context, health, service.occupancy, service.name,
                      withheld);
}

void SlotHome::Dispatch(Context& context,
                        const MemberTable& members,
                        const UpstreamHealth& health,
                        Service& service) {
  if (service.queue.IsEmpty()) {
    return;
  }
  SlotCapacity capacity = MeasureCapacity(context, members, health, service);
  // At most one reservation at a time, so that requests that crash upstreams
  // can't reserve all of them.
  if (WaitingRequest* isolated = service.queue.FirstIsolated()) {
    capacity.ReserveFor(*isolated);
  }
  service.queue.TakeIf([&](const WaitingRequest& waiting) {
    return capacity.HasFree() && waiting.expires > context.Now() &&
           TryGrant(context, members, service, capacity, waiting);
  });
}

bool SlotHome::TryGrant(Context& context,
                        const MemberTable& members,
                        Service& service,
                        SlotCapacity& capacity,
                        const WaitingRequest& waiting) {
  const SlotRequest& request = waiting.request;
  if (request.length == WorkLength::kLong) {
    const std::int32_t limit =
        std::max(capacity.Usable() * kLongNumerator / kLongDenominator, 1);
    if (service.occupancy.BusyLong() >= limit) {
      return false;
    }
  }
  const UpstreamId* chosen =
      capacity.Choose(context.RandomNumbers(), request, service.queue.Size());
  if (chosen == nullptr) {
    return false;
  }
  OccupiedSlot slot;
  slot.holder = waiting.from;
  slot.incarnation = waiting.incarnation;
  slot.upstream = *chosen;
  slot.since = context.Now();
  slot.length = request.length;
  slot.isolate = request.isolate;
  service.occupancy.Add(request.ticket, std::move(slot));
  capacity.Take(*chosen, request.isolate);
  members.Send(context, waiting.from,
               SlotGrant{request.ticket, request.service, *chosen});
  return true;
}

}  // namespace kumquatcove
