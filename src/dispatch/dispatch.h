#ifndef DISPATCH_DISPATCH_H_
#define DISPATCH_DISPATCH_H_

/**
 * Module `dispatch`: decisions of an entry instance on a deployment whose
 * platform keeps the routes and registers the upstreams.
 *
 * `DispatchReducer` composes the registry with `RequestDispatcher`, which
 * handles each request from arrival to answer. Placement (`Placement`),
 * queueing (`WaitingQueue`), resending (`ResendBudget`) and the rejection of
 * requests that crash upstreams (`CrashSuspicions`) are separate classes
 * without network or clock. Limits that apply to all instances together are
 * divided among them, so that no messages are needed to enforce them.
 */
#include "dispatch/answer_learner.h"
#include "dispatch/crash_checks.h"
#include "dispatch/crash_monitor.h"
#include "dispatch/crash_suspicions.h"
#include "dispatch/dispatch_reducer.h"
#include "dispatch/hit_probability_estimator.h"
#include "dispatch/idle_connections.h"
#include "dispatch/pending_requests.h"
#include "dispatch/permit_issuer.h"
#include "dispatch/placement.h"
#include "dispatch/recent_objects.h"
#include "dispatch/request_dispatcher.h"
#include "dispatch/resend_budget.h"
#include "dispatch/send_permits.h"
#include "dispatch/service_splitter.h"
#include "dispatch/service_time_learner.h"
#include "dispatch/service_times.h"
#include "dispatch/shared_load.h"
#include "dispatch/sliding_count.h"
#include "dispatch/stated_rate_limit.h"
#include "dispatch/time_slot_pacer.h"
#include "dispatch/upstream_connections.h"
#include "dispatch/upstream_rate_limiter.h"
#include "dispatch/upstream_table.h"
#include "dispatch/waiting_queue.h"
#include "dispatch/zone_distances.h"

#endif  // DISPATCH_DISPATCH_H_
