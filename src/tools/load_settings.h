#ifndef TOOLS_LOAD_SETTINGS_H_
#define TOOLS_LOAD_SETTINGS_H_

#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

#include "base/clock_reading.h"
#include "catalogue/entry.h"

namespace kumquatcove {

/** The load tool was called with settings that make no sense. */
class LoadSettingsError : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

/** Requests to one service. */
struct ServiceLoad {
  /** Name of the service in `scheme`. */
  std::string service;
  NamingScheme scheme = NamingScheme::kPath;
  double requests_per_second = 0;
  /** Share of requests that are long work. */
  double long_share = 0;
  /** Whether each request gets an idempotency key. */
  bool with_key = false;
};

/** What the load tool does. */
struct LoadSettings {
  /** Addresses of entry instances for look-ups. */
  std::vector<std::string> lookup;
  /** If not empty, requests go to these addresses without look-ups. */
  std::vector<std::string> direct;
  std::vector<ServiceLoad> services;
  /** IPv4 numbers of callers; further callers get neighbouring numbers. */
  std::vector<std::string> clients;
  /** Callers that look up entry instances each by themselves. */
  std::int32_t callers = 32;
  Duration duration = Seconds(10);
  /** Requests that arrive in this first part aren't reported. */
  Duration warm_up{0};
  /** Requests that may be unanswered at one time; those beyond are not sent and
   * reported as such. */
  std::int32_t max_outstanding = 10'000;
  /** Delay between callers and entry instances, in each direction. */
  Duration caller_delay{0};
  Duration deadline = Milliseconds(1000);
  /** Entry instances that are tried for one request. */
  std::int32_t max_attempts = 3;
  /** Whether a request whose outcome is unknown is sent again, with the same
   * key if it has one. */
  bool resend = false;
  /** Size of the padding asked for in answers. */
  std::int32_t answer_bytes = 0;
  std::uint64_t seed = 1;
};

/**
 * Reads a mix of services, separated by commas: a name, then options separated
 * by colons.
 *
 * Options: `rate=REQUESTS_PER_SECOND` (required), `long=SHARE`,
 * `scheme=host|path|code`, `key`. Example:
 * `vitrina:rate=500:long=0.05,despacho:rate=50:key`. Throws LoadSettingsError.
 */
std::vector<ServiceLoad> ParseMix(const std::string& text);

/** Returns the IPv4 numbers of all callers: those given, then their
 * neighbours. Throws LoadSettingsError. */
std::vector<std::string> CallerAddresses(const LoadSettings& settings);

}  // namespace kumquatcove

#endif  // TOOLS_LOAD_SETTINGS_H_
