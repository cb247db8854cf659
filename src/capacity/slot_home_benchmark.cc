#include <array>
#include <deque>
#include <memory>
#include <utility>
#include <variant>
#include <vector>

#include "capacity/benchmarks.h"
#include "capacity/resource_meter.h"
#include "capacity/synthetic_deployment.h"
#include "routing/slot_home.h"
#include "routing/upstream_health.h"
#include "wire/envelope_codec.h"

namespace kumquatcove {
namespace {

constexpr double kMicro = 1e6;
constexpr std::array<std::size_t, 4> kQueueLengths = {0, 50, 200, 800};
constexpr std::array<std::size_t, 4> kUpstreamCounts = {3, 12, 20, 120};
constexpr std::size_t kUsualUpstreams = 12;
constexpr std::size_t kUsualQueue = 20;

/** A slot home of one site, all slots of which are busy. */
class BusyHome {
 public:
  BusyHome(std::size_t upstreams, std::size_t queue)
      : m_context(MakeContext(0, MemberPlacement::kOneZone)) {
    m_context->SetCatalogue(std::make_shared<const CatalogueIndex>(
        MakeSnapshot({1, upstreams, 21})));
    m_members.Start(*m_context);
    m_members.SetPhase(*m_context, InstancePhase::kServing);
    m_home.OnTick(*m_context, m_members, m_health);
    Advance(*m_context, Milliseconds(900));
    m_members.OnTick(*m_context);
    m_home.OnTick(*m_context, m_members, m_health);
    m_context->TakeEffects();
    const std::size_t slots = 3 * upstreams;
    for (std::size_t number = 0; number < slots + queue; ++number) {
      Request();
    }
  }

  /** One request arrives and one ends. */
  void Cycle() {
    Request();
    m_home.OnRelease(*m_context, m_members, m_health,
                     m_context->Self().instance,
                     {m_granted.front(), SyntheticSite(0), UpstreamId(),
                      AttemptResult::kAnswered, Milliseconds(20)});
    m_granted.pop_front();
    Collect();
  }

  void Tick() {
    m_home.OnTick(*m_context, m_members, m_health);
    Collect();
  }

 private:
  void Request() {
    SlotRequest request;
    request.ticket = TicketId{++m_tickets};
    request.service = SyntheticSite(0);
    request.patience = Seconds(1'000);
    m_home.OnRequest(*m_context, m_members, m_health,
                     m_context->Self().instance, request);
    Collect();
  }

  void Collect() {
    for (const Effect& effect : m_context->TakeEffects()) {
      const auto* send = std::get_if<SendPeer>(&effect);
      const auto* grant =
          send == nullptr ? nullptr : std::get_if<SlotGrant>(&send->message);
      if (grant != nullptr) {
        m_granted.push_back(grant->ticket);
      }
    }
  }

  std::unique_ptr<Context> m_context;
  MemberTable m_members;
  UpstreamHealth m_health;
  SlotHome m_home;
  std::uint64_t m_tickets = 0;
  std::deque<TicketId> m_granted;
};

double MessageBytes(PeerMessage message) {
  return static_cast<double>(
      EncodeEnvelope(
          {SyntheticInstance(0), SyntheticZone(0), {1, 1}, std::move(message)})
          .size());
}

void MeasureMessages(FigureTable& figures) {
  SlotRequest request;
  request.service = SyntheticSite(0);
  const UpstreamId upstream = MakeSite(0, 1).upstreams[0].id;
  const SlotGrant grant{TicketId{1}, SyntheticSite(0), upstream};
  const SlotRelease release{TicketId{1}, SyntheticSite(0), upstream,
                            AttemptResult::kAnswered, Milliseconds(20)};
  figures.Set("slots.request_bytes", MessageBytes(request));
  figures.Set("slots.grant_bytes", MessageBytes(grant));
  figures.Set("slots.release_bytes", MessageBytes(release));
  const PeerEnvelope envelope{
      SyntheticInstance(0), SyntheticZone(0), {1, 1}, request};
  figures.Set(
      "slots.codec_us",
      kMicro * CpuSecondsPerCall(
                   [&] { DecodeEnvelope(EncodeEnvelope(envelope)); }, 0.02));
}

// What each site costs when the set of members has changed.
void MeasureFindHome(FigureTable& figures) {
  std::vector<FitSample> find;
  for (const std::size_t count : {10U, 60U, 120U, 310U}) {
    auto context = MakeContext(0, MemberPlacement::kOneZone);
    MemberTable members;
    members.Start(*context);
    members.SetPhase(*context, InstancePhase::kServing);
    RefreshMembers(*context, members, count, MemberPlacement::kOneZone);
    std::size_t site = 0;
    find.push_back({static_cast<double>(count),
                    kMicro * CpuSecondsPerCall([&] {
                      FindSlotHome(members, SyntheticSite(++site % 590),
                                   context->Self().region);
                    })});
  }
  figures.SetFit("slots.find_home", "members", "us", find);
}

}  // namespace

void MeasureSlotHome(FigureTable& figures) {
  std::vector<FitSample> by_queue;
  std::vector<FitSample> by_upstreams;
  std::vector<FitSample> memory;
  std::vector<FitSample> tick;
  for (const std::size_t queue : kQueueLengths) {
    const auto size = static_cast<double>(queue);
    const std::int64_t before = LiveHeapBytes();
    BusyHome home(kUsualUpstreams, queue);
    memory.push_back({size, static_cast<double>(LiveHeapBytes() - before)});
    by_queue.push_back(
        {size, kMicro * CpuSecondsPerCall([&] { home.Cycle(); })});
    tick.push_back({size, kMicro * CpuSecondsPerCall([&] { home.Tick(); })});
  }
  for (const std::size_t upstreams : kUpstreamCounts) {
    BusyHome home(upstreams, kUsualQueue);
    by_upstreams.push_back({static_cast<double>(upstreams),
                            kMicro * CpuSecondsPerCall([&] { home.Cycle(); })});
  }
  figures.SetFit("slots.cycle_by_queue", "queued", "us", by_queue);
  figures.SetFit("slots.cycle_by_upstreams", "upstreams", "us", by_upstreams);
  figures.SetFit("slots.memory", "queued", "bytes", memory);
  figures.SetFit("slots.tick", "queued", "us", tick);
  MeasureMessages(figures);
  MeasureFindHome(figures);
}

}  // namespace kumquatcove
