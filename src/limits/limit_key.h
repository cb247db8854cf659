#ifndef LIMITS_LIMIT_KEY_H_
#define LIMITS_LIMIT_KEY_H_

#include <array>
#include <compare>

#include <boost/describe/class.hpp>

#include "base/enum_table.h"
#include "base/name.h"
#include "catalogue/catalogue_index.h"

namespace kumquatcove {

/** What a limit bounds. */
enum class LimitKind {
  /** Requests per second that shifts move into region `to` for `service`. */
  kShift,
  /** Slots in region `to` that requests of other regions use at one time for
     `service`. */
  kSpilloverSlots,
  /** Bytes per second from region `from` to region `to`, of all services. */
  kLink,
};

constexpr auto EnumNames(LimitKind) {
  using Row = EnumName<LimitKind>;
  return std::array{Row{LimitKind::kShift, "shift"},
                    Row{LimitKind::kSpilloverSlots, "spillover-slots"},
                    Row{LimitKind::kLink, "link"}};
}

/** Names one limit; members that the kind doesn't use are empty. */
struct LimitKey {
  LimitKind kind = LimitKind::kShift;
  ServiceName service;
  RegionName from;
  RegionName to;
  friend auto operator<=>(const LimitKey&, const LimitKey&) = default;
};
BOOST_DESCRIBE_STRUCT(LimitKey, (), (kind, service, from, to))

/** Returns the declared value of a limit, in units per second or slots; 0 if
 * nothing declares it. */
double DeclaredLimit(const CatalogueIndex& catalogue, const LimitKey& limit);

}  // namespace kumquatcove

#endif  // LIMITS_LIMIT_KEY_H_
