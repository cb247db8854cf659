#ifndef DISCOVERY_ENTRY_SELECTOR_H_
#define DISCOVERY_ENTRY_SELECTOR_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "catalogue/prefix_table.h"
#include "membership/member_table.h"
#include "protocol/context.h"
#include "protocol/lookup.h"

namespace kumquatcove {

/** Greatest number of instances in an answer; callers need a few alternatives,
 * not all of a large system. */
inline constexpr std::size_t kMaxLookupEntries = 32;

/**
 * Orders the live entry instances for a caller: those of its availability zone
 * first, then of its region, then others.
 *
 * Thread safety: none; owned by one reducer.
 */
class EntrySelector {
 public:
  /**
   * Returns the answer for a caller.
   *
   * `service` may be a name in any scheme or empty; an unknown one is refused
   * with kUnknownService. `client_address` is an IPv4 number; callers outside
   * all client blocks, and an empty address, count as being in this instance's
   * zone. Instances that are suspect, dead, joining or leaving are left out.
   * Callers of one block are spread over the instances of equal distance by
   * rendezvous hashing of the caller's address. With no instance to
   * name, the answer is refused with kNotReady.
   */
  LookupAnswer Select(const Context& context,
                      const MemberTable& members,
                      const std::string& service,
                      const std::string& client_address);

 private:
  /** Instances by distance from the caller: own zone, own region, elsewhere. */
  using DistanceClasses = std::array<std::vector<InstanceId>, 3>;

  ZoneName ZoneOf(const Context& context, const std::string& client_address);
  const DistanceClasses& ClassesFor(const Context& context,
                                    const MemberTable& members,
                                    const ZoneName& zone);

  /** Catalogue that m_blocks was built from. */
  std::shared_ptr<const CatalogueIndex> m_catalogue;
  std::shared_ptr<const PrefixTable> m_blocks;
  /** Classes by the caller's zone, kept while m_view_number and
   * m_view_revision hold: sorting all instances anew for each look-up costs
   * half a millisecond at 2,500 instances. */
  std::map<ZoneName, DistanceClasses> m_classes;
  std::uint64_t m_view_number = 0;
  std::int64_t m_view_revision = -1;
};

}  // namespace kumquatcove

#endif  // DISCOVERY_ENTRY_SELECTOR_H_
