#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "capacity/benchmarks.h"
#include "capacity/resource_meter.h"
#include "capacity/synthetic_deployment.h"
#include "configuration/catalogue_rows.h"
#include "configuration/configuration_sync.h"
#include "wire/envelope_codec.h"

namespace kumquatcove {
namespace {

constexpr double kMilli = 1e3;
constexpr std::array<std::size_t, 4> kSiteSizes = {3, 60, 200, 590};
constexpr std::array<std::size_t, 3> kBlockSizes = {1'000, 20'000, 170'000};

/** Cost of a catalogue of some size. */
struct CatalogueCost {
  double build_ms = 0;
  double index_bytes = 0;
  double apply_ms = 0;
  /** Zero if it is above the greatest size of a message. */
  double full_delta_bytes = 0;
};

using IndexPointer = std::shared_ptr<const CatalogueIndex>;

// The catalogue that results from a change of one upstream of the first site.
IndexPointer MakeNext(const CatalogueSnapshot& snapshot) {
  CatalogueSnapshot next = snapshot;
  next.revision = 2;
  for (CatalogueEntry& entry : next.entries) {
    if (auto* site = std::get_if<ServiceEntry>(&entry.body)) {
      site->upstreams.front().drained = true;
      entry.revision = 2;
      break;
    }
  }
  return std::make_shared<const CatalogueIndex>(std::move(next));
}

CatalogueDelta MakeDelta(const CatalogueIndex& index, std::int64_t base) {
  CatalogueDelta delta{base, index.Revision(), index.Digest(), {}};
  for (const CatalogueEntry& entry : index.Snapshot().entries) {
    if (entry.revision > base) {
      delta.entries.push_back(entry);
    }
  }
  return delta;
}

double EncodedBytes(const CatalogueDelta& delta) {
  try {
    return static_cast<double>(EncodeEnvelope({SyntheticInstance(0),
                                               SyntheticZone(0),
                                               {0, 0},
                                               PeerMessage(delta)})
                                   .size());
  } catch (const WireError&) {
    return 0;
  }
}

// Applies the delta with the code of a receiving node.
double MeasureApply(const IndexPointer& current, const CatalogueDelta& delta) {
  return kMilli * CpuSecondsPerCall([&] {
           auto context = MakeContext(0, MemberPlacement::kOneZone);
           MemberTable members;
           members.Start(*context);
           context->SetCatalogue(current);
           ConfigurationSync sync;
           sync.OnCatalogueDelta(*context, members, SyntheticInstance(1),
                                 delta);
         });
}

CatalogueCost MeasureSize(SyntheticSizes sizes) {
  CatalogueCost cost;
  const CatalogueSnapshot snapshot = MakeSnapshot(sizes);
  const std::int64_t before = LiveHeapBytes();
  auto index = std::make_shared<const CatalogueIndex>(snapshot);
  cost.index_bytes = static_cast<double>(LiveHeapBytes() - before);
  cost.build_ms =
      kMilli * CpuSecondsPerCall([&] { CatalogueIndex again(snapshot); });
  const IndexPointer next = MakeNext(snapshot);
  cost.apply_ms = MeasureApply(index, MakeDelta(*next, 1));
  cost.full_delta_bytes = EncodedBytes(MakeDelta(*index, 0));
  return cost;
}

// Memory that one change needs on top of the catalogue in force, at its peak.
double MeasureApplyPeak() {
  const CatalogueSnapshot snapshot = MakeSnapshot({590, 12, 170'000});
  auto index = std::make_shared<const CatalogueIndex>(snapshot);
  const CatalogueDelta delta = MakeDelta(*MakeNext(snapshot), 1);
  auto context = MakeContext(0, MemberPlacement::kOneZone);
  MemberTable members;
  members.Start(*context);
  context->SetCatalogue(index);
  ConfigurationSync sync;
  const std::int64_t before = LiveHeapBytes();
  ResetPeakHeapBytes();
  sync.OnCatalogueDelta(*context, members, SyntheticInstance(1), delta);
  return static_cast<double>(PeakHeapBytes() - before);
}

void MeasureOneDelta(FigureTable& figures) {
  const IndexPointer next = MakeNext(MakeSnapshot({3, 12, 21}));
  const CatalogueDelta delta = MakeDelta(*next, 1);
  figures.Set("catalogue.delta_bytes", EncodedBytes(delta));
  figures.Set("catalogue.delta_encode_us",
              1e6 * CpuSecondsPerCall([&] { EncodedBytes(delta); }, 0.02));
  figures.Set("catalogue.entry_row_bytes",
              static_cast<double>(EncodeRow(delta.entries.front()).size()));
  const CatalogueEntry topology{1, WallTime{0}, MakeTopology(170'000)};
  figures.Set("catalogue.topology_row_bytes",
              static_cast<double>(EncodeRow(topology).size()));
}

}  // namespace

void MeasureCatalogue(FigureTable& figures) {
  std::vector<FitSample> build;
  std::vector<FitSample> memory;
  std::vector<FitSample> apply;
  std::vector<FitSample> full;
  for (const std::size_t sites : kSiteSizes) {
    const auto size = static_cast<double>(sites);
    const CatalogueCost cost = MeasureSize({sites, 12, 21});
    build.push_back({size, cost.build_ms});
    memory.push_back({size, cost.index_bytes});
    apply.push_back({size, cost.apply_ms});
    full.push_back({size, cost.full_delta_bytes});
  }
  figures.SetFit("catalogue.build_by_sites", "sites", "ms", build);
  figures.SetFit("catalogue.memory_by_sites", "sites", "bytes", memory);
  figures.SetFit("catalogue.apply_by_sites", "sites", "ms", apply);
  figures.SetFit("catalogue.full_delta_by_sites", "sites", "bytes", full);
  build.clear();
  memory.clear();
  apply.clear();
  full.clear();
  for (const std::size_t blocks : kBlockSizes) {
    const auto size = static_cast<double>(blocks);
    const CatalogueCost cost = MeasureSize({3, 12, blocks});
    build.push_back({size, cost.build_ms});
    memory.push_back({size, cost.index_bytes});
    apply.push_back({size, cost.apply_ms});
    if (cost.full_delta_bytes > 0) {
      full.push_back({size, cost.full_delta_bytes});
    }
  }
  figures.SetFit("catalogue.build_by_blocks", "blocks", "ms", build);
  figures.SetFit("catalogue.memory_by_blocks", "blocks", "bytes", memory);
  figures.SetFit("catalogue.apply_by_blocks", "blocks", "ms", apply);
  figures.SetFit("catalogue.full_delta_by_blocks", "blocks", "bytes", full);
  figures.Set("catalogue.full_delta_fits",
              full.size() == kBlockSizes.size() ? 1 : 0);
  MeasureOneDelta(figures);
  figures.Set("catalogue.apply_peak_bytes", MeasureApplyPeak());
}

}  // namespace kumquatcove
