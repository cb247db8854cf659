#ifndef EMULATOR_UPSTREAM_SETTINGS_H_
#define EMULATOR_UPSTREAM_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <boost/describe/class.hpp>
#include <boost/json/value.hpp>

#include "base/name.h"

namespace kumquatcove::emulator {

/** Model of one emulated upstream. */
struct UpstreamSettings {
  UpstreamId id;
  ServiceName service;
  /** IP number and port. */
  std::string address;
  std::int32_t slots = 1;
  /** Requests that may wait for a slot; further ones are shed. */
  std::int32_t queue_length = 64;
  /** Mean of the exponential service time. */
  double mean_service_ms = 20;
  /** Share of requests whose service time is multiplied by `straggler_factor`.
   */
  double straggler_share = 0.005;
  double straggler_factor = 10;
  /** Factor on the service time of long work. */
  double long_factor = 20;
  double connection_cost_ms = 1;
  /** Time that a probe takes, and that the next request is slower for it. */
  double probe_cost_ms = 0;
  /** How long after a start requests are slower by `cold_factor`. */
  double cold_s = 0;
  double cold_factor = 3;
  /** Age of the load that `GET /load` reports. */
  double report_lag_ms = 500;
  /** How long connections are refused after a crash. */
  std::int64_t crash_down_ms = 2000;
  /** Whether a request that runs is ended when its connection is closed; one
   * that waits always is. */
  bool cancel_running = true;
};
BOOST_DESCRIBE_STRUCT(UpstreamSettings,
                      (),
                      (id,
                       service,
                       address,
                       slots,
                       queue_length,
                       mean_service_ms,
                       straggler_share,
                       straggler_factor,
                       long_factor,
                       connection_cost_ms,
                       probe_cost_ms,
                       cold_s,
                       cold_factor,
                       report_lag_ms,
                       crash_down_ms,
                       cancel_running))

/** Faults that stay until they are switched off. */
struct UpstreamFaults {
  /** Factor on all service times. */
  double slow_factor = 1;
  bool drain = false;
  /** Connections are reset and refused. */
  bool down = false;
  /** Every request is shed. */
  bool shed = false;
};
BOOST_DESCRIBE_STRUCT(UpstreamFaults, (), (slow_factor, drain, down, shed))

/** Which upstreams of a catalogue a process serves; empty names mean all. */
struct UpstreamSelection {
  std::string service;
  std::string region;
};

/**
 * Returns the upstreams that a catalogue document declares, with slots from its
 * limits.
 *
 * `models` has the model settings of each service by its name, over those of
 * `default`. Throws JsonCodecError.
 */
std::vector<UpstreamSettings> UpstreamsFromCatalogue(
    const boost::json::value& catalogue,
    const boost::json::value& models,
    const UpstreamSelection& selection);

/** Returns the upstreams of a list of settings, in which members may be left
 * out. Throws JsonCodecError. */
std::vector<UpstreamSettings> UpstreamsFromList(const boost::json::value& list);

}  // namespace kumquatcove::emulator

#endif  // EMULATOR_UPSTREAM_SETTINGS_H_
