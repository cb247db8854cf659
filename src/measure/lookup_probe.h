#ifndef MEASURE_LOOKUP_PROBE_H_
#define MEASURE_LOOKUP_PROBE_H_

#include <cstdint>
#include <string>

namespace kumquatcove::measure {

/** What a look-up probe does. */
struct LookupProbeSettings {
  /** Address of the entry instance for callers. */
  std::string address;
  std::string service;
  std::string client;
  /** Callers that send the next look-up when the last one is answered. */
  std::int32_t callers = 16;
  double duration_s = 3;
};

/** Look-ups of a probe. */
struct LookupProbeResult {
  std::uint64_t answered = 0;
  std::uint64_t failed = 0;
};

/** Sends look-ups without a pause between them and counts the answers. Blocks
 * for the duration. Thread safety: full. */
LookupProbeResult RunLookupProbe(const LookupProbeSettings& settings);

}  // namespace kumquatcove::measure

#endif  // MEASURE_LOOKUP_PROBE_H_
