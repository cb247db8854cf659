#include "deployment/child_process.h"

#include <csignal>
#include <fstream>
#include <iterator>
#include <sstream>

#include <linux/close_range.h>
#include <sys/prctl.h>
#include <unistd.h>

#include <boost/process/args.hpp>
#include <boost/process/child.hpp>
#include <boost/process/extend.hpp>
#include <boost/process/io.hpp>
#include <boost/process/pipe.hpp>

namespace kumquatcove {
namespace process = boost::process;

namespace {

// The process library doesn't truncate a file that exists.
void Empty(const std::string& file) {
  const std::ofstream emptied(file, std::ios::trunc);
}

// A process that outlives a crashed test would keep its ports and answer the
// next test in place of the processes under test. One that inherits sockets of
// this process would keep their connections open and their ports in use.
constexpr auto kIsolate = [](auto& /*executor*/) {
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  ::close_range(STDERR_FILENO + 1, ~0U, CLOSE_RANGE_CLOEXEC);
};

}  // namespace

class ChildProcess::Handle {
 public:
  Handle(const std::string& program,
         const std::vector<std::string>& arguments,
         const std::string& log_file)
      : child(program,
              process::args(arguments),
              process::std_out > log_file,
              process::std_err > log_file + ".err",
              process::std_in < process::null,
              process::extend::on_exec_setup = kIsolate) {}

  void Signal(int number) const { ::kill(child.id(), number); }

  process::child child;
};

ChildProcess::ChildProcess(const std::string& program,
                           const std::vector<std::string>& arguments,
                           const std::string& log_file) {
  Empty(log_file);
  Empty(log_file + ".err");
  try {
    m_handle = std::make_unique<Handle>(program, arguments, log_file);
  } catch (const process::process_error& error) {
    throw DeploymentError("can't start " + program + ": " + error.what());
  }
}

ChildProcess::~ChildProcess() {
  if (m_handle != nullptr && IsRunning()) {
    Kill();
  }
}

ChildProcess::ChildProcess(ChildProcess&& other) noexcept = default;

ChildProcess& ChildProcess::operator=(ChildProcess&& other) noexcept {
  if (this != &other) {
    if (m_handle != nullptr && IsRunning()) {
      Kill();
    }
    m_handle = std::move(other.m_handle);
  }
  return *this;
}

void ChildProcess::Kill() {
  std::error_code ignored;
  m_handle->child.terminate(ignored);
  m_handle->child.wait(ignored);
}

void ChildProcess::Freeze() {
  m_handle->Signal(SIGSTOP);
}

void ChildProcess::Thaw() {
  m_handle->Signal(SIGCONT);
}

void ChildProcess::Terminate() {
  m_handle->Signal(SIGTERM);
}

void ChildProcess::Reload() {
  m_handle->Signal(SIGHUP);
}

bool ChildProcess::WaitForEnd(Duration timeout) {
  std::error_code ignored;
  return m_handle->child.wait_for(timeout, ignored);
}

bool ChildProcess::IsRunning() {
  std::error_code ignored;
  return m_handle->child.running(ignored);
}

int ChildProcess::ExitCode() const {
  return m_handle->child.exit_code();
}

Duration ChildProcess::ProcessorTime() const {
  std::ifstream file("/proc/" + std::to_string(m_handle->child.id()) + "/stat");
  const std::string text{std::istreambuf_iterator<char>(file), {}};
  // The second field holds the program's name in brackets; user and system time
  // are the 12th and 13th after it.
  std::istringstream fields(text.substr(text.rfind(')') + 1));
  std::string skipped;
  for (int field = 0; field < 11; ++field) {
    fields >> skipped;
  }
  std::int64_t user = 0;
  std::int64_t system = 0;
  fields >> user >> system;
  return Duration((user + system) * 1'000'000 / ::sysconf(_SC_CLK_TCK));
}

std::int64_t ChildProcess::ResidentBytes() const {
  std::ifstream file("/proc/" + std::to_string(m_handle->child.id()) +
                     "/statm");
  std::int64_t total = 0;
  std::int64_t resident = 0;
  file >> total >> resident;
  return resident * ::sysconf(_SC_PAGESIZE);
}

std::string RunProgram(const std::string& program,
                       const std::vector<std::string>& arguments) {
  process::ipstream output;
  process::child child(program, process::args(arguments),
                       process::std_out > output,
                       process::std_in < process::null);
  std::string text{std::istreambuf_iterator<char>(output), {}};
  child.wait();
  if (child.exit_code() != 0) {
    throw DeploymentError(program + " ended with exit code " +
                          std::to_string(child.exit_code()) + ": " + text);
  }
  return text;
}

}  // namespace kumquatcove
