#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "capacity/benchmarks.h"
#include "capacity/resource_meter.h"
#include "capacity/synthetic_deployment.h"
#include "catalogue/prefix_table.h"
#include "discovery/entry_selector.h"

namespace kumquatcove {
namespace {

constexpr double kMicro = 1e6;
constexpr std::array<std::size_t, 3> kBlockSizes = {1'000, 20'000, 170'000};
constexpr std::array<std::size_t, 4> kInstanceSizes = {10, 60, 120, 310};
constexpr std::size_t kFullSize = 2'500;

void MeasurePrefixTable(FigureTable& figures) {
  std::vector<FitSample> build;
  std::vector<FitSample> memory;
  std::vector<FitSample> find;
  for (const std::size_t count : kBlockSizes) {
    const auto size = static_cast<double>(count);
    const std::vector<ClientBlock> blocks = MakeTopology(count).client_blocks;
    const std::int64_t before = LiveHeapBytes();
    auto table = std::make_unique<PrefixTable>(blocks);
    memory.push_back({size, static_cast<double>(LiveHeapBytes() - before)});
    build.push_back(
        {size, kMicro * CpuSecondsPerCall([&] { PrefixTable again(blocks); })});
    std::uint32_t address = 16U << 24U;
    find.push_back({size, kMicro * CpuSecondsPerCall([&] {
                            address += 1'000'003;
                            table->Find(address);
                          })});
  }
  figures.SetFit("prefix.build", "blocks", "us", build);
  figures.SetFit("prefix.memory", "blocks", "bytes", memory);
  figures.SetFit("prefix.find", "blocks", "us", find);
}

double MeasureSelect(std::size_t instances, MemberPlacement placement) {
  constexpr std::size_t kBlocks = 20'000;
  auto context = MakeContext(0, placement);
  context->SetCatalogue(
      std::make_shared<const CatalogueIndex>(MakeSnapshot({3, 12, kBlocks})));
  MemberTable members;
  members.Start(*context);
  members.SetPhase(*context, InstancePhase::kServing);
  RefreshMembers(*context, members, instances, placement);
  EntrySelector selector;
  std::size_t client = 0;
  const std::string service = SyntheticSite(1).Text();
  return kMicro * CpuSecondsPerCall([&] {
           client = (client + 7'919) % kBlocks;
           selector.Select(*context, members, service, SyntheticClient(client));
         });
}

}  // namespace

void MeasureLookups(FigureTable& figures) {
  MeasurePrefixTable(figures);
  std::vector<FitSample> select;
  select.reserve(kInstanceSizes.size());
  for (const std::size_t instances : kInstanceSizes) {
    select.push_back({static_cast<double>(instances),
                      MeasureSelect(instances, MemberPlacement::kAllZones)});
  }
  figures.SetFit("lookup.select", "instances", "us", select);
  figures.Set("lookup.select_2500_us",
              MeasureSelect(kFullSize, MemberPlacement::kAllZones));
}

}  // namespace kumquatcove
