#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "capacity/benchmarks.h"
#include "capacity/resource_meter.h"
#include "capacity/synthetic_deployment.h"
#include "node/timeline.h"
#include "quarantine/suspicion_table.h"

namespace kumquatcove {
namespace {

constexpr std::array<std::size_t, 3> kContents = {1'000, 4'000, 10'000};
constexpr std::array<std::size_t, 3> kEvents = {2'000, 8'000, 20'000};

double MeasureSuspicions(std::size_t count) {
  auto context = MakeContext(0, MemberPlacement::kOneZone);
  const UpstreamId upstream = MakeSite(0, 1).upstreams[0].id;
  const std::int64_t before = LiveHeapBytes();
  SuspicionTable table;
  for (std::uint64_t number = 1; number <= count; ++number) {
    table.OnSuspicion(*context,
                      {number * 7'919, SuspicionLevel::kQuarantined, upstream});
  }
  context->TakeEffects();
  return static_cast<double>(LiveHeapBytes() - before);
}

double MeasureTimeline(std::size_t count) {
  const std::int64_t before = LiveHeapBytes();
  Timeline timeline;
  for (std::size_t number = 0; number < count; ++number) {
    timeline.Add({{static_cast<std::int64_t>(number), 0},
                  SyntheticInstance(0),
                  "slot_granted",
                  "request-0123456789abcdef",
                  {{"upstream", "site-0007-u003"}, {"service", "site-0007"}}});
  }
  return static_cast<double>(LiveHeapBytes() - before);
}

}  // namespace

void MeasureMemoryTables(FigureTable& figures) {
  std::vector<FitSample> suspicions;
  std::vector<FitSample> timeline;
  suspicions.reserve(kContents.size());
  timeline.reserve(kEvents.size());
  for (const std::size_t count : kContents) {
    suspicions.push_back(
        {static_cast<double>(count), MeasureSuspicions(count)});
  }
  for (const std::size_t count : kEvents) {
    timeline.push_back({static_cast<double>(count), MeasureTimeline(count)});
  }
  figures.SetFit("quarantine.memory", "contents", "bytes", suspicions);
  figures.SetFit("timeline.memory", "events", "bytes", timeline);
}

}  // namespace kumquatcove
