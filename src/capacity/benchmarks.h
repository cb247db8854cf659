#ifndef CAPACITY_BENCHMARKS_H_
#define CAPACITY_BENCHMARKS_H_

#include "capacity/figure_table.h"

namespace kumquatcove {

// Each function measures the code of one module at several sizes and adds the
// fitted lines. CPU is process CPU time, in microseconds unless the unit says
// otherwise; memory is heap. Not thread-safe: all of them use process-wide
// counters.

/** Gossip: heartbeats, merging and the codec, for 10 to 310 members in one
 * zone, and whether members are suspected without cause. */
void MeasureGossip(FigureTable& figures);

/** Look-ups: PrefixTable at 1,000 to 170,000 blocks, EntrySelector at 10 to 310
 * and at 2,500 instances. */
void MeasureLookups(FigureTable& figures);

/** Catalogue: building the index, applying a delta and encoding, for 3 to 590
 * sites and 1,000 to 170,000 blocks. */
void MeasureCatalogue(FigureTable& figures);

/** Slot home: one grant and release, by queue length and by upstreams. */
void MeasureSlotHome(FigureTable& figures);

/** Claims: CPU, memory and store calls. */
void MeasureClaims(FigureTable& figures);

/** Budget shares: size and CPU of the row, store calls of the holders. */
void MeasureBudgets(FigureTable& figures);

/** Memory of SuspicionTable and Timeline. */
void MeasureMemoryTables(FigureTable& figures);

/** NodeReducer as a whole: a second without requests, and one request. */
void MeasureNode(FigureTable& figures);

}  // namespace kumquatcove

#endif  // CAPACITY_BENCHMARKS_H_
