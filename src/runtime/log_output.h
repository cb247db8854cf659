#ifndef RUNTIME_LOG_OUTPUT_H_
#define RUNTIME_LOG_OUTPUT_H_

#include <atomic>
#include <cstdint>

#include <glog/logging.h>

namespace kumquatcove {

/**
 * Writes log lines to a file descriptor, whole and without ever waiting.
 *
 * A line that can't be written at once, since the reader of a pipe is slow or
 * stands still, is dropped and counted. Thread safety: all functions may be
 * called from any thread.
 */
class LogOutput : public google::LogSink {
 public:
  /** Longest line in bytes: what a pipe takes whole. */
  static constexpr std::size_t kMaxLineBytes = 4096;

  explicit LogOutput(int descriptor) : m_descriptor(descriptor) {}

  /** Takes this out of use, if it was installed. */
  ~LogOutput() override;
  LogOutput(const LogOutput&) = delete;
  LogOutput& operator=(const LogOutput&) = delete;

  /** Makes this the only output of the log; fatal errors go to standard error
   * too. Precondition: no other one is installed. */
  void Install();

  /** Returns the output that is installed, or null. */
  static LogOutput* Installed();

  /** Returns how many lines have been dropped since the last call. */
  std::uint64_t TakeDropped() { return m_dropped.exchange(0); }

  void send(google::LogSeverity severity,
            const char* full_file_name,
            const char* file_name,
            int line,
            const google::LogMessageTime& time,
            const char* message,
            std::size_t length) override;

 private:
  int m_descriptor;
  std::atomic<std::uint64_t> m_dropped = 0;
};

}  // namespace kumquatcove

#endif  // RUNTIME_LOG_OUTPUT_H_
