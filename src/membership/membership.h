#ifndef MEMBERSHIP_MEMBERSHIP_H_
#define MEMBERSHIP_MEMBERSHIP_H_

/**
 * Module `membership`: which entry instances exist and which of them are live.
 *
 * Each instance owns its own record and spreads it by gossip. An instance
 * whose heartbeat counter makes no progress is considered failed. The
 * platform's list only adds candidates and marks instances as leaving.
 */
#include "membership/member_table.h"
#include "membership/rendezvous.h"

#endif  // MEMBERSHIP_MEMBERSHIP_H_
