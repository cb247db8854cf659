#include "capacity/resource_meter.h"

#include <malloc.h>

#include <atomic>
#include <cstddef>
#include <cstdlib>
#include <ctime>
#include <new>

namespace kumquatcove {
namespace {

std::atomic<std::int64_t>& LiveBytes() {
  static std::atomic<std::int64_t> bytes{0};
  return bytes;
}

std::atomic<std::int64_t>& PeakBytes() {
  static std::atomic<std::int64_t> bytes{0};
  return bytes;
}

void* CountedAllocate(std::size_t size) {
  void* block = std::malloc(size == 0 ? 1 : size);
  if (block == nullptr) {
    throw std::bad_alloc();
  }
  const auto reserved = static_cast<std::int64_t>(malloc_usable_size(block));
  const std::int64_t live =
      LiveBytes().fetch_add(reserved, std::memory_order_relaxed) + reserved;
  std::int64_t peak = PeakBytes().load(std::memory_order_relaxed);
  while (live > peak && !PeakBytes().compare_exchange_weak(peak, live)) {
  }
  return block;
}

void CountedFree(void* block) {
  if (block != nullptr) {
    LiveBytes().fetch_sub(static_cast<std::int64_t>(malloc_usable_size(block)),
                          std::memory_order_relaxed);
    std::free(block);
  }
}

}  // namespace

double ProcessCpuSeconds() {
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) * 1e-9;
}

std::int64_t LiveHeapBytes() {
  return LiveBytes().load(std::memory_order_relaxed);
}

void ResetPeakHeapBytes() {
  PeakBytes().store(LiveHeapBytes());
}

std::int64_t PeakHeapBytes() {
  return PeakBytes().load();
}

double CpuSecondsPerCall(const std::function<void()>& work,
                         double least_seconds) {
  std::int64_t calls = 0;
  std::int64_t batch = 1;
  const double started = ProcessCpuSeconds();
  double used = 0;
  while (used < least_seconds) {
    for (std::int64_t call = 0; call < batch; ++call) {
      work();
    }
    calls += batch;
    batch = calls;
    used = ProcessCpuSeconds() - started;
  }
  return used / static_cast<double>(calls);
}

}  // namespace kumquatcove

// The memory figures count every allocation of the program. Aligned forms keep
// the library's default.
void* operator new(std::size_t size) {
  return kumquatcove::CountedAllocate(size);
}
void* operator new[](std::size_t size) {
  return kumquatcove::CountedAllocate(size);
}
void operator delete(void* block) noexcept {
  kumquatcove::CountedFree(block);
}
void operator delete[](void* block) noexcept {
  kumquatcove::CountedFree(block);
}
void operator delete(void* block, std::size_t) noexcept {
  kumquatcove::CountedFree(block);
}
void operator delete[](void* block, std::size_t) noexcept {
  kumquatcove::CountedFree(block);
}
