#include "runtime/log_output.h"

#include <algorithm>
#include <cassert>
#include <string>

#include <poll.h>
#include <unistd.h>

namespace kumquatcove {
namespace {

std::atomic<LogOutput*> installed = nullptr;

}  // namespace

LogOutput::~LogOutput() {
  LogOutput* self = this;
  if (installed.compare_exchange_strong(self, nullptr)) {
    google::RemoveLogSink(this);
  }
}

void LogOutput::Install() {
  assert(installed == nullptr);
  installed = this;
  FLAGS_logtostderr = false;
  FLAGS_logtostdout = false;
  FLAGS_stderrthreshold = google::GLOG_FATAL;
  for (int severity = google::GLOG_INFO; severity < google::NUM_SEVERITIES;
       ++severity) {
    // An empty name disables the log file.
    google::SetLogDestination(severity, "");
  }
  google::AddLogSink(this);
}

LogOutput* LogOutput::Installed() {
  return installed;
}

void LogOutput::send(google::LogSeverity severity,
                     const char* /*full_file_name*/,
                     const char* file_name,
                     int line,
                     const google::LogMessageTime& time,
                     const char* message,
                     std::size_t length) {
  std::string text = ToString(severity, file_name, line, time, message, length);
  text.resize(std::min(text.size(), kMaxLineBytes - 1));
  text += '\n';
  // A pipe that is ready accepts this many bytes at once, so the write cannot
  // block. glog allows only one thread to write at a time.
  pollfd ready{m_descriptor, POLLOUT, 0};
  const bool written = ::poll(&ready, 1, 0) == 1 &&
                       (ready.revents & POLLOUT) != 0 &&
                       ::write(m_descriptor, text.data(), text.size()) ==
                           static_cast<ssize_t>(text.size());
  if (!written) {
    ++m_dropped;
  }
}

}  // namespace kumquatcove
