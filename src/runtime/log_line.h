#ifndef RUNTIME_LOG_LINE_H_
#define RUNTIME_LOG_LINE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "protocol/timeline_event.h"

namespace kumquatcove {

/**
 * Builds one log line of key=value pairs.
 *
 * Values with spaces, quotes, control characters or bytes outside ASCII are
 * quoted and escaped, so that no content can forge a line. Thread safety: none.
 */
class LogLine {
 public:
  explicit LogLine(std::string_view event);

  /** Appends a pair; values longer than 1,024 bytes are cut. */
  LogLine& Add(std::string_view key, std::string_view value);
  LogLine& Add(std::string_view key, std::int64_t value);

  const std::string& Text() const { return m_text; }
  const std::string& Event() const { return m_event; }

 private:
  std::string m_event;
  std::string m_text;
};

/** Returns the log line of a timeline event. */
std::string FormatTimelineEvent(const TimelineEvent& event);

/** Returns the event of a log line, with or without what the log puts before
 * it; nothing if the line has none. */
std::optional<TimelineEvent> ParseTimelineEvent(std::string_view line);

/** Writes the line to the log as information, a warning or an error, as far as
 * LogVolume allows. Safe from any thread. */
void LogInfo(const LogLine& line);
void LogWarning(const LogLine& line);
void LogError(const LogLine& line);
/** The same for a timeline event, which is formatted only if it is written. */
void LogEvent(const TimelineEvent& event);

/** Writes what has been left out since the last call, and returns the number of
 * lines. Safe from any thread. */
std::uint64_t LogOmittedLines();

}  // namespace kumquatcove

#endif  // RUNTIME_LOG_LINE_H_
