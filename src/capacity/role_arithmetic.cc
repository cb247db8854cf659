#include "capacity/role_arithmetic.h"

#include <algorithm>
#include <cmath>

namespace kumquatcove {
namespace {

constexpr double kSecondsPerDay = 86'400;
constexpr double kHeartbeatsPerSecond = 5;
/** Four instances in the region and one elsewhere. */
constexpr double kGossipTargets = 5;
constexpr double kRecordsPerMessage = 64;
constexpr double kRandomInRegion = 2;
constexpr double kHeartbeatSeconds = 0.2;
/** One-way latency within a region and between the farthest regions, s. */
constexpr double kRegionHop = 0.001;
constexpr double kFarHop = 0.055;
/** Instance number, counter, phase and revision, packed. */
constexpr double kCompactRecordBytes = 24;
constexpr double kEnvelopeBytes = 120;
constexpr double kPollersPerRegion = 2;
constexpr double kListReadInterval = 2;
constexpr double kListReaders = 10;
constexpr double kClaimWriteRate = 25;

void ComputeGossip(const ExpectedSize& size, FigureTable& figures) {
  const double message =
      figures.GetFit("gossip.message_bytes").samples.back().y;
  const double encode = figures.GetFit("gossip.encode").fit.At(64);
  const double decode = figures.GetFit("gossip.decode").fit.At(64);
  const double merge = figures.GetFit("gossip.merge_record").samples.back().y;
  const double messages = kHeartbeatsPerSecond * kGossipTargets;
  figures.Set("role.gossip_bytes", 2 * messages * message);
  const double cpu_us =
      messages * (encode + decode + merge * kRecordsPerMessage);
  figures.Set("role.gossip_codec_core", cpu_us * 1e-6);
  // Time between two records of one member, on average over all senders.
  figures.Set("role.record_interval_all_s",
              size.nodes / (messages * (kRecordsPerMessage - 1)));
  figures.Set(
      "role.record_interval_zone_s",
      size.NodesPerZone() / (messages * std::min(kRecordsPerMessage - 1,
                                                 size.NodesPerZone() - 1)));
  // Heartbeats of one record to five targets, and all 120 compact records to
  // one random member each second.
  const double direct =
      messages * (figures.GetFit("gossip.message_bytes").samples[0].y / 8 +
                  kEnvelopeBytes);
  const double digest =
      size.NodesPerZone() * kCompactRecordBytes + kEnvelopeBytes;
  figures.Set("role.gossip_compact_bytes", 2 * (direct + digest));
  const double full_records =
      (size.bytes_per_second / 2) / (message / kRecordsPerMessage);
  figures.Set("role.gossip_records_in_budget", full_records);
}

void ComputeLookups(const ExpectedSize& size, FigureTable& figures) {
  const double select = figures.Get("lookup.select_2500_us");
  figures.Set("role.lookups_per_node", size.LookupsPerNode());
  figures.Set("role.lookup_core", size.LookupsPerNode() * select * 1e-6);
  figures.Set("role.lookups_per_core", 1e6 / select);
}

void ComputeCatalogue(const ExpectedSize& size, FigureTable& figures) {
  const double apply =
      figures.GetFit("catalogue.apply_by_sites").samples.back().y +
      figures.GetFit("catalogue.apply_by_blocks").samples.back().y;
  const double changes = size.changes_per_day / kSecondsPerDay;
  figures.Set("role.apply_ms", apply);
  figures.Set("role.apply_core", apply * 1e-3 * changes);
  const double full =
      figures.GetFit("catalogue.full_delta_by_sites").samples.back().y +
      figures.GetFit("catalogue.full_delta_by_blocks")
          .fit.At(size.client_blocks);
  figures.Set("role.full_catalogue_bytes", full);
  const double row = figures.Get("catalogue.topology_row_bytes") +
                     figures.Get("catalogue.entry_row_bytes") * size.sites;
  figures.Set("role.scan_bytes", row);
  const double delta = figures.Get("catalogue.delta_bytes");
  figures.Set("role.push_bytes", delta * size.nodes);
  figures.Set("role.push_cpu_ms",
              figures.Get("catalogue.delta_encode_us") * size.nodes * 1e-3);
  figures.Set("role.delta_bytes_per_s", 2 * delta * changes);
  // A push reaches every node that the committing one knows in one hop.
  constexpr double kBytesPerSecond = 125e6;
  figures.Set("role.push_s",
              figures.Get("role.push_cpu_ms") * 1e-3 +
                  figures.Get("role.push_bytes") / kBytesPerSecond + kFarHop +
                  apply * 1e-3);
  // Nodes that miss the push learn of it by gossip and pull.
  const double pull = 2 * kRegionHop + apply * 1e-3;
  figures.Set("role.zone_spread_s",
              EpidemicRounds(size.NodesPerZone(), kRandomInRegion) *
                  (kHeartbeatSeconds + pull));
  figures.Set("role.region_spread_s",
              EpidemicRounds(size.NodesPerRegion(), kRandomInRegion) *
                  (kHeartbeatSeconds + pull));
  const double far_pull = 2 * kFarHop + apply * 1e-3;
  figures.Set("role.epidemic_rounds", EpidemicRounds(size.nodes, 1));
  figures.Set("role.epidemic_s",
              EpidemicRounds(size.nodes, 1) * (kHeartbeatSeconds + far_pull));
  // Both regions' pollers read once a second.
  figures.Set("role.poll_s", 1 + 0.2 + figures.Get("role.region_spread_s"));
  figures.Set("role.restart_bytes_per_s",
              size.restarts_per_day * row / kSecondsPerDay);
}

void ComputeStore(const ExpectedSize& size, FigureTable& figures) {
  const double pollers = kPollersPerRegion * size.regions;
  figures.Set("role.poll_reads", pollers);
  figures.Set(
      "role.list_reads",
      size.nodes / (kListReadInterval * std::floor(size.nodes / kListReaders)));
  const double share_writes = figures.GetFit("budget.writes").samples[2].y;
  const double share_reads = figures.GetFit("budget.reads").samples[2].y;
  figures.Set("role.share_writes", share_writes);
  figures.Set("role.share_reads", share_reads);
  const double row = figures.GetFit("budget.row_bytes").fit.At(size.zones);
  figures.Set("role.share_row_bytes", row);
  figures.Set("role.share_bytes_per_s",
              row * (share_reads + share_writes) / size.zones);
  figures.Set("role.share_cpu_core",
              figures.GetFit("budget.cpu").samples[2].y * 1e-6);
  const double edit_writes = size.changes_per_day / kSecondsPerDay;
  figures.Set("role.edit_writes", edit_writes);
  const double claim_writes =
      size.store_writes_per_second - share_writes - edit_writes;
  const double per_request = figures.GetFit("claims.writes").fit.slope;
  figures.Set("role.claim_writes_left", claim_writes);
  figures.Set("role.claims_per_s", claim_writes / per_request);
  figures.Set("role.claim_writes_today", kClaimWriteRate * size.nodes);
  figures.Set("role.claim_nodes_today", claim_writes / kClaimWriteRate);
  figures.Set("role.claims_per_node_s", kClaimWriteRate / per_request);
  figures.Set("role.claim_reads", claim_writes / per_request *
                                      figures.Get("claims.reads_per_request"));
  figures.Set("role.reads_total", pollers + figures.Get("role.list_reads") +
                                      share_reads +
                                      figures.Get("role.claim_reads"));
  figures.Set("role.claim_memory",
              20'000 * figures.GetFit("claims.memory").fit.slope);
}

void ComputeNode(FigureTable& figures) {
  const double tables = figures.GetFit("timeline.memory").samples.back().y +
                        figures.GetFit("quarantine.memory").samples.back().y +
                        figures.GetFit("prefix.memory").samples.back().y +
                        figures.Get("role.claim_memory");
  figures.Set("role.tables_bytes", tables);
  const double change = figures.Get("catalogue.apply_peak_bytes");
  figures.Set("role.memory_today",
              figures.Get("node.full_heap") + tables + change);
  figures.Set("role.memory_zone",
              figures.Get("node.zone_heap") + tables + change);
  figures.Set("role.memory_steady_today",
              figures.Get("node.full_heap") + tables);
  figures.Set("role.memory_steady", figures.Get("node.zone_heap") + tables);
  figures.Set("role.node_core_today", figures.Get("node.full_cpu_us") * 1e-6 +
                                          figures.Get("role.apply_core"));
  figures.Set("role.node_core_zone", figures.Get("node.zone_cpu_us") * 1e-6 +
                                         figures.Get("role.apply_core"));
  figures.Set("role.node_core_lookups", figures.Get("role.node_core_today") +
                                            figures.Get("role.lookup_core"));
}

void ComputeBursts(const ExpectedSize& size, FigureTable& figures) {
  const double homes = size.sites / size.regions;
  const double find = figures.GetFit("slots.find_home").samples.back().y;
  figures.Set("role.homes_per_region", homes);
  figures.Set("role.homes_per_node", size.sites / size.nodes);
  figures.Set("role.rehome_ms", homes * find * 1e-3);
  // The members of a rack become suspect over one heartbeat interval, so the
  // view changes in at most 20 ticks; every one of them finds all homes anew.
  constexpr double kTicksOfChange = 20;
  figures.Set("role.rack_rehome_ms", kTicksOfChange * homes * find * 1e-3);
  figures.Set("role.rack_homes",
              size.rack_nodes * figures.Get("role.homes_per_node"));
  figures.Set("role.zone_homes",
              size.NodesPerZone() * figures.Get("role.homes_per_node"));
  const double scan = figures.Get("role.scan_bytes");
  figures.Set("role.rack_scan_bytes", size.rack_nodes * scan);
  figures.Set("role.zone_scan_bytes", size.NodesPerZone() * scan);
  figures.Set("role.zone_scan_rows_s", size.NodesPerZone() * (size.sites + 1) /
                                           size.store_reads_per_second);
  figures.Set("role.day_view_changes",
              2 * (size.failures_per_day + size.restarts_per_day));
  figures.Set("role.zone_lookup_factor", size.zones / (size.zones - 1));
}

}  // namespace

double EpidemicRounds(double members, double fanout) {
  return members <= 1 ? 0
                      : std::log(members) / std::log(1 + fanout) +
                            std::log(members) / fanout;
}

void ComputeRoles(const ExpectedSize& size, FigureTable& figures) {
  ComputeGossip(size, figures);
  ComputeLookups(size, figures);
  ComputeCatalogue(size, figures);
  ComputeStore(size, figures);
  ComputeNode(figures);
  ComputeBursts(size, figures);
}

}  // namespace kumquatcove
