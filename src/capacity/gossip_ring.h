#ifndef CAPACITY_GOSSIP_RING_H_
#define CAPACITY_GOSSIP_RING_H_

#include <cstddef>
#include <memory>
#include <vector>

#include "capacity/synthetic_deployment.h"
#include "membership/member_table.h"
#include "protocol/effect.h"

namespace kumquatcove {

/**
 * Member tables that exchange gossip, each message delivered one step after it
 * was sent, none lost.
 *
 * Thread safety: none.
 */
class GossipRing {
 public:
  /** Starts `count` members that know one another from the platform's list. */
  GossipRing(std::size_t count, MemberPlacement placement);

  /** Lets kStep pass. */
  void Step();

  /** Returns the share of all views in which a member isn't live. */
  double SuspectShare() const;

  static constexpr Duration kStep = Milliseconds(20);

 private:
  void Introduce(std::size_t number, std::size_t count);
  void Collect(std::size_t number);

  MemberPlacement m_placement;
  std::vector<std::unique_ptr<Context>> m_contexts;
  std::vector<std::unique_ptr<MemberTable>> m_tables;
  std::vector<SendPeer> m_sent;
};

/** Returns the mean share of views that hold a member for suspect or dead while
 * all run, after the members have had 10 s to find one another. */
double FalseSuspicions(std::size_t count, MemberPlacement placement);

}  // namespace kumquatcove

#endif  // CAPACITY_GOSSIP_RING_H_
