#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "capacity/benchmarks.h"
#include "capacity/resource_meter.h"
#include "capacity/synthetic_deployment.h"
#include "limits/budget_ledger.h"
#include "protocol/fake_store.h"

namespace kumquatcove {
namespace {

constexpr double kMicro = 1e6;
constexpr std::array<std::size_t, 4> kRowHolders = {10, 21, 40, 60};
constexpr std::array<std::size_t, 4> kLiveHolders = {5, 10, 21, 40};
/** Limits that one holder leases: the seven links of its region and some
 * spill-over slots. */
constexpr std::size_t kSharesPerHolder = 12;
constexpr std::size_t kAllNodesOfZone = 120;

ShareTable MakeTable(std::size_t holders) {
  ShareTable table;
  for (std::size_t number = 0; number < holders; ++number) {
    ShareHolder holder{SyntheticInstance(number), 1'790'000'000'000'000, 7, {}};
    for (std::size_t share = 0; share < kSharesPerHolder; ++share) {
      const LimitKey key{LimitKind::kSpilloverSlots, SyntheticSite(share),
                         RegionName(), RegionName("region-3")};
      holder.shares.push_back({key, 1'234'567, 2'345'678});
    }
    table.holders.push_back(std::move(holder));
  }
  return table;
}

void MeasureRow(FigureTable& figures) {
  std::vector<FitSample> bytes;
  std::vector<FitSample> cpu;
  for (const std::size_t holders : kRowHolders) {
    const ShareTable table = MakeTable(holders);
    const std::string text = EncodeShareTable(table).value();
    const auto size = static_cast<double>(holders);
    bytes.push_back({size, static_cast<double>(text.size())});
    cpu.push_back({size, kMicro * CpuSecondsPerCall([&] {
                           EncodeShareTable(DecodeShareTable(text).value());
                         })});
  }
  figures.SetFit("budget.row_bytes", "holders", "bytes", bytes);
  figures.SetFit("budget.row_cpu", "holders", "us", cpu);
  figures.Set("budget.row_of_120_accepted",
              EncodeShareTable(MakeTable(kAllNodesOfZone)) ? 1 : 0);
}

/** Store calls of the holders of one row. */
struct HolderCost {
  double writes_per_second = 0;
  double reads_per_second = 0;
  double conflicts_per_second = 0;
  double cpu_us_per_second = 0;
};

/** Ledgers that renew their leases against a store with a latency. */
class HolderRun {
 public:
  explicit HolderRun(std::size_t holders) : m_store(1) {
    const auto catalogue =
        std::make_shared<const CatalogueIndex>(MakeSnapshot({3, 12, 21}));
    for (std::size_t number = 0; number < holders; ++number) {
      m_contexts.push_back(MakeContext(number, MemberPlacement::kAllZones));
      m_contexts.back()->SetCatalogue(catalogue);
      m_ledgers.push_back(std::make_unique<BudgetLedger>());
    }
  }

  void Run(int steps, bool counted) {
    for (int step = 0; step < steps; ++step) {
      for (const FakeStore::Delivery& delivery : m_store.Advance(Now())) {
        Receive(delivery, counted);
      }
      for (std::size_t number = 0; number < m_ledgers.size(); ++number) {
        Tick(number, counted);
      }
    }
  }

  HolderCost Cost(double seconds) const {
    const double holders = static_cast<double>(m_ledgers.size());
    return {m_writes / seconds, m_reads / seconds, m_conflicts / seconds,
            kMicro * m_watch.Seconds() / seconds / holders};
  }

  static constexpr Duration kStep = Milliseconds(10);

 private:
  MonotonicTime Now() const { return m_contexts.front()->Now(); }

  void Tick(std::size_t number, bool counted) {
    Context& context = *m_contexts[number];
    Advance(context, kStep);
    const LimitKey link{LimitKind::kLink, ServiceName(), context.Self().region,
                        RegionName("region-7")};
    constexpr double kBytesPerStep = 400'000;
    if (counted) {
      m_watch.Start();
    }
    m_ledgers[number]->TryTakeRate(context, link, kBytesPerStep);
    m_ledgers[number]->OnTick(context);
    if (counted) {
      m_watch.Stop();
    }
    Collect(number, counted);
  }

  void Receive(const FakeStore::Delivery& delivery, bool counted) {
    const auto number = static_cast<std::size_t>(delivery.client);
    for (const StoreTransactionResult& result : delivery.reply.results) {
      m_conflicts += counted && !result.committed ? 1 : 0;
    }
    if (counted) {
      m_watch.Start();
    }
    m_ledgers[number]->OnStoreReply(*m_contexts[number], delivery.id,
                                    delivery.reply);
    if (counted) {
      m_watch.Stop();
    }
    Collect(number, counted);
  }

  void Collect(std::size_t number, bool counted) {
    for (const Effect& effect : m_contexts[number]->TakeEffects()) {
      if (const auto* call = std::get_if<CallStore>(&effect)) {
        const bool is_write =
            std::holds_alternative<StoreWrite>(call->operation);
        m_writes += counted && is_write ? 1 : 0;
        m_reads += counted && !is_write ? 1 : 0;
        m_store.Call(static_cast<int>(number), *call, Now());
      }
    }
  }

  std::vector<std::unique_ptr<Context>> m_contexts;
  std::vector<std::unique_ptr<BudgetLedger>> m_ledgers;
  FakeStore m_store;
  CpuStopwatch m_watch;
  double m_writes = 0;
  double m_reads = 0;
  double m_conflicts = 0;
};

}  // namespace

void MeasureBudgets(FigureTable& figures) {
  MeasureRow(figures);
  constexpr int kWarmUpSteps = 1'500;
  constexpr int kSteps = 1'000;
  std::vector<FitSample> writes;
  std::vector<FitSample> reads;
  std::vector<FitSample> conflicts;
  std::vector<FitSample> cpu;
  for (const std::size_t holders : kLiveHolders) {
    HolderRun run(holders);
    run.Run(kWarmUpSteps, false);
    run.Run(kSteps, true);
    const HolderCost cost = run.Cost(10);
    const auto size = static_cast<double>(holders);
    writes.push_back({size, cost.writes_per_second});
    reads.push_back({size, cost.reads_per_second});
    conflicts.push_back({size, cost.conflicts_per_second});
    cpu.push_back({size, cost.cpu_us_per_second});
  }
  figures.SetFit("budget.writes", "holders", "writes/s", writes);
  figures.SetFit("budget.reads", "holders", "reads/s", reads);
  figures.SetFit("budget.conflicts", "holders", "conflicts/s", conflicts);
  figures.SetFit("budget.cpu", "holders", "us/s per holder", cpu);
}

}  // namespace kumquatcove
