#ifndef RUNTIME_REQUEST_ID_GENERATOR_H_
#define RUNTIME_REQUEST_ID_GENERATOR_H_

#include <atomic>
#include <cstdint>

#include "base/name.h"
#include "protocol/ids.h"

namespace kumquatcove {

/** Generates request ids that, barring a hash collision, are not used by any
 * other instance or by an earlier incarnation of this one. Thread-safe. */
class RequestIdGenerator {
 public:
  /** `incarnation` is the start time of the process in wall-clock microseconds.
   */
  RequestIdGenerator(const InstanceId& instance, std::int64_t incarnation);

  RequestId Next();

 private:
  std::uint64_t m_base;
  std::atomic<std::uint64_t> m_count = 0;
};

}  // namespace kumquatcove

#endif  // RUNTIME_REQUEST_ID_GENERATOR_H_
