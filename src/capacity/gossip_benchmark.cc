#include <algorithm>
#include <array>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "capacity/benchmarks.h"
#include "capacity/gossip_ring.h"
#include "capacity/resource_meter.h"
#include "capacity/synthetic_deployment.h"
#include "wire/envelope_codec.h"

namespace kumquatcove {
namespace {

constexpr double kMicro = 1e6;
constexpr std::array<std::size_t, 4> kMemberSizes = {10, 60, 120, 310};
constexpr int kRounds = 40;

/** What one node spends on gossip with a table of some size. */
struct GossipCost {
  double heartbeat_us = 0;
  double merge_record_us = 0;
  double idle_tick_us = 0;
  double bytes_per_message = 0;
  double records_per_message = 0;
  double messages_per_second = 0;
  double encode_us = 0;
  double decode_us = 0;
  double table_bytes = 0;
};

PeerEnvelope Wrap(const Context& context, const Gossip& gossip) {
  return {context.Self().instance,
          context.Self().zone,
          {context.Wall().microseconds, 0},
          gossip};
}

void MeasureCodec(const Context& context,
                  const Gossip& gossip,
                  GossipCost& cost) {
  const PeerEnvelope envelope = Wrap(context, gossip);
  const std::string bytes = EncodeEnvelope(envelope);
  cost.bytes_per_message = static_cast<double>(bytes.size());
  cost.records_per_message = static_cast<double>(gossip.records.size());
  cost.encode_us =
      kMicro * CpuSecondsPerCall([&] { EncodeEnvelope(envelope); }, 0.02);
  cost.decode_us =
      kMicro * CpuSecondsPerCall([&] { DecodeEnvelope(bytes); }, 0.02);
}

// Merging is measured with messages of up to 64 newer records from one sender.
double MeasureMerge(Context& context,
                    MemberTable& members,
                    std::size_t count,
                    std::int64_t counter) {
  CpuStopwatch watch;
  std::size_t records = 0;
  for (std::size_t first = 1; first < count; first += kMaxGossipRecords) {
    Gossip gossip;
    const std::size_t end = std::min(first + kMaxGossipRecords, count);
    for (std::size_t number = first; number < end; ++number) {
      gossip.records.push_back(
          MakeRecord(number, MemberPlacement::kOneZone, Duration(0)));
      gossip.records.back().counter = counter;
    }
    records += gossip.records.size();
    watch.Start();
    members.OnGossip(context, SyntheticInstance(first), gossip);
    watch.Stop();
  }
  context.TakeEffects();
  return kMicro * watch.Seconds() / static_cast<double>(records);
}

GossipCost MeasureTable(std::size_t count) {
  GossipCost cost;
  auto context = MakeContext(0, MemberPlacement::kOneZone);
  MemberTable members;
  members.Start(*context);
  const std::int64_t before = LiveHeapBytes();
  RefreshMembers(*context, members, count, MemberPlacement::kOneZone);
  cost.table_bytes = static_cast<double>(LiveHeapBytes() - before);
  CpuStopwatch heartbeat;
  std::size_t messages = 0;
  Gossip last;
  for (int round = 0; round < kRounds; ++round) {
    Advance(*context, kHeartbeatInterval);
    heartbeat.Start();
    members.OnTick(*context);
    heartbeat.Stop();
    for (Effect& effect : context->TakeEffects()) {
      if (auto* send = std::get_if<SendPeer>(&effect)) {
        ++messages;
        last = std::get<Gossip>(std::move(send->message));
      }
    }
    cost.merge_record_us +=
        MeasureMerge(*context, members, count, 1'000'000 + round * 200) /
        kRounds;
  }
  cost.heartbeat_us = kMicro * heartbeat.Seconds() / kRounds;
  cost.messages_per_second = 5.0 * static_cast<double>(messages) / kRounds;
  cost.idle_tick_us =
      kMicro * CpuSecondsPerCall([&] { members.OnTick(*context); }, 0.02);
  MeasureCodec(*context, last, cost);
  return cost;
}

}  // namespace

void MeasureGossip(FigureTable& figures) {
  std::vector<FitSample> heartbeat;
  std::vector<FitSample> merge;
  std::vector<FitSample> tick;
  std::vector<FitSample> table;
  std::vector<FitSample> bytes;
  std::vector<FitSample> encode;
  std::vector<FitSample> decode;
  std::vector<FitSample> suspects;
  std::vector<FitSample> spread;
  for (const std::size_t count : kMemberSizes) {
    const auto size = static_cast<double>(count);
    const GossipCost cost = MeasureTable(count);
    heartbeat.push_back({size, cost.heartbeat_us});
    merge.push_back({size, cost.merge_record_us});
    tick.push_back({size, cost.idle_tick_us});
    table.push_back({size, cost.table_bytes});
    figures.Set("gossip.messages_per_second", cost.messages_per_second);
  }
  for (const std::size_t count : {8U, 16U, 32U, 64U}) {
    GossipCost cost;
    Gossip gossip;
    for (std::size_t number = 0; number < count; ++number) {
      gossip.records.push_back(
          MakeRecord(number, MemberPlacement::kOneZone, Seconds(100'000)));
    }
    MeasureCodec(*MakeContext(0, MemberPlacement::kOneZone), gossip, cost);
    const auto size = static_cast<double>(count);
    bytes.push_back({size, cost.bytes_per_message});
    encode.push_back({size, cost.encode_us});
    decode.push_back({size, cost.decode_us});
  }
  for (const std::size_t count : kMemberSizes) {
    const auto size = static_cast<double>(count);
    suspects.push_back(
        {size, 100 * FalseSuspicions(count, MemberPlacement::kOneZone)});
    spread.push_back(
        {size, 100 * FalseSuspicions(count, MemberPlacement::kAllZones)});
  }
  figures.SetFit("gossip.heartbeat", "members", "us", heartbeat);
  figures.SetFit("gossip.merge_record", "members", "us", merge);
  figures.SetFit("gossip.tick", "members", "us", tick);
  figures.SetFit("gossip.table", "members", "bytes", table);
  figures.SetFit("gossip.message_bytes", "records", "bytes", bytes);
  figures.SetFit("gossip.encode", "records", "us", encode);
  figures.SetFit("gossip.decode", "records", "us", decode);
  figures.SetFit("gossip.false_suspects", "members", "% of views", suspects);
  figures.SetFit("gossip.false_suspects_8_regions", "members", "% of views",
                 spread);
}

}  // namespace kumquatcove
