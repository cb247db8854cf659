#ifndef RUNTIME_SYSTEM_CLOCK_H_
#define RUNTIME_SYSTEM_CLOCK_H_

#include "base/clock_reading.h"

namespace kumquatcove {

/** Reads the monotonic and the wall clock of this machine. Thread-safe. */
ClockReading ReadSystemClock();

}  // namespace kumquatcove

#endif  // RUNTIME_SYSTEM_CLOCK_H_
