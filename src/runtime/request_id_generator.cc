#include "runtime/request_id_generator.h"

#include <string>

#include "base/hash.h"
#include "base/random.h"

namespace kumquatcove {

RequestIdGenerator::RequestIdGenerator(const InstanceId& instance,
                                       std::int64_t incarnation)
    : m_base(StableHash({instance.Text(), std::to_string(incarnation)})) {}

RequestId RequestIdGenerator::Next() {
  // The generator maps distinct seeds to distinct numbers.
  return RequestId{Random(m_base + m_count.fetch_add(1)).Next()};
}

}  // namespace kumquatcove
