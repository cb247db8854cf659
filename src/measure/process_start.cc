#include "measure/process_start.h"

namespace kumquatcove::measure {

std::mutex& ProcessStartMutex() {
  static std::mutex mutex;
  return mutex;
}

}  // namespace kumquatcove::measure
