#include "capacity/synthetic_deployment.h"

#include <cstdio>
#include <utility>

namespace kumquatcove {
namespace {

constexpr const char* kZoneLetters[] = {"a", "b", "c"};
constexpr Duration kStartTime = Seconds(1'000);
constexpr std::int64_t kStartWall = 1'790'000'000'000'000;

std::string Number(const char* format, std::size_t number) {
  char text[32];
  std::snprintf(text, sizeof(text), format, static_cast<unsigned>(number));
  return text;
}

// Blocks of /22 from 16.0.0.0 on.
std::uint32_t BlockAddress(std::size_t number) {
  return (16U << 24U) + (static_cast<std::uint32_t>(number) << 10U);
}

std::string AddressText(std::uint32_t address) {
  return std::to_string(address >> 24U) + "." +
         std::to_string(address >> 16U & 255U) + "." +
         std::to_string(address >> 8U & 255U) + "." +
         std::to_string(address & 255U);
}

std::size_t ZoneOfMember(std::size_t number, MemberPlacement placement) {
  return placement == MemberPlacement::kOneZone ? 0 : number % kSyntheticZones;
}

}  // namespace

InstanceId SyntheticInstance(std::size_t number) {
  return InstanceId(Number("instance-%05u", number));
}

ServiceName SyntheticSite(std::size_t number) {
  return ServiceName(Number("site-%04u", number));
}

// Three zones for each region, but for the last three regions, which have two.
RegionName SyntheticRegionOf(std::size_t zone) {
  constexpr std::size_t kThreeZones = 5;
  const std::size_t region = zone < kThreeZones * 3
                                 ? zone / 3
                                 : kThreeZones + (zone - kThreeZones * 3) / 2;
  return RegionName(Number("region-%u", region));
}

ZoneName SyntheticZone(std::size_t number) {
  constexpr std::size_t kThreeZones = 15;
  const std::size_t letter =
      number < kThreeZones ? number % 3 : (number - kThreeZones) % 2;
  return ZoneName(SyntheticRegionOf(number).Text() + "-" +
                  kZoneLetters[letter]);
}

std::string SyntheticClient(std::size_t number) {
  return AddressText(BlockAddress(number) + 77);
}

ServiceEntry MakeSite(std::size_t number, std::size_t upstreams) {
  ServiceEntry entry;
  entry.service = SyntheticSite(number);
  entry.owner = OperatorName(Number("team-%03u", number % 60));
  const std::string& name = entry.service.Text();
  entry.names = {{name + ".services.example"}, {name}, {"SITE-" + name}};
  entry.limits.slots_per_upstream = 3;
  entry.limits.connections_per_upstream = 400;
  entry.limits.queue_length = 1'000;
  entry.limits.default_deadline_ms = 2'000;
  entry.limits.max_deadline_ms = 10'000;
  entry.limits.headroom_permille = 200;
  entry.limits.shift_cap_per_second = 100;
  entry.limits.retry_permille = 100;
  entry.limits.hedge_permille = 50;
  // The first zone of the site's region; members in one zone stand there too.
  const std::size_t region = number % kSyntheticRegions;
  const std::size_t zone = region < 6 ? region * 3 : 15 + (region - 5) * 2;
  for (std::size_t upstream = 0; upstream < upstreams; ++upstream) {
    entry.upstreams.push_back({UpstreamId(name + Number("-u%03u", upstream)),
                               SyntheticZone(zone),
                               "10." + std::to_string(number / 250) + "." +
                                   std::to_string(number % 250) + "." +
                                   std::to_string(upstream + 10) + ":9001",
                               false});
  }
  return entry;
}

TopologyEntry MakeTopology(std::size_t client_blocks) {
  TopologyEntry topology;
  topology.owner = OperatorName("network-team");
  topology.link_mbit_per_second = 4'000;
  topology.max_instances = 16;
  topology.lookup_ttl_ms = 1'000;
  for (std::size_t zone = 0; zone < kSyntheticZones; ++zone) {
    const RegionName region = SyntheticRegionOf(zone);
    if (topology.regions.empty() || topology.regions.back().name != region) {
      topology.regions.push_back({region, {}});
    }
    topology.regions.back().zones.push_back(SyntheticZone(zone));
  }
  topology.client_blocks.reserve(client_blocks);
  for (std::size_t block = 0; block < client_blocks; ++block) {
    topology.client_blocks.push_back({AddressText(BlockAddress(block)) + "/22",
                                      SyntheticZone(block % kSyntheticZones)});
  }
  return topology;
}

CatalogueSnapshot MakeSnapshot(SyntheticSizes sizes, std::int64_t revision) {
  CatalogueSnapshot snapshot{revision, {}};
  snapshot.entries.push_back(
      {1, WallTime{kStartWall}, MakeTopology(sizes.client_blocks)});
  for (std::size_t site = 0; site < sizes.sites; ++site) {
    snapshot.entries.push_back(
        {1, WallTime{kStartWall}, MakeSite(site, sizes.upstreams_per_site)});
  }
  return snapshot;
}

MemberRecord MakeRecord(std::size_t number,
                        MemberPlacement placement,
                        Duration uptime) {
  const std::size_t zone = ZoneOfMember(number, placement);
  const std::string address = "10." + std::to_string(100 + zone) + "." +
                              std::to_string(number / 250) + "." +
                              std::to_string(number % 250 + 1);
  return {SyntheticInstance(number),
          kStartWall + static_cast<std::int64_t>(number),
          1 + uptime.count() / 1000,
          SyntheticRegionOf(zone),
          SyntheticZone(zone),
          address + ":8080",
          address + ":7443",
          InstancePhase::kServing,
          1};
}

std::unique_ptr<Context> MakeContext(std::size_t number,
                                     MemberPlacement placement) {
  const MemberRecord record = MakeRecord(number, placement, Duration(0));
  auto context = std::make_unique<Context>(
      Identity{record.instance, record.incarnation, record.region, record.zone,
               record.caller_address, record.peer_address},
      number + 1);
  context->SetNow({MonotonicTime(kStartTime), WallTime{kStartWall}});
  return context;
}

void Advance(Context& context, Duration duration) {
  context.SetNow({context.Now() + duration,
                  WallTime{context.Wall().microseconds + duration.count()}});
}

void RefreshMembers(Context& context,
                    MemberTable& members,
                    std::size_t count,
                    MemberPlacement placement) {
  const Duration uptime =
      context.Now() - MonotonicTime(kStartTime) + Seconds(60);
  for (std::size_t number = 1; number < count; ++number) {
    Gossip gossip;
    gossip.records.push_back(MakeRecord(number, placement, uptime));
    members.OnGossip(context, SyntheticInstance(number), gossip);
  }
  context.TakeEffects();
}

}  // namespace kumquatcove
