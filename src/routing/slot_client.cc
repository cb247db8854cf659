#include "routing/slot_client.h"

#include <algorithm>
#include <cassert>
#include <set>
#include <utility>

#include "routing/slot_home.h"

namespace kumquatcove {
namespace {

// A grant for a queued request can be lost with its connection. The request is
// resent after this time.
constexpr Duration kQueuedRepeatInterval = Milliseconds(400);

// Number of requests for one ticket to a home that answers others but not this
// one, before the choice is made locally.
constexpr std::int32_t kMaxRequestsPerTicket = 3;

// Below the home's timeout for inventories after a takeover (500 ms), so that a
// home that lost its grants receives them in time.
constexpr Duration kInventoryInterval = Milliseconds(400);
// Inventories of a service are sent for this long after its last use.
constexpr Duration kInventoryActiveTime = Seconds(10);

}  // namespace

SlotClient::SlotClient(RoutingSettings settings)
    : m_policy(MakeChoicePolicy(settings.policy)) {}

void SlotClient::Request(Context& context,
                         const MemberTable& members,
                         const UpstreamHealth& health,
                         const SlotRequest& request) {
  assert(!m_waiting.contains(request.ticket));
  assert(!m_held.contains(request.ticket));
  if (!UsesHome()) {
    DecideBaseline(context, health, request);
    return;
  }
  RefreshHomes(context, members);
  if (context.Catalogue()
          .UpstreamsIn(request.service, context.Self().region)
          .empty()) {
    Refuse(request.ticket, RefusalReason::kNoUpstream);
    return;
  }
  if (request.patience <= Duration(0)) {
    Refuse(request.ticket, RefusalReason::kDeadlineTooShort);
    return;
  }
  RecordUse(context, request.service);
  Waiting waiting;
  waiting.request = request;
  waiting.expires = context.Now() + request.patience;
  if (const auto home = UsableHome(context, request.service)) {
    Ask(context, members, *home, waiting);
  } else if (TryLocal(context, members, health, request)) {
    return;
  } else if (IsLocalQueueFull(context, request.service)) {
    Refuse(request.ticket, RefusalReason::kQueueFull);
    return;
  }
  m_waiting.emplace(request.ticket, std::move(waiting));
}

void SlotClient::OnGrant(Context& context,
                         const MemberTable& members,
                         const InstanceId& from,
                         const SlotGrant& grant) {
  RefreshHomes(context, members);
  RecordContact(context, from);
  const auto held = m_held.find(grant.ticket);
  if (held != m_held.end() && held->second.upstream == grant.upstream) {
    return;
  }
  const auto waiting = m_waiting.find(grant.ticket);
  if (waiting == m_waiting.end() || waiting->second.home != from) {
    members.Send(context, from,
                 SlotRelease{grant.ticket, grant.service, grant.upstream,
                             AttemptResult::kNotSent, Duration(0)});
    return;
  }
  const SlotRequest request = waiting->second.request;
  m_waiting.erase(waiting);
  Hold(request, grant.upstream, from);
}

void SlotClient::OnRefusal(Context& context,
                           const MemberTable& members,
                           const InstanceId& from,
                           const SlotRefusal& refusal) {
  RefreshHomes(context, members);
  const bool is_home = refusal.reason != RefusalReason::kNotReady;
  if (is_home) {
    RecordContact(context, from);
  } else {
    MarkUnavailable(context, from);
  }
  const auto waiting = m_waiting.find(refusal.ticket);
  if (waiting == m_waiting.end() || waiting->second.home != from) {
    return;
  }
  if (is_home) {
    m_waiting.erase(waiting);
    Refuse(refusal.ticket, refusal.reason);
  } else {
    waiting->second.stage = Stage::kLocal;
    waiting->second.home = InstanceId();
  }
}

void SlotClient::OnQueued(Context& context,
                          const MemberTable& members,
                          const InstanceId& from,
                          const SlotQueued& queued) {
  RefreshHomes(context, members);
  RecordContact(context, from);
  const auto found = m_waiting.find(queued.ticket);
  if (found != m_waiting.end() && found->second.home == from) {
    found->second.stage = Stage::kQueued;
    found->second.asked = 0;
    found->second.last_exchange = context.Now();
  }
}

void SlotClient::Release(Context& context,
                         const MemberTable& members,
                         TicketId ticket,
                         AttemptResult result,
                         Duration service_time) {
  const auto found = m_held.find(ticket);
  if (found == m_held.end()) {
    return;
  }
  const Held held = found->second;
  Unhold(ticket);
  if (!UsesHome()) {
    return;
  }
  RefreshHomes(context, members);
  RecordUse(context, held.service);
  const SlotRelease release{ticket, held.service, held.upstream, result,
                            service_time};
  const auto view = m_services.find(held.service);
  const InstanceId home = view == m_services.end()
                              ? InstanceId()
                              : view->second.home.value_or(InstanceId());
  if (!home.IsEmpty()) {
    members.Send(context, home, release);
  }
  // An earlier home may still consider itself the home.
  if (!held.granter.IsEmpty() && held.granter != home) {
    members.Send(context, held.granter, release);
  }
}

void SlotClient::Withdraw(Context& context,
                          const MemberTable& members,
                          TicketId ticket) {
  const auto found = m_waiting.find(ticket);
  if (found != m_waiting.end()) {
    LeaveHome(context, members, found->second);
    m_waiting.erase(found);
    return;
  }
  const auto decided = std::find_if(
      m_decisions.begin(), m_decisions.end(),
      [&](const SlotDecision& decision) { return decision.ticket == ticket; });
  if (decided != m_decisions.end()) {
    m_decisions.erase(decided);
    Release(context, members, ticket, AttemptResult::kNotSent, Duration(0));
  }
}

void SlotClient::OnTick(Context& context,
                        const MemberTable& members,
                        const UpstreamHealth& health) {
  if (!UsesHome()) {
    return;
  }
  RefreshHomes(context, members);
  DropExpired(context, members);
  CheckRequested(context, members);
  CheckQueued(context, members);
  DecideLocal(context, members, health);
  SendInventories(context, members);
}

std::vector<SlotDecision> SlotClient::TakeDecisions() {
  return std::exchange(m_decisions, {});
}

std::int32_t SlotClient::InFlight(const UpstreamId& upstream) const {
  const auto found = m_in_flight.find(upstream);
  return found == m_in_flight.end() ? 0 : found->second;
}

void SlotClient::RefreshHomes(Context& context, const MemberTable& members) {
  const CatalogueIndex& catalogue = context.Catalogue();
  if (members.MembershipVersion() == m_membership_version &&
      catalogue.Revision() == m_revision) {
    return;
  }
  m_membership_version = members.MembershipVersion();
  m_revision = catalogue.Revision();
  const RegionName& region = context.Self().region;
  std::erase_if(m_services, [&](const auto& entry) {
    return catalogue.UpstreamsIn(entry.first, region).empty();
  });
  for (const ServiceName& service : catalogue.Services()) {
    if (catalogue.UpstreamsIn(service, region).empty()) {
      continue;
    }
    ServiceView& view = m_services[service];
    std::optional<InstanceId> home = FindSlotHome(members, service, region);
    if (home != view.home) {
      view.home = std::move(home);
      OnHomeChanged(context, members, service, view);
    }
  }
  std::erase_if(m_contacts, [&](const auto& entry) {
    return std::none_of(m_services.begin(), m_services.end(),
                        [&](const auto& service) {
                          return service.second.home == entry.first;
                        });
  });
}

void SlotClient::OnHomeChanged(Context& context,
                               const MemberTable& members,
                               const ServiceName& service,
                               ServiceView& view) {
  if (view.home) {
    Contact contact;
    contact.last_contact = context.Now();
    m_contacts.try_emplace(*view.home, contact);
    SendInventory(context, members, service, *view.home);
    view.next_inventory = context.Now() + kInventoryInterval;
  }
  for (auto& [ticket, waiting] : m_waiting) {
    if (waiting.request.service == service) {
      LeaveHome(context, members, waiting);
      waiting.asked = 0;
      if (view.home) {
        Ask(context, members, *view.home, waiting);
      }
    }
  }
}

std::optional<InstanceId> SlotClient::UsableHome(Context& context,
                                                 const ServiceName& service) {
  const auto found = m_services.find(service);
  if (found == m_services.end() || !found->second.home) {
    return std::nullopt;
  }
  Contact& contact = m_contacts[*found->second.home];
  if (contact.unavailable) {
    if (context.Now() < contact.next_check) {
      return std::nullopt;
    }
    contact.next_check = context.Now() + kUnresponsiveCheckInterval;
  }
  return found->second.home;
}

void SlotClient::RecordContact(Context& context, const InstanceId& home) {
  const auto found = m_contacts.find(home);
  if (found == m_contacts.end()) {
    return;
  }
  Contact& contact = found->second;
  contact.last_contact = context.Now();
  contact.check_sent.reset();
  if (std::exchange(contact.unavailable, false)) {
    // A home that has just taken over has ignored earlier inventories.
    for (auto& [service, view] : m_services) {
      if (view.home == home) {
        view.next_inventory = context.Now();
      }
    }
  }
}

void SlotClient::MarkUnavailable(Context& context, const InstanceId& home) {
  const auto found = m_contacts.find(home);
  if (found != m_contacts.end()) {
    found->second.unavailable = true;
    found->second.check_sent.reset();
    found->second.next_check = context.Now() + kUnresponsiveCheckInterval;
  }
}

void SlotClient::RecordUse(Context& context, const ServiceName& service) {
  const auto found = m_services.find(service);
  if (found != m_services.end()) {
    found->second.active_until = context.Now() + kInventoryActiveTime;
  }
}

void SlotClient::Ask(Context& context,
                     const MemberTable& members,
                     const InstanceId& home,
                     Waiting& waiting) const {
  if (waiting.home != home) {
    waiting.home = home;
    waiting.stage = Stage::kRequested;
  }
  ++waiting.asked;
  waiting.last_exchange = context.Now();
  SlotRequest request = waiting.request;
  request.patience = waiting.expires - context.Now();
  members.Send(context, home, std::move(request));
}

void SlotClient::LeaveHome(Context& context,
                           const MemberTable& members,
                           Waiting& waiting) const {
  if (waiting.home.IsEmpty()) {
    return;
  }
  members.Send(context, waiting.home,
               SlotRelease{waiting.request.ticket, waiting.request.service,
                           UpstreamId(), AttemptResult::kNotSent, Duration(0)});
  waiting.home = InstanceId();
  waiting.stage = Stage::kLocal;
}

void SlotClient::LeaveUnresponsiveHome(Context& context,
                                       const MemberTable& members,
                                       const InstanceId& home) {
  context.Record("slot_home_silent", home.Text());
  MarkUnavailable(context, home);
  for (auto& [ticket, waiting] : m_waiting) {
    if (waiting.home == home) {
      LeaveHome(context, members, waiting);
    }
  }
}

void SlotClient::SendInventory(Context& context,
                               const MemberTable& members,
                               const ServiceName& service,
                               const InstanceId& home) const {
  SlotInventory inventory;
  inventory.service = service;
  for (const auto& [ticket, held] : m_held) {
    if (held.service == service) {
      inventory.held.push_back({ticket, held.upstream});
    }
  }
  members.Send(context, home, std::move(inventory));
}

void SlotClient::CheckRequested(Context& context, const MemberTable& members) {
  std::set<InstanceId> silent;
  for (auto& [ticket, waiting] : m_waiting) {
    if (waiting.stage != Stage::kRequested ||
        context.Now() - waiting.last_exchange < kHomeReplyTimeout) {
      continue;
    }
    const auto contact = m_contacts.find(waiting.home);
    const bool has_responded =
        contact != m_contacts.end() &&
        contact->second.last_contact > waiting.last_exchange;
    if (!has_responded) {
      silent.insert(waiting.home);
    } else if (waiting.asked < kMaxRequestsPerTicket) {
      Ask(context, members, waiting.home, waiting);
    } else {
      LeaveHome(context, members, waiting);
    }
  }
  for (const InstanceId& home : silent) {
    LeaveUnresponsiveHome(context, members, home);
  }
}

void SlotClient::CheckQueued(Context& context, const MemberTable& members) {
  std::set<InstanceId> silent;
  for (auto& [ticket, waiting] : m_waiting) {
    if (waiting.stage != Stage::kQueued) {
      continue;
    }
    Contact& contact = m_contacts[waiting.home];
    if (contact.check_sent) {
      if (context.Now() - *contact.check_sent >= kHomeReplyTimeout) {
        silent.insert(waiting.home);
      }
    } else if (context.Now() - contact.last_contact >= kHomeReplyTimeout) {
      contact.check_sent = context.Now();
      Ask(context, members, waiting.home, waiting);
    } else if (context.Now() - waiting.last_exchange >= kQueuedRepeatInterval) {
      Ask(context, members, waiting.home, waiting);
    }
  }
  for (const InstanceId& home : silent) {
    LeaveUnresponsiveHome(context, members, home);
  }
}

void SlotClient::SendInventories(Context& context, const MemberTable& members) {
  for (auto& [service, view] : m_services) {
    if (view.home && context.Now() >= view.next_inventory &&
        context.Now() < view.active_until) {
      view.next_inventory = context.Now() + kInventoryInterval;
      SendInventory(context, members, service, *view.home);
    }
  }
}

void SlotClient::DropExpired(Context& context, const MemberTable& members) {
  for (auto entry = m_waiting.begin(); entry != m_waiting.end();) {
    const auto current = entry++;
    Waiting& waiting = current->second;
    const bool has_upstreams = m_services.contains(waiting.request.service);
    if (waiting.expires > context.Now() && has_upstreams) {
      continue;
    }
    LeaveHome(context, members, waiting);
    const TicketId ticket = current->first;
    m_waiting.erase(current);
    Refuse(ticket, has_upstreams ? RefusalReason::kDeadlineExpired
                                 : RefusalReason::kNoUpstream);
  }
}

void SlotClient::DecideLocal(Context& context,
                             const MemberTable& members,
                             const UpstreamHealth& health) {
  for (auto entry = m_waiting.begin(); entry != m_waiting.end();) {
    const auto current = entry++;
    Waiting& waiting = current->second;
    if (waiting.stage != Stage::kLocal) {
      continue;
    }
    const bool may_return =
        waiting.request.isolate || waiting.asked < kMaxRequestsPerTicket;
    const auto home = may_return ? UsableHome(context, waiting.request.service)
                                 : std::nullopt;
    if (home) {
      Ask(context, members, *home, waiting);
    } else if (TryLocal(context, members, health, waiting.request)) {
      m_waiting.erase(current);
    }
  }
}

bool SlotClient::TryLocal(Context& context,
                          const MemberTable& members,
                          const UpstreamHealth& health,
                          const SlotRequest& request) {
  if (request.spillover) {
    // Without a home the region's occupancy is unknown.
    Refuse(request.ticket, RefusalReason::kHeadroom);
    return true;
  }
  if (request.hedge) {
    Refuse(request.ticket, RefusalReason::kOverloaded);
    return true;
  }
  if (request.isolate) {
    // Only a home can determine that an upstream is idle.
    return false;
  }
  std::vector<UpstreamId> open = OpenUpstreams(context, health, request);
  if (open.empty()) {
    Refuse(request.ticket, RefusalReason::kNoUpstream);
    return true;
  }
  const auto instances = static_cast<std::int32_t>(std::max<std::size_t>(
      members.ServingIn(context.Self().region).size(), 1));
  const std::int32_t share = std::max(context.Catalogue()
                                              .FindService(request.service)
                                              ->limits.slots_per_upstream /
                                          instances,
                                      1);
  std::erase_if(open, [&](const UpstreamId& upstream) {
    return InFlight(upstream) >=
           std::min(share, health.UsableSlots(context, upstream));
  });
  if (open.empty()) {
    return false;
  }
  const UpstreamChooser chooser(context.RandomNumbers(), health, m_in_flight,
                                open);
  const UpstreamId chosen = chooser(OwnCountChoice{});
  Hold(request, chosen, InstanceId());
  return true;
}

void SlotClient::DecideBaseline(Context& context,
                                const UpstreamHealth& health,
                                const SlotRequest& request) {
  const std::vector<UpstreamId> open = OpenUpstreams(context, health, request);
  if (open.empty()) {
    Refuse(request.ticket, RefusalReason::kNoUpstream);
    return;
  }
  const UpstreamChooser chooser(context.RandomNumbers(), health, m_in_flight,
                                open);
  Hold(request, std::visit(chooser, m_policy), InstanceId());
}

bool SlotClient::IsLocalQueueFull(const Context& context,
                                  const ServiceName& service) const {
  const auto waiting =
      std::count_if(m_waiting.begin(), m_waiting.end(), [&](const auto& entry) {
        return entry.second.stage == Stage::kLocal &&
               entry.second.request.service == service;
      });
  return waiting >=
         context.Catalogue().FindService(service)->limits.queue_length;
}

void SlotClient::Hold(const SlotRequest& request,
                      const UpstreamId& upstream,
                      const InstanceId& granter) {
  m_held.emplace(request.ticket, Held{request.service, upstream, granter});
  ++m_in_flight[upstream];
  m_decisions.push_back({request.ticket, upstream, RefusalReason::kNone});
}

void SlotClient::Unhold(TicketId ticket) {
  const auto held = m_held.find(ticket);
  const auto count = m_in_flight.find(held->second.upstream);
  if (--count->second == 0) {
    m_in_flight.erase(count);
  }
  m_held.erase(held);
}

void SlotClient::Refuse(TicketId ticket, RefusalReason reason) {
  m_decisions.push_back({ticket, UpstreamId(), reason});
}

}  // namespace kumquatcove
