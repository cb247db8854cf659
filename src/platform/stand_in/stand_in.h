#ifndef PLATFORM_STAND_IN_STAND_IN_H_
#define PLATFORM_STAND_IN_STAND_IN_H_

/**
 * Module `platform/stand_in`: the users' platform played on loopback, and a
 * soak of real processes on it.
 *
 * `UserStoreStandIn` is the platform's store, `UpstreamStandIn` a registered
 * upstream and `CallerStandIn` the callers, all in one thread; `SoakRun` starts
 * entry instances as processes, plays faults on all of them and on the links
 * between them (`LinkProxy`), and checks what upstreams and callers have seen
 * by `SoakLedger`. Only the platform's published protocol is used.
 */
#include "platform/stand_in/caller_stand_in.h"
#include "platform/stand_in/link_proxy.h"
#include "platform/stand_in/soak_ledger.h"
#include "platform/stand_in/soak_run.h"
#include "platform/stand_in/upstream_stand_in.h"
#include "platform/stand_in/user_store_stand_in.h"

#endif  // PLATFORM_STAND_IN_STAND_IN_H_
