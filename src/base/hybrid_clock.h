#ifndef BASE_HYBRID_CLOCK_H_
#define BASE_HYBRID_CLOCK_H_

#include <cstdint>

#include <boost/describe/class.hpp>

#include "base/clock_reading.h"

namespace kumquatcove {

/** Time stamp that orders causally related events of different instances
 * although their wall clocks differ. */
struct HybridTimestamp {
  std::int64_t wall_microseconds = 0;
  std::uint32_t counter = 0;
  friend auto operator<=>(const HybridTimestamp&,
                          const HybridTimestamp&) = default;
};
BOOST_DESCRIBE_STRUCT(HybridTimestamp, (), (wall_microseconds, counter))

/**
 * Hybrid logical clock of one instance.
 *
 * Thread safety: none; owned by one reducer.
 */
class HybridClock {
 public:
  /** Returns a time stamp greater than all returned or merged before. */
  HybridTimestamp Next(WallTime wall);

  /** Takes a time stamp of another instance into account, so that later ones of
   * this instance are greater. */
  void Merge(HybridTimestamp remote, WallTime wall);

 private:
  HybridTimestamp m_last;
};

}  // namespace kumquatcove

#endif  // BASE_HYBRID_CLOCK_H_
