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
#include "node/node_reducer.h"
#include "protocol/fake_store.h"
#include "wire/envelope_codec.h"

namespace kumquatcove {
namespace {

constexpr double kMicro = 1e6;
constexpr std::array<std::size_t, 4> kMemberSizes = {10, 60, 120, 310};
constexpr std::array<std::size_t, 4> kSiteSizes = {3, 60, 200, 590};
constexpr std::size_t kGossipSenders = 5;
constexpr int kTicksPerSecond = 100;
constexpr int kTicksPerHeartbeat = 20;

/** One NodeReducer with stand-ins for everything around it. */
class NodeRun {
 public:
  NodeRun(std::size_t members, SyntheticSizes sizes, MemberPlacement placement)
      : m_members(members), m_placement(placement), m_store(1) {
    const MemberRecord record = MakeRecord(0, placement, Duration(0));
    NodeSettings settings;
    settings.identity = {record.instance,       record.incarnation,
                         record.region,         record.zone,
                         record.caller_address, record.peer_address};
    settings.seed = 1;
    m_reducer = std::make_unique<NodeReducer>(std::move(settings));
    Commit(sizes);
    const std::int64_t rows = LiveHeapBytes();
    m_now = MonotonicTime(Seconds(1'000));
    Reduce(Started{});
    // Members that are first heard of over others would be greeted one by one.
    RefreshUncounted();
    for (int tick = 0; tick < 2 * kTicksPerSecond; ++tick) {
      PassTick();
    }
    m_bytes = static_cast<double>(LiveHeapBytes() - rows);
    m_watch = CpuStopwatch();
    m_sent_bytes = 0;
    m_received_bytes = 0;
  }

  /** Lets one second pass without requests: ticks, gossip in and out. */
  void RunSecond() {
    for (int tick = 0; tick < kTicksPerSecond; ++tick) {
      PassTick();
    }
  }

  /** Runs one request to its answer. */
  void RunRequest() {
    HttpRequest http;
    http.method = "GET";
    http.target = "/" + SyntheticSite(0).Text() + "/item/12345";
    http.host = "127.0.0.1";
    Reduce(RequestArrived{RequestId{++m_requests}, std::move(http)});
  }

  double CpuSeconds() const { return m_watch.Seconds(); }
  double SentBytes() const { return m_sent_bytes; }
  double ReceivedBytes() const { return m_received_bytes; }
  double HeapBytes() const { return m_bytes; }
  std::size_t Answers() const { return m_answers; }

 private:
  void Commit(SyntheticSizes sizes) {
    const CatalogueSnapshot snapshot = MakeSnapshot(sizes);
    m_digest = CatalogueIndex(snapshot).Digest();
    for (const CatalogueEntry& entry : snapshot.entries) {
      m_store.Put(EntryKey(EntryName(entry.body)), EncodeRow(entry));
    }
    m_store.Put(std::string(kHeadKey), EncodeRow(HeadRow{1, m_digest}));
  }

  void PassTick() {
    m_now += kTickInterval;
    ++m_ticks;
    Reduce(Tick{});
    if (m_ticks % kTicksPerHeartbeat == 0) {
      for (std::size_t sender = 0; sender < kGossipSenders; ++sender) {
        ReceiveGossip();
      }
      RefreshUncounted();
    }
  }
  MemberRecord Record(std::size_t number) const {
    return MakeRecord(number, m_placement,
                      m_now.time_since_epoch() + Seconds(60));
  }

  // What one of the predecessors in the ring sends: 64 records in rotation.
  void ReceiveGossip() {
    if (m_members < 2) {
      return;
    }
    Gossip gossip;
    const std::size_t count = std::min(m_members - 1, kMaxGossipRecords);
    for (std::size_t index = 0; index < count; ++index) {
      m_rotation = m_rotation % (m_members - 1) + 1;
      gossip.records.push_back(Record(m_rotation));
    }
    gossip.catalogue_revision = 1;
    gossip.catalogue_digest = m_digest;
    const InstanceId from = gossip.records.front().instance;
    const std::string bytes =
        EncodeEnvelope({from, ZoneName("z"), {Wall(), 0}, gossip});
    m_received_bytes += static_cast<double>(bytes.size());
    m_watch.Start();
    PeerEnvelope envelope = DecodeEnvelope(bytes);
    m_watch.Stop();
    Reduce(
        PeerMessageArrived{from, envelope.sent, std::move(envelope.message)});
  }

  // Keeps members live that the rotation reaches too seldom, so that the cost
  // isn't that of false suspicions.
  void RefreshUncounted() {
    const CpuStopwatch counted = m_watch;
    const double sent = m_sent_bytes;
    for (std::size_t number = 1; number < m_members; ++number) {
      Gossip gossip;
      gossip.records.push_back(Record(number));
      gossip.catalogue_revision = 1;
      gossip.catalogue_digest = m_digest;
      Reduce(PeerMessageArrived{
          gossip.records.front().instance, {Wall(), 0}, std::move(gossip)});
    }
    m_watch = counted;
    m_sent_bytes = sent;
  }

  std::int64_t Wall() const { return m_now.time_since_epoch().count(); }

  void Reduce(const Event& event) {
    m_watch.Start();
    std::vector<Effect> effects = m_reducer->Reduce(event, {m_now, {Wall()}});
    m_watch.Stop();
    for (Effect& effect : effects) {
      Carry(effect);
    }
  }

  void Carry(Effect& effect) {
    if (auto* send = std::get_if<SendPeer>(&effect)) {
      const PeerEnvelope envelope{SyntheticInstance(0), ZoneName("region-0-a"),
                                  send->sent, std::move(send->message)};
      m_watch.Start();
      const std::string bytes = EncodeEnvelope(envelope);
      m_watch.Stop();
      m_sent_bytes += static_cast<double>(bytes.size());
      if (const auto* request = std::get_if<SlotRequest>(&envelope.message)) {
        GrantRemotely(send->to, *request);
      }
    } else if (const auto* call = std::get_if<CallStore>(&effect)) {
      Reduce(StoreReplyArrived{call->id, m_store.Run(call->operation)});
    } else if (const auto* open = std::get_if<OpenConnection>(&effect)) {
      Reduce(ConnectionOpened{open->connection});
    } else if (const auto* sent = std::get_if<SendUpstream>(&effect)) {
      Reduce(UpstreamAnswered{
          sent->connection, {200, {}, "ok"}, true, false, false});
    } else if (const auto* probe = std::get_if<ProbeUpstream>(&effect)) {
      Reduce(ProbeCompleted{probe->upstream, true, false, 0});
    } else if (const auto* answer = std::get_if<AnswerCaller>(&effect)) {
      m_answers += answer->answer.outcome == Outcome::kRan ? 1U : 0U;
    }
  }

  // The slot home stands at another instance and answers at once.
  void GrantRemotely(const InstanceId& home, const SlotRequest& request) {
    const UpstreamId upstream = MakeSite(0, 1).upstreams.front().id;
    const std::string bytes =
        EncodeEnvelope({home,
                        ZoneName("region-0-a"),
                        {Wall(), 0},
                        SlotGrant{request.ticket, request.service, upstream}});
    m_watch.Start();
    PeerEnvelope envelope = DecodeEnvelope(bytes);
    m_watch.Stop();
    Reduce(
        PeerMessageArrived{home, envelope.sent, std::move(envelope.message)});
  }

  std::size_t m_members;
  MemberPlacement m_placement;
  FakeStore m_store;
  std::unique_ptr<NodeReducer> m_reducer;
  MonotonicTime m_now;
  CpuStopwatch m_watch;
  std::uint64_t m_digest = 0;
  std::size_t m_rotation = 0;
  std::uint64_t m_requests = 0;
  std::size_t m_answers = 0;
  int m_ticks = 0;
  double m_sent_bytes = 0;
  double m_received_bytes = 0;
  double m_bytes = 0;
};

/** A second of a node without requests. */
struct IdleSecond {
  double cpu_us = 0;
  double bytes = 0;
  double heap = 0;
};

IdleSecond MeasureSecond(std::size_t members,
                         SyntheticSizes sizes,
                         MemberPlacement placement,
                         int seconds = 3) {
  NodeRun run(members, sizes, placement);
  for (int second = 0; second < seconds; ++second) {
    run.RunSecond();
  }
  return {kMicro * run.CpuSeconds() / seconds,
          (run.SentBytes() + run.ReceivedBytes()) / seconds, run.HeapBytes()};
}

void MeasureRequests(FigureTable& figures) {
  constexpr int kRequests = 4'000;
  std::vector<FitSample> request;
  for (const std::size_t members : kMemberSizes) {
    NodeRun run(members, {3, 12, 21}, MemberPlacement::kOneZone);
    const double before = run.CpuSeconds();
    const std::size_t answers = run.Answers();
    for (int number = 0; number < kRequests; ++number) {
      run.RunRequest();
    }
    // Requests to a slot home elsewhere end in the local choice, which isn't
    // what is measured here.
    if (run.Answers() - answers == kRequests) {
      request.push_back({static_cast<double>(members),
                         kMicro * (run.CpuSeconds() - before) / kRequests});
    }
  }
  if (request.size() >= 2) {
    figures.SetFit("node.request", "members", "us", request);
  }
  figures.Set("node.request_sizes", static_cast<double>(request.size()));
}

}  // namespace

void MeasureNode(FigureTable& figures) {
  std::vector<FitSample> cpu;
  std::vector<FitSample> bytes;
  std::vector<FitSample> heap;
  for (const std::size_t members : kMemberSizes) {
    const auto size = static_cast<double>(members);
    const IdleSecond second =
        MeasureSecond(members, {3, 12, 21}, MemberPlacement::kOneZone);
    cpu.push_back({size, second.cpu_us});
    bytes.push_back({size, second.bytes});
    heap.push_back({size, second.heap});
  }
  figures.SetFit("node.cpu_by_members", "members", "us/s", cpu);
  figures.SetFit("node.bytes_by_members", "members", "bytes/s", bytes);
  figures.SetFit("node.heap_by_members", "members", "bytes", heap);
  cpu.clear();
  heap.clear();
  for (const std::size_t sites : kSiteSizes) {
    const auto size = static_cast<double>(sites);
    const IdleSecond second =
        MeasureSecond(10, {sites, 12, 21}, MemberPlacement::kOneZone);
    cpu.push_back({size, second.cpu_us});
    heap.push_back({size, second.heap});
  }
  figures.SetFit("node.cpu_by_sites", "sites", "us/s", cpu);
  figures.SetFit("node.heap_by_sites", "sites", "bytes", heap);
  const IdleSecond full =
      MeasureSecond(2'500, {590, 12, 170'000}, MemberPlacement::kAllZones, 1);
  figures.Set("node.full_cpu_us", full.cpu_us);
  figures.Set("node.full_bytes", full.bytes);
  figures.Set("node.full_heap", full.heap);
  const IdleSecond zone =
      MeasureSecond(120, {590, 12, 170'000}, MemberPlacement::kOneZone, 1);
  figures.Set("node.zone_cpu_us", zone.cpu_us);
  figures.Set("node.zone_bytes", zone.bytes);
  figures.Set("node.zone_heap", zone.heap);
  MeasureRequests(figures);
}

}  // namespace kumquatcove
