#ifndef ROUTING_ROUTING_H_
#define ROUTING_ROUTING_H_

/**
 * Module `routing`: which upstream runs a request, and over which connection.
 *
 * SlotHome holds the queue and the exact occupancy of a service in one region;
 * SlotClient requests slots from it and chooses locally while no home answers.
 * UpstreamHealth tracks the state of upstreams, ConnectionPool owns the
 * connections to them.
 */
#include "routing/connection_pool.h"
#include "routing/routing_settings.h"
#include "routing/slot_client.h"
#include "routing/slot_home.h"
#include "routing/upstream_health.h"

#endif  // ROUTING_ROUTING_H_
