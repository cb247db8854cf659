#ifndef RUNTIME_LOG_OUTPUT_H_
#define RUNTIME_LOG_OUTPUT_H_

#include <atomic>
#include <cstdint>

#include <glog/logging.h>

namespace kumquatcove {

/**
 * Writes complete log lines to a file descriptor without blocking.
 *
 * A line that cannot be written immediately, because the reader of a pipe is
 * slow or stalled, is dropped and counted. Thread safety: all functions may be
 * called from any thread.
 */
class LogOutput : public google::LogSink {
 public:
  /** Maximum line length in bytes; a pipe accepts a write of this size
   * atomically. */
  static constexpr std::size_t kMaxLineBytes = 4096;

  explicit LogOutput(int descriptor) : m_descriptor(descriptor) {}

  /** Uninstalls this output if it is installed. */
  ~LogOutput() override;
  LogOutput(const LogOutput&) = delete;
  LogOutput& operator=(const LogOutput&) = delete;

  /** Makes this the only output of the log; fatal errors are also written to
   * standard error. Precondition: no other output is installed. */
  void Install();

  /** Returns the installed output, or nullptr. */
  static LogOutput* Installed();

  /** Returns the number of lines dropped since the last call and resets it. */
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
