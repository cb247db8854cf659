#ifndef DISPATCH_DISPATCH_H_
#define DISPATCH_DISPATCH_H_

/**
 * Module `dispatch`: decisions of an entry instance on a deployment whose
 * platform keeps the routes and registers the upstreams.
 *
 * `DispatchReducer` composes the registry with `RequestDispatcher`, the life of
 * each request. Placing (`Placement`), queueing and refusing (`WaitingQueue`),
 * resending (`ResendBudget`) and rejecting what crashes upstreams
 * (`CrashSuspicions`) are classes of their own without network or clock. Limits
 * that hold for all instances together are divided among them, so that they
 * hold without messages.
 */
#include "dispatch/cold_start_pacer.h"
#include "dispatch/crash_suspicions.h"
#include "dispatch/dispatch_reducer.h"
#include "dispatch/idle_connections.h"
#include "dispatch/object_memory.h"
#include "dispatch/object_recall.h"
#include "dispatch/placement.h"
#include "dispatch/request_dispatcher.h"
#include "dispatch/resend_budget.h"
#include "dispatch/service_splitter.h"
#include "dispatch/service_times.h"
#include "dispatch/shared_load.h"
#include "dispatch/sliding_count.h"
#include "dispatch/upstream_table.h"
#include "dispatch/waiting_queue.h"
#include "dispatch/work_learner.h"
#include "dispatch/zone_distances.h"

#endif  // DISPATCH_DISPATCH_H_
