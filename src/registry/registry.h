#ifndef REGISTRY_REGISTRY_H_
#define REGISTRY_REGISTRY_H_

/**
 * Module `registry`: the description of a deployment in the platform's store.
 *
 * On a deployment of this kind the platform stores the routes, upstreams
 * register themselves, and entry instances discover each other through the
 * store. `RegistrySync` follows those tables and converts their rows, decoded
 * by a `RegistryCodec`, into changes. `EntryPresence` tracks which entry
 * instances are alive.
 */
#include "registry/entry_presence.h"
#include "registry/registry_codec.h"
#include "registry/registry_record.h"
#include "registry/registry_sync.h"
#include "registry/route_table.h"
#include "registry/table_follower.h"

#endif  // REGISTRY_REGISTRY_H_
