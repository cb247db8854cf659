#ifndef DEPLOYMENT_CHILD_PROCESS_H_
#define DEPLOYMENT_CHILD_PROCESS_H_

#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "base/clock_reading.h"

namespace kumquatcove {

/** A process could not be started or a deployment didn't become ready. */
class DeploymentError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/**
 * A process started by a test or measurement; killed when this object goes.
 *
 * Thread safety: none.
 */
class ChildProcess {
 public:
  /** Starts `program` with its standard output and error written to `log_file`.
   * Throws DeploymentError. */
  ChildProcess(const std::string& program,
               const std::vector<std::string>& arguments,
               const std::string& log_file);
  ~ChildProcess();
  ChildProcess(ChildProcess&& other) noexcept;
  ChildProcess& operator=(ChildProcess&& other) noexcept;
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  /** Ends the process without warning (SIGKILL) and waits for its end. */
  void Kill();
  /** Stops the process in its tracks (SIGSTOP); Thaw continues it. */
  void Freeze();
  void Thaw();
  /** Asks the process to end (SIGTERM). */
  void Terminate();
  /** Tells the process that its settings have changed (SIGHUP). */
  void Reload();
  /** Waits for the end and returns whether it came within `timeout`. */
  bool WaitForEnd(Duration timeout);
  bool IsRunning();
  /** Returns the exit code. Precondition: the process has ended. */
  int ExitCode() const;

  /** Returns the processor time that the process has used so far. */
  Duration ProcessorTime() const;
  /** Returns the resident memory in bytes. */
  std::int64_t ResidentBytes() const;

 private:
  class Handle;
  std::unique_ptr<Handle> m_handle;
};

/** Runs a program to its end and returns its standard output. Throws
 * DeploymentError if it fails, with exit code. */
std::string RunProgram(const std::string& program,
                       const std::vector<std::string>& arguments);

}  // namespace kumquatcove

#endif  // DEPLOYMENT_CHILD_PROCESS_H_
