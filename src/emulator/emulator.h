#ifndef EMULATOR_EMULATOR_H_
#define EMULATOR_EMULATOR_H_

/**
 * Module `emulator`: the platform and the upstreams that the system needs
 * around it, with a switch for each fault that it must handle.
 *
 * `kumquatcove-platform` serves a transactional table (JSON form of the etcd v3
 * key-value API), objects and the list of instances from memory.
 * `kumquatcove-upstream` serves many upstreams, each with a model of slots,
 * queue and service times. Both listen on loopback and are for tests and
 * measurements only.
 */
#include "emulator/emulated_upstream.h"
#include "emulator/http_server.h"
#include "emulator/http_session.h"
#include "emulator/instance_list.h"
#include "emulator/json_merge.h"
#include "emulator/key_value_table.h"
#include "emulator/network_address.h"
#include "emulator/occupancy_meter.h"
#include "emulator/platform.h"
#include "emulator/platform_settings.h"
#include "emulator/program_usage.h"
#include "emulator/signal_stop.h"
#include "emulator/steady_clock.h"
#include "emulator/table_gateway.h"
#include "emulator/token_bucket.h"
#include "emulator/upstream_fleet.h"
#include "emulator/upstream_model.h"
#include "emulator/upstream_settings.h"

#endif  // EMULATOR_EMULATOR_H_
