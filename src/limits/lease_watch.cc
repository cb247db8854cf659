#include "limits/lease_watch.h"

#include <algorithm>
#include <utility>

namespace kumquatcove {
namespace {

// Bounds the requests of a service that the catalogue no longer declares.
constexpr Duration kLongestDeadline = Seconds(60);

// Returns how long a request that took a slot may run on after the lease.
Duration SlotUse(const Context& context, const ServiceName& service) {
  const ServiceEntry* entry = context.Catalogue().FindService(service);
  return entry == nullptr
             ? kLongestDeadline
             : std::min(kLongestDeadline,
                        Milliseconds(entry->limits.max_deadline_ms));
}

Duration LongestSlotUse(const Context& context) {
  Duration longest{0};
  for (const ServiceName& service : context.Catalogue().Services()) {
    longest = std::max(longest, SlotUse(context, service));
  }
  return longest;
}

}  // namespace

void LeaseWatch::OnTable(MonotonicTime now, const ShareTable& table) {
  if (m_rates_unknown.renewal != table.rates_unknown) {
    m_rates_unknown = {table.rates_unknown, now};
  }
  if (m_slots_unknown.renewal != table.slots_unknown) {
    m_slots_unknown = {table.slots_unknown, now};
  }
  std::map<Holder, Seen> holders;
  for (const ShareHolder& holder : table.holders) {
    const Holder key{holder.instance, holder.incarnation};
    const auto found = m_holders.find(key);
    const bool same =
        found != m_holders.end() && found->second.renewal == holder.renewal;
    holders[key] = same ? found->second : Seen{holder.renewal, now};
  }
  m_holders = std::move(holders);
}

void LeaseWatch::RemoveLapsed(const Context& context, ShareTable& table) const {
  const MonotonicTime now = context.Now();
  for (ShareHolder& holder : table.holders) {
    const auto found = m_holders.find({holder.instance, holder.incarnation});
    if (found == m_holders.end()) {
      continue;
    }
    const Duration age = now - found->second.since;
    std::erase_if(holder.shares, [&](const LeasedShare& share) {
      const Duration use = share.limit.kind == LimitKind::kSpilloverSlots
                               ? SlotUse(context, share.limit.service)
                               : Duration{0};
      return age >= kLeaseReclaim + use;
    });
  }
  std::erase_if(table.holders, [&](const ShareHolder& holder) {
    return holder.shares.empty();
  });
  if (now - m_rates_unknown.since >= kLeaseReclaim) {
    table.rates_unknown = 0;
  }
  if (table.slots_unknown != 0 &&
      now - m_slots_unknown.since >= kLeaseReclaim + LongestSlotUse(context)) {
    table.slots_unknown = 0;
  }
}

}  // namespace kumquatcove
