#include "runtime/message_guard.h"

#include <atomic>

#include "runtime/log_line.h"

namespace kumquatcove {

namespace {

std::atomic<std::uint64_t> g_failures = 0;

}  // namespace

void ReportMessageFailure(std::string_view id_key,
                          std::string_view id,
                          std::string_view error) {
  ++g_failures;
  LogError(LogLine("message_failed").Add(id_key, id).Add("error", error));
}

std::uint64_t TakeMessageFailures() {
  return g_failures.exchange(0);
}

}  // namespace kumquatcove
