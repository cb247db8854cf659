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
#include "claims/claim_table.h"
#include "protocol/fake_store.h"

namespace kumquatcove {
namespace {

constexpr double kMicro = 1e6;
constexpr std::array<std::size_t, 4> kClaimCounts = {500, 1'000, 2'000, 4'000};
// A batch carries at most 16 rows, one of which is the log row; each request
// needs two of them, its claim and its answer.
constexpr std::size_t kRequestsPerBatch = 7;
constexpr std::size_t kAnswerBytes = 256;

/** Runs requests through a claim table with a store that answers at once. */
class ClaimRun {
 public:
  ClaimRun()
      : m_context(MakeContext(0, MemberPlacement::kOneZone)),
        m_store(1),
        m_answer{Outcome::kRan,
                 RefusalReason::kNone,
                 {200, {}, std::string(kAnswerBytes, 'x')}} {
    m_context->SetCatalogue(
        std::make_shared<const CatalogueIndex>(MakeSnapshot({1, 12, 21})));
  }

  /** Claims, sends and records `count` requests in batches. */
  void Run(std::size_t count) {
    for (std::size_t done = 0; done < count; done += kRequestsPerBatch) {
      Advance(*m_context, Milliseconds(45));
      for (std::size_t index = 0; index < kRequestsPerBatch; ++index) {
        Begin();
      }
      Pump();
    }
  }

  double CpuSeconds() const { return m_watch.Seconds(); }
  std::size_t Writes() const { return m_writes; }
  std::size_t Reads() const { return m_reads; }
  std::size_t Answered() const { return m_finished; }
  std::size_t Size() const { return m_table.Size(); }

 private:
  void Begin() {
    const ClaimKey key{SyntheticSite(0),
                       "0b4e1d52-6c1f-4a55-9b1f-" + std::to_string(++m_count)};
    m_keys.push_back(key);
    m_watch.Start();
    m_table.Begin(*m_context, RequestId{m_count}, key, m_count,
                  m_context->Now() + Seconds(10), false);
    m_watch.Stop();
  }

  void Pump() {
    bool any = true;
    while (any) {
      any = false;
      m_watch.Start();
      m_table.OnTick(*m_context);
      const std::vector<ClaimVerdict> verdicts = m_table.TakeVerdicts();
      m_watch.Stop();
      for (const ClaimVerdict& verdict : verdicts) {
        any = true;
        OnVerdict(verdict);
      }
      for (const Effect& effect : m_context->TakeEffects()) {
        if (const auto* call = std::get_if<CallStore>(&effect)) {
          any = true;
          Reply(*call);
        }
      }
    }
  }

  void OnVerdict(const ClaimVerdict& verdict) {
    const ClaimKey& key = m_keys.at(verdict.request.number - 1);
    if (verdict.kind == ClaimVerdictKind::kGranted) {
      m_watch.Start();
      m_table.MarkSent(*m_context, key);
      m_table.Finish(*m_context, key, m_answer);
      m_watch.Stop();
      ++m_finished;
    }
  }

  void Reply(const CallStore& call) {
    const StoreReply reply = m_store.Run(call.operation);
    if (std::holds_alternative<StoreWrite>(call.operation)) {
      ++m_writes;
    } else {
      ++m_reads;
    }
    StoreClientModule module{};
    m_context->TakeStoreCall(call.id, module);
    m_watch.Start();
    m_table.OnStoreReply(*m_context, call.id, reply);
    m_watch.Stop();
  }

  std::unique_ptr<Context> m_context;
  FakeStore m_store;
  ClaimTable m_table;
  CallerAnswer m_answer;
  CpuStopwatch m_watch;
  std::vector<ClaimKey> m_keys;
  std::uint64_t m_count = 0;
  std::size_t m_writes = 0;
  std::size_t m_reads = 0;
  std::size_t m_finished = 0;
};

// Heap of a table with `count` settled claims, the store and the run's own
// lists not counted: a second run without the table's share isn't possible, so
// the table is destroyed first.
double MeasureTableBytes(std::size_t count) {
  auto context = MakeContext(0, MemberPlacement::kOneZone);
  context->SetCatalogue(
      std::make_shared<const CatalogueIndex>(MakeSnapshot({1, 12, 21})));
  FakeStore store(1);
  auto table = std::make_unique<ClaimTable>();
  const CallerAnswer answer{Outcome::kRan,
                            RefusalReason::kNone,
                            {200, {}, std::string(kAnswerBytes, 'x')}};
  for (std::uint64_t number = 1; table->Size() < count; ++number) {
    const ClaimKey key{SyntheticSite(0),
                       "0b4e1d52-6c1f-4a55-9b1f-" + std::to_string(number)};
    Advance(*context, Milliseconds(90));
    table->Begin(*context, RequestId{number}, key, number,
                 context->Now() + Seconds(10), false);
    for (int turn = 0; turn < 4; ++turn) {
      Advance(*context, Milliseconds(45));
      table->OnTick(*context);
      for (const Effect& effect : context->TakeEffects()) {
        if (const auto* call = std::get_if<CallStore>(&effect)) {
          table->OnStoreReply(*context, call->id, store.Run(call->operation));
        }
      }
      for (const ClaimVerdict& verdict : table->TakeVerdicts()) {
        if (verdict.kind == ClaimVerdictKind::kGranted) {
          table->MarkSent(*context, key);
          table->Finish(*context, key, answer);
        }
      }
    }
  }
  const std::int64_t with_table = LiveHeapBytes();
  table.reset();
  return static_cast<double>(with_table - LiveHeapBytes());
}

}  // namespace

void MeasureClaims(FigureTable& figures) {
  std::vector<FitSample> cpu;
  std::vector<FitSample> writes;
  for (const std::size_t count : kClaimCounts) {
    ClaimRun run;
    run.Run(count);
    const auto size = static_cast<double>(run.Answered());
    cpu.push_back({size, kMicro * run.CpuSeconds()});
    writes.push_back({size, static_cast<double>(run.Writes())});
    figures.Set("claims.reads_per_request",
                static_cast<double>(run.Reads()) / size);
  }
  std::vector<FitSample> memory;
  for (const std::size_t count : {250U, 500U, 1'000U}) {
    memory.push_back({static_cast<double>(count), MeasureTableBytes(count)});
  }
  figures.SetFit("claims.cpu", "requests", "us", cpu);
  figures.SetFit("claims.writes", "requests", "writes", writes);
  figures.SetFit("claims.memory", "claims", "bytes", memory);
}

}  // namespace kumquatcove
