#ifndef RUNTIME_MESSAGE_GUARD_H_
#define RUNTIME_MESSAGE_GUARD_H_

#include <cstdint>
#include <exception>
#include <string>
#include <string_view>
#include <utility>

namespace kumquatcove {

/** Logs and counts an exception thrown while one message was handled. `id` is
 * the id of the request that the message belongs to, called `id_key` in the
 * log; empty if it isn't known. Thread-safe. */
void ReportMessageFailure(std::string_view id_key,
                          std::string_view id,
                          std::string_view error);

/** Returns the number of reported exceptions since the last call. Thread-safe.
 */
std::uint64_t TakeMessageFailures();

/**
 * Runs `work`, which handles one message, and calls `failed` with the text of
 * an exception that leaves it.
 *
 * A message must not end the process, and all other requests with it.
 * Precondition: `failed` doesn't throw. Thread safety: that of `work` and
 * `failed`.
 */
template <class Work, class Failed>
void RunGuarded(Work&& work, Failed&& failed) noexcept {
  std::string error;
  try {
    std::forward<Work>(work)();
    return;
  } catch (const std::exception& exception) {
    error = exception.what();
  } catch (...) {
    error = "unknown exception";
  }
  std::forward<Failed>(failed)(error);
}

}  // namespace kumquatcove

#endif  // RUNTIME_MESSAGE_GUARD_H_
