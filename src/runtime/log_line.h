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
 * quoted and escaped, so that values cannot inject further pairs or lines.
 * Thread safety: none.
 */
class LogLine {
 public:
  explicit LogLine(std::string_view event);

  /** Appends a pair; values longer than 1,024 bytes are truncated. */
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

/** Parses the timeline event of a log line, with or without the log prefix.
 * Returns `std::nullopt` if the line contains no event. */
std::optional<TimelineEvent> ParseTimelineEvent(std::string_view line);

/** Writes the line to the log with severity info, warning or error, unless
 * LogVolume suppresses it. Thread-safe. */
void LogInfo(const LogLine& line);
void LogWarning(const LogLine& line);
void LogError(const LogLine& line);
/** Logs a timeline event with severity info, unless LogVolume suppresses it.
 * The event is formatted only if it is written. */
void LogEvent(const TimelineEvent& event);

/** Logs how many lines were omitted since the last call, and returns their
 * number. Thread-safe. */
std::uint64_t LogOmittedLines();

}  // namespace kumquatcove

#endif  // RUNTIME_LOG_LINE_H_
