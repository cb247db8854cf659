#ifndef CAPACITY_SYNTHETIC_DEPLOYMENT_H_
#define CAPACITY_SYNTHETIC_DEPLOYMENT_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "catalogue/catalogue_index.h"
#include "catalogue/entry.h"
#include "membership/member_table.h"
#include "protocol/context.h"
#include "protocol/peer_message.h"

namespace kumquatcove {

/** Sizes of a generated catalogue. */
struct SyntheticSizes {
  std::size_t sites = 3;
  std::size_t upstreams_per_site = 12;
  std::size_t client_blocks = 21;
};

/** Where generated members stand. */
enum class MemberPlacement {
  /** All in the first availability zone. */
  kOneZone,
  /** Spread over all availability zones. */
  kAllZones,
};

constexpr auto EnumNames(MemberPlacement) {
  using Row = EnumName<MemberPlacement>;
  return std::array{Row{MemberPlacement::kOneZone, "one-zone"},
                    Row{MemberPlacement::kAllZones, "all-zones"}};
}

inline constexpr std::size_t kSyntheticRegions = 8;
inline constexpr std::size_t kSyntheticZones = 21;

/** Returns names of the form and length of a real deployment. */
InstanceId SyntheticInstance(std::size_t number);
ServiceName SyntheticSite(std::size_t number);
ZoneName SyntheticZone(std::size_t number);
RegionName SyntheticRegionOf(std::size_t zone);
/** Returns a client address inside block `number`. */
std::string SyntheticClient(std::size_t number);

/** Returns the entry of a site; site `number` stands in region number mod 8. */
ServiceEntry MakeSite(std::size_t number, std::size_t upstreams);
/** Returns a topology of 8 regions, 21 availability zones and `client_blocks`
 * blocks. */
TopologyEntry MakeTopology(std::size_t client_blocks);

/** Returns a catalogue at `revision`, all entries of which changed at revision
 * 1. */
CatalogueSnapshot MakeSnapshot(SyntheticSizes sizes, std::int64_t revision = 1);

/** Returns the record of instance `number` after it has run for `uptime`. */
MemberRecord MakeRecord(std::size_t number,
                        MemberPlacement placement,
                        Duration uptime);

/** Returns the context of instance `number`, at time 1000 s. */
std::unique_ptr<Context> MakeContext(std::size_t number,
                                     MemberPlacement placement);

/** Advances both clocks of a context. */
void Advance(Context& context, Duration duration);

/** Passes the records of members 1 to count-1 to the table, each from its
 * owner. */
void RefreshMembers(Context& context,
                    MemberTable& members,
                    std::size_t count,
                    MemberPlacement placement);

}  // namespace kumquatcove

#endif  // CAPACITY_SYNTHETIC_DEPLOYMENT_H_
