#ifndef CAPACITY_ROLE_ARITHMETIC_H_
#define CAPACITY_ROLE_ARITHMETIC_H_

#include "capacity/figure_table.h"

namespace kumquatcove {

/** The size that section 1.6 of `docs/design.md` expects in two years. */
struct ExpectedSize {
  double nodes = 2'500;
  double client_blocks = 170'000;
  double sites = 590;
  double lookups_per_second = 2.2e6;
  double regions = 8;
  double zones = 21;
  double changes_per_day = 1'900;
  double change_in_force_s = 7;
  double cpu_core_share = 0.033;
  double memory_bytes = 128e6;
  double bytes_per_second = 22e3;
  double failures_per_day = 4;
  double restarts_per_day = 410;
  double store_writes_per_second = 400;
  double store_reads_per_second = 2'000;
  double rack_nodes = 40;

  double NodesPerZone() const { return nodes / zones; }
  double NodesPerRegion() const { return nodes / regions; }
  double LookupsPerNode() const { return lookups_per_second / nodes; }
};

/** Computes the figures of the expected size from the measured ones and adds
 * them. Throws std::out_of_range if a measurement is missing. */
void ComputeRoles(const ExpectedSize& size, FigureTable& figures);

/** Returns the rounds in which random gossip to `fanout` other members a round
 * informs all of `members`: ln n / ln(1 + f) + ln n / f (Pittel). */
double EpidemicRounds(double members, double fanout);

}  // namespace kumquatcove

#endif  // CAPACITY_ROLE_ARITHMETIC_H_
