#ifndef DISPATCH_CLUSTER_CLUSTER_H_
#define DISPATCH_CLUSTER_CLUSTER_H_

/**
 * Module `dispatch/cluster`: tests of several entry instances of one deployment
 * at once, on virtual time, joined by fakes of the network, the store and the
 * upstreams.
 */
#include "dispatch/cluster/fake_dispatch_cluster.h"
#include "dispatch/cluster/fake_rated_upstream.h"

#endif  // DISPATCH_CLUSTER_CLUSTER_H_
