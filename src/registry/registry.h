#ifndef REGISTRY_REGISTRY_H_
#define REGISTRY_REGISTRY_H_

/**
 * Module `registry`: what the platform's store says of a deployment.
 *
 * On a deployment of this kind the platform keeps the routes, upstreams
 * register themselves, and entry instances find each other in the store.
 * `RegistrySync` follows those tables and turns their rows, read by a
 * `RegistryCodec`, into changes; `EntryPresence` knows which entry instances
 * are alive.
 */
#include "registry/entry_presence.h"
#include "registry/registry_codec.h"
#include "registry/registry_record.h"
#include "registry/registry_sync.h"
#include "registry/route_table.h"
#include "registry/table_follower.h"

#endif  // REGISTRY_REGISTRY_H_
