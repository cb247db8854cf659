#include "capacity/capacity_page.h"

#include <cstdio>

#include "capacity/page_renderer.h"

namespace kumquatcove {
namespace {

// clang-format off
constexpr const char* kSummary = R"(# Capacity

Written by `kumquatcove-capacity --page docs/CAPACITY.md`, which measures the program's own code and computes from it
what the size of section 1.6 of [design.md](design.md) needs: 2,500 nodes, 170,000 client blocks, 590 sites, 2.2 million
look-ups a second, 8 regions, 21 availability zones, 1,900 configuration changes a day. Don't edit it by hand.

CPU is process CPU time of one run. "Today" is what the code does. "3.9" is the same code with the parameters of section
3.9 of the design, **which isn't built**: gossip inside one availability zone with summaries between zones, and one budget allocator in each zone. Not
measured: sockets, HTTP and the log, callers' traffic, and the heap of the daemon outside the reducer. The figures of a
whole node leave out the cost of false suspicions. A site is taken as one catalogue entry with 12 upstreams in one
region.

## Result

| budget per node | today | 3.9 | verdict |
|---|---|---|---|
| CPU of control, 3.3% of a core | {{role.node_core_today:pct}}% | {{role.node_core_zone:pct}}% | {{?role.node_core_today<=0.033}} |
| CPU with look-ups answered besides | {{role.node_core_lookups:pct}}% | the same | {{?role.node_core_lookups<=0.033}} (look-ups are service work, shown for completeness) |
| memory, 128 MB, between changes | {{role.memory_steady_today:M}} MB | {{role.memory_steady:M}} MB | {{?role.memory_steady_today<=128e6}} |
| memory, 128 MB, while a change is applied | {{role.memory_today:M}} MB | {{role.memory_zone:M}} MB | {{?role.memory_today<=128e6}} |
| traffic of control, 22 KB/s sent and received | {{node.full_bytes:k}} KB/s | {{node.zone_bytes:k}} KB/s | {{?node.full_bytes<=22e3}} today, {{?node.zone_bytes<=22e3}} with 3.9 |
| change in force everywhere, 7 s, by push | {{role.push_s:n2}} s, if the table held all nodes | {{role.push_s:n2}} s in the zone, {{role.poll_s:n1}} s elsewhere by two pollers in each zone (not built) | {{?role.poll_s<=7}} |
| the same for a node that misses the push, by gossip | {{role.epidemic_s:n1}} s | {{role.zone_spread_s:n1}} s | {{?role.epidemic_s<=7}} today, {{?role.zone_spread_s<=7}} with 3.9 |
| store writes, 400/s, if all nodes claim | {{role.claim_writes_today:n}}/s allowed | {{role.claim_writes_left:n}}/s left to claims | {{?role.claim_writes_today<=400}} today |
| store reads, 2,000/s | {{role.reads_total:n}}/s | {{role.reads_total:n}}/s | {{?role.reads_total<=2000}} |
| no false suspicion in a zone of 120 | - | {{gossip.false_suspects@120:n2}}% of views | {{?gossip.false_suspects@120<=0.05}} |
| catalogue in one message, 4 MB | {{role.full_catalogue_bytes:M}} MB | {{role.full_catalogue_bytes:M}} MB | {{?role.full_catalogue_bytes<=4194304}} |
| topology row in the store, 1.5 MB | {{catalogue.topology_row_bytes:M}} MB | {{catalogue.topology_row_bytes:M}} MB | {{?catalogue.topology_row_bytes<=1500000}} |

## Figures missed or close, with cause and next step

1. **Gossip traffic.** Each node sends up to 64 records of about {{gossip.message_bytes/slope:n}} bytes to 5 instances five
   times a second. The budget pays for {{role.gossip_records_in_budget:n}} records a second in each direction. Gossip in
   zones alone doesn't help, because 120 members fill a message too. Next step: heartbeats carry only the sender's
   record; one message a second carries compact records (instance number, counter, phase, revision: 24 bytes) of the
   whole zone; addresses are sent once for each incarnation. That gives {{role.gossip_compact_bytes:k}} KB/s.
2. **False suspicions.** Member tables that exchange messages within 20 ms, without loss, with all members running: with
   all members in one region {{gossip.false_suspects@60:n2}}% of the views of a member are wrong at 60 members,
   {{gossip.false_suspects@120:n2}}% at 120 and {{gossip.false_suspects@310:n2}}% at 310; spread over 8 regions
   {{gossip.false_suspects_8_regions@120:n2}}% at 120 and {{gossip.false_suspects_8_regions@310:n2}}% at 310. Cause: a message
   carries 64 records, so that above 64 members each is passed on in a part of the messages only, while a member is
   suspected after 1 s. At 2,500 members in one table a member's record arrives every {{role.record_interval_all_s:n1}} s
   on average, so most would be suspect: **today's membership doesn't carry 2,500 nodes in one table.** Next step: gossip
   inside zones (3.9), compact records as above, so that a message holds all members of a zone.
3. **A node that misses the push** learns of a change by gossip: about {{role.epidemic_s:n1}} s for 2,500 nodes
   ({{role.epidemic_rounds:n}} rounds of gossip to one random node, with a pull of the delta in each; {{?role.epidemic_s<=7}}, with
   little to spare). Inside a zone it takes {{role.zone_spread_s:n1}} s, inside a region of 312 {{role.region_spread_s:n1}} s (two
   random targets in the region). All nodes that get the push have the change in {{role.push_s:n2}} s. Next step: pass a new
   revision on at once rather than with the next heartbeat, which takes the wait of half an interval out of each hop.
4. **Client blocks as one entry.** The topology row is {{catalogue.topology_row_bytes:M}} MB, above the usual 1.5 MB of one
   store request, so that **170,000 blocks can't be committed**; the full catalogue is above the 4 MB of one message, so
   that a starting node can't get it from a peer. Next step: an entry of client blocks for each availability zone (about
   8,100 blocks, 0.4 MB), and deltas of several messages.
5. **A change keeps the reducer busy for {{role.apply_ms:n}} ms** ({{?role.apply_ms<=40}} the 40 ms in which a slot home must
   reply), since the whole catalogue is copied, hashed and indexed: {{role.apply_core:pct}}% of a core on average. Next step:
   unchanged entries shared between revisions, with one digest each.
6. **Claims.** Each node may make 25 writes a second. The store's writes are enough for {{role.claim_nodes_today:n}} nodes
   at that rate. With 3.9 the {{role.claim_writes_left:n}} writes/s left by the other roles carry {{role.claims_per_s:n}}
   non-idempotent requests a second in the whole system ({{claims.writes/slope:n2}} writes for each request in full
   batches). Next step: the rate of `StorePacer` as a setting in the catalogue; batches fill only if few nodes serve
   non-idempotent services.
7. **Budget shares.** The row takes 64 holders at most, so only 64 of 2,500 nodes get a lease today; the others use their
   floor of cap / 2 / `max_instances`. With 21 allocators the row is {{role.share_row_bytes:k}} KB and each allocator moves
   {{role.share_bytes_per_s:k}} KB/s ({{?role.share_bytes_per_s<=22e3}}). Next step: one row for each region that a limit
   protects, so that a holder reads and writes an eighth of it.

)";

constexpr const char* kRoles = R"(## Roles

CPU is process CPU time of the reducer and the codec on the machine of the run.

### Every node
| what | figure | carried by |
|---|---|---|
| CPU of a second without requests, 2,500 members, 590 sites (today) | {{node.full_cpu_us:k}} ms/s | `NodeReducer` |
| the same with 120 members (3.9) | {{node.zone_cpu_us:k}} ms/s | `NodeReducer` |
| slope by members | {{node.cpu_by_members/slope:n1}} us/s for each member | `MemberTable` |
| slope by sites | {{node.cpu_by_sites/slope:n1}} us/s for each site | `SlotHome`, `UpstreamHealth` |
| sent and received by gossip, 5 targets, 64 records | {{role.gossip_bytes:k}} KB/s | `MemberTable`, Cap'n Proto codec |
| merging a record | {{gossip.merge_record@310:n2}} us | `MemberTable` |
| encoding / decoding a record | {{gossip.encode/slope:n2}} / {{gossip.decode/slope:n2}} us | `EncodeEnvelope`, `DecodeEnvelope` |
| memory of members | {{gossip.table/slope:n}} bytes each | `MemberTable` |
| catalogue, 170,000 blocks and 590 sites, 2,500 members | {{node.full_heap:M}} MB | `CatalogueIndex` |
| prefix table of 170,000 blocks | {{prefix.memory@170000:M}} MB, built in {{prefix.build@170000:k}} ms | `PrefixTable` |
| timeline, full (20,000 events) | {{timeline.memory@20000:M}} MB | `Timeline` |
| quarantine, full (10,000 contents) | {{quarantine.memory@10000:M}} MB | `SuspicionTable` |
| claims, full (20,000) | {{role.claim_memory:M}} MB | `ClaimTable` |
| more while a change is applied | {{catalogue.apply_peak_bytes:M}} MB | `ConfigurationSync`, `CatalogueIndex` |
| request path, slot home elsewhere | {{node.request@120:n1}} us a request | `RequestCoordinator`, `SlotClient` |

### Slot home
One home serves one site; a node has {{role.homes_per_node:n2}} homes on average.

| what | figure | carried by |
|---|---|---|
| one request and one release, 12 upstreams, no queue / 200 / 800 waiting | {{slots.cycle_by_queue@0:n1}} / {{slots.cycle_by_queue@200:n1}} / {{slots.cycle_by_queue@800:n1}} us | `SlotHome`, `SlotQueue` |
| slope by upstreams | {{slots.cycle_by_upstreams/slope:n2}} us for each | `SlotCapacity` |
| tick with 800 waiting | {{slots.tick@800:n}} us, 100 a second | `SlotHome` |
| state | {{slots.memory/slope:n}} bytes for each waiting request | `SlotQueue` |
| messages of one request | {{slots.request_bytes:n}} + {{slots.grant_bytes:n}} + {{slots.release_bytes:n}} bytes, {{slots.codec_us:n1}} us codec each | `EncodeEnvelope` |
| finding a home among 310 instances | {{slots.find_home@310:n}} us | `FindSlotHome` |

These messages grow with the requests served, not with the nodes; at 45 requests a second through other nodes' homes
they alone use the 22 KB/s, so the budget is read as that of the background traffic.

### Store poller
Two nodes in each region read `catalogue/head` once a second (`ConfigurationSync`): {{role.poll_reads:n}} reads/s in all,
within. Reading the platform's list takes {{role.list_reads:n1}} reads/s whatever the number of nodes (`NodeReducer`).
A change that was committed through an instance that died before its push is seen by the pollers after at most 1.2 s.

### Budget share holder and allocator
| what | 10 holders | 21 | 40 | carried by |
|---|---|---|---|---|
| row of 12 shares each, bytes (60 holders: {{budget.row_bytes@60:n}}) | {{budget.row_bytes@10:n}} | {{budget.row_bytes@21:n}} | {{budget.row_bytes@40:n}} | `ShareTable` |
| decode and encode, us | {{budget.row_cpu@10:n}} | {{budget.row_cpu@21:n}} | {{budget.row_cpu@40:n}} | `ShareTable` |
| writes/s, all holders | {{budget.writes@10:n1}} | {{budget.writes@21:n1}} | {{budget.writes@40:n1}} | `BudgetLedger` |
| conflicts/s | {{budget.conflicts@10:n1}} | {{budget.conflicts@21:n1}} | {{budget.conflicts@40:n1}} | `BudgetLedger` |

Conflicts grow faster than the number of holders, as all of them write one row; a row of 120 holders is refused. The
floors are safe only with `max_instances` of at least the number of nodes; it would be 2,500 today, and 21 with 3.9.
Dividing an allocator's share among its nodes isn't built.

### Claim owner
{{claims.cpu/slope:n1}} us CPU for each request, {{claims.writes/slope:n2}} store writes (batches of up to 16 rows) and
{{claims.reads_per_request:n2}} reads; {{claims.memory/slope:n}} bytes for each claim kept, at most 20,000 (`ClaimTable`,
`StorePacer`). At its 25 writes/s a node carries {{role.claims_per_node_s:n}} requests a second.

### Operator's entry
The instance that takes an edit makes one transaction (`EditSession`): {{role.edit_writes:n2}} writes/s for 1,900 a day.
It then sends the delta of {{catalogue.delta_bytes:n}} bytes to all live peers (`MemberTable::Broadcast`): {{role.push_bytes:M}} MB
and {{role.push_cpu_ms:n}} ms of CPU at 2,500 nodes for each change, one every 45 s. With 3.9 the table holds a zone only,
so the push needs one relay in each zone, which isn't built; until then changes reach
other zones by pollers, of which each zone would need its own.

### Answering look-ups
{{role.lookups_per_node:n}} look-ups a second for each node; one costs {{lookup.select_2500_us:n1}} us with 2,500 instances in
the table ({{lookup.select@120:n1}} us with 120): {{role.lookup_core:pct}}% of a core without HTTP (`EntrySelector`). A probe of
the prefix table costs {{prefix.find@170000:n2}} us (`PrefixTable`). One core answers {{role.lookups_per_core:n}} a second.

## Bursts
| event | arithmetic | verdict |
|---|---|---|
| ordinary day: 4 failures, 410 restarts | {{role.day_view_changes:n}} changes of the member view, one in 104 s; each makes a node find the homes of the {{role.homes_per_region:n}} sites of its region anew: {{role.rehome_ms:n1}} ms | within |
| catalogue for starting nodes | {{role.scan_bytes:M}} MB each from the store, {{role.restart_bytes_per_s:k}} KB/s on average over the day | within |
| loss of a rack of 40 | {{role.rack_homes:n}} homes move; suspicion after 1 s, local choice after 40 ms meanwhile; views change in up to 20 ticks: {{role.rack_rehome_ms:n}} ms of CPU on each node of the region | within |
| the rack returns | {{role.rack_scan_bytes:M}} MB read from the store at once | not verified: the store's bandwidth isn't stated |
| loss of a zone of 120 | {{role.zone_homes:n}} homes move; look-ups of the other nodes grow by the factor {{role.zone_lookup_factor:n3}} | within |
| the zone returns | {{role.zone_scan_bytes:M}} MB, and {{role.zone_scan_rows_s:n}} s of the store's reads if it counts each row | **missed** in that case: starting nodes should ask peers first |
| regions cut off for minutes | each goes on with its homes; changes don't enter a region without the store (3.10); afterwards one pull of the delta for each node, {{catalogue.delta_bytes:n}} bytes for each changed entry | within |

## Spread of a change
Push: encoding for 2,500 peers, {{role.push_bytes:M}} MB at 1 Gbit/s, 55 ms to the farthest region and {{role.apply_ms:n}} ms to
apply: {{role.push_s:n2}} s. Random gossip to f targets takes ln n / ln(1 + f) + ln n / f rounds of 200 ms and a pull each:
{{role.zone_spread_s:n1}} s in a zone, {{role.region_spread_s:n1}} s in a region of 312 nodes (f = 2), {{role.epidemic_s:n1}} s for all nodes by
the one target elsewhere alone. A poller that learns of a change from the store doesn't push it; the other nodes of its
region have it after {{role.poll_s:n1}} s ({{?role.poll_s<=7}}).

## Store
| user | writes/s | reads/s |
|---|---|---|
| pollers | 0 | {{role.poll_reads:n}} |
| platform list | 0 | {{role.list_reads:n1}} |
| 21 allocators (3.9) | {{role.share_writes:n1}} | {{role.share_reads:n1}} |
| edits | {{role.edit_writes:n2}} | - |
| claims, all that is left (3.9) | {{role.claim_writes_left:n}} | {{role.claim_reads:n}} |

## Measured lines
)";
// clang-format on

std::string LineTable(const FigureTable& figures) {
  std::string table =
      "| figure | unit | measured (size: value) | slope | intercept | residual "
      "|\n|---|---|---|---|---|---|\n";
  for (const auto& [name, figure] : figures.Fits()) {
    std::string samples;
    char text[160];
    for (const FitSample& sample : figure.samples) {
      std::snprintf(text, sizeof(text), "%s%.0f: %.4g",
                    samples.empty() ? "" : ", ", sample.x, sample.y);
      samples += text;
    }
    std::snprintf(text, sizeof(text), " | %.3g | %.3g | %.2g |\n",
                  figure.fit.slope, figure.fit.intercept, figure.fit.residual);
    table.append("| ").append(name).append(" | ").append(figure.y_unit);
    table.append(" by ").append(figure.x_unit).append(" | ");
    table.append(samples).append(text);
  }
  return table;
}

}  // namespace

std::string MakeCapacityPage(const FigureTable& figures) {
  return RenderPage(kSummary, figures) + RenderPage(kRoles, figures) +
         LineTable(figures);
}

}  // namespace kumquatcove
