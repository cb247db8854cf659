#ifndef MEASURE_PROCESS_START_H_
#define MEASURE_PROCESS_START_H_

#include <mutex>

namespace kumquatcove::measure {

/** Returns the mutex that is held while processes are started. A process
 * started by another thread meanwhile would inherit the pipe of a program whose
 * output is being read, and keep it open. */
std::mutex& ProcessStartMutex();

}  // namespace kumquatcove::measure

#endif  // MEASURE_PROCESS_START_H_
