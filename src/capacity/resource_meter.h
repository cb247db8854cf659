#ifndef CAPACITY_RESOURCE_METER_H_
#define CAPACITY_RESOURCE_METER_H_

#include <cstdint>
#include <functional>

namespace kumquatcove {

/** Returns the CPU time that this process has used, in seconds. */
double ProcessCpuSeconds();

/**
 * Returns the bytes allocated and not yet freed by this process.
 *
 * Counted by the replacement of operator new in resource_meter.cc, as the sizes
 * that the allocator reserves. Thread safety: any thread.
 */
std::int64_t LiveHeapBytes();

/** Sets the peak to the present LiveHeapBytes. Thread safety: any thread. */
void ResetPeakHeapBytes();

/** Returns the greatest LiveHeapBytes since the last ResetPeakHeapBytes. */
std::int64_t PeakHeapBytes();

/** Adds up the CPU time of the sections between Start and Stop. Thread safety:
 * none. */
class CpuStopwatch {
 public:
  void Start() { m_started = ProcessCpuSeconds(); }
  void Stop() { m_total += ProcessCpuSeconds() - m_started; }
  double Seconds() const { return m_total; }

 private:
  double m_started = 0;
  double m_total = 0;
};

/** Returns the CPU seconds of one call of `work`, which is repeated until at
 * least `least_seconds` were used. */
double CpuSecondsPerCall(const std::function<void()>& work,
                         double least_seconds = 0.05);

}  // namespace kumquatcove

#endif  // CAPACITY_RESOURCE_METER_H_
