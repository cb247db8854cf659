#include "runtime/log_line.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <mutex>
#include <system_error>
#include <utility>
#include <vector>

#include <glog/logging.h>

#include "runtime/log_output.h"
#include "runtime/log_volume.h"
#include "runtime/system_clock.h"

namespace kumquatcove {

namespace {

constexpr std::size_t kMaxValueBytes = 1024;

bool IsPlain(char c) {
  return c > ' ' && c < '\x7f' && c != '"' && c != '\\' && c != '=';
}

void AppendEscaped(std::string& out, std::string_view value) {
  static constexpr std::string_view kDigits = "0123456789abcdef";
  for (const char c : value) {
    if (c == '"' || c == '\\') {
      out += '\\';
      out += c;
    } else if (c >= ' ' && c < '\x7f') {
      out += c;
    } else {
      const auto byte = static_cast<unsigned char>(c);
      out += "\\x";
      out += kDigits[byte >> 4U];
      out += kDigits[byte & 0xfU];
    }
  }
}

void AppendValue(std::string& out, std::string_view value) {
  value = value.substr(0, kMaxValueBytes);
  if (!value.empty() && std::all_of(value.begin(), value.end(), IsPlain)) {
    out += value;
    return;
  }
  out += '"';
  AppendEscaped(out, value);
  out += '"';
}

void AppendKey(std::string& out, std::string_view key) {
  for (const char c : key) {
    out += IsPlain(c) ? c : '_';
  }
}

constexpr std::string_view kEventKey = "event=";

/** Parses the key=value pairs of a line built by LogLine. */
class PairReader {
 public:
  explicit PairReader(std::string_view text) : m_text(text) {}

  /** Returns the next pair, or `std::nullopt` at the end of the line or if the
   * rest is truncated. */
  std::optional<TimelineField> Next() {
    while (!m_text.empty() && m_text.front() == ' ') {
      m_text.remove_prefix(1);
    }
    const std::size_t equals = m_text.find('=');
    if (equals == std::string_view::npos) {
      return std::nullopt;
    }
    TimelineField field;
    field.key = std::string(m_text.substr(0, equals));
    m_text.remove_prefix(equals + 1);
    if (!m_text.empty() && m_text.front() == '"') {
      m_text.remove_prefix(1);
      ReadQuoted(field.value);
    } else {
      const std::size_t end =
          std::min(m_text.find_first_of(" \n"), m_text.size());
      field.value = std::string(m_text.substr(0, end));
      m_text.remove_prefix(end);
    }
    return field;
  }

 private:
  void ReadQuoted(std::string& value) {
    while (!m_text.empty() && m_text.front() != '"') {
      char c = m_text.front();
      m_text.remove_prefix(1);
      if (c == '\\' && !m_text.empty()) {
        c = m_text.front();
        m_text.remove_prefix(1);
        if (c == 'x' && m_text.size() >= 2) {
          int byte = 0;
          std::from_chars(m_text.data(), m_text.data() + 2, byte, 16);
          c = static_cast<char>(byte);
          m_text.remove_prefix(2);
        }
      }
      value += c;
    }
    if (!m_text.empty()) {
      m_text.remove_prefix(1);
    }
  }

  std::string_view m_text;
};

/** Parses `MICROSECONDS.COUNTER`. Parts that cannot be parsed are 0. */
HybridTimestamp ParseHybridTime(const std::string& text) {
  HybridTimestamp time;
  const char* end = text.data() + text.size();
  const auto [rest, error] =
      std::from_chars(text.data(), end, time.wall_microseconds);
  if (error == std::errc() && rest != end) {
    std::from_chars(rest + 1, end, time.counter);
  }
  return time;
}

/** The log volume limits of the whole process. */
struct SharedVolume {
  std::mutex mutex;
  LogVolume volume;

  static SharedVolume& Get() {
    static SharedVolume shared;
    return shared;
  }
};

bool IsAdmitted(std::string_view event) {
  SharedVolume& shared = SharedVolume::Get();
  const std::lock_guard lock(shared.mutex);
  return shared.volume.Admit(event, ReadSystemClock().monotonic);
}

}  // namespace

LogLine::LogLine(std::string_view event) : m_event(event) {
  m_text = "event=";
  AppendValue(m_text, event);
}

LogLine& LogLine::Add(std::string_view key, std::string_view value) {
  m_text += ' ';
  AppendKey(m_text, key);
  m_text += '=';
  AppendValue(m_text, value);
  return *this;
}

LogLine& LogLine::Add(std::string_view key, std::int64_t value) {
  return Add(key, std::to_string(value));
}

std::string FormatTimelineEvent(const TimelineEvent& event) {
  LogLine line(event.event);
  line.Add("subject", event.subject)
      .Add("instance", event.instance.Text())
      .Add("hybrid_time", std::to_string(event.time.wall_microseconds) + "." +
                              std::to_string(event.time.counter));
  for (const TimelineField& field : event.fields) {
    line.Add(field.key, field.value);
  }
  return line.Text();
}

std::optional<TimelineEvent> ParseTimelineEvent(std::string_view line) {
  const std::size_t begin = line.find(kEventKey);
  if (begin == std::string_view::npos) {
    return std::nullopt;
  }
  TimelineEvent event;
  PairReader reader(line.substr(begin));
  while (std::optional<TimelineField> field = reader.Next()) {
    if (field->key == "event") {
      event.event = std::move(field->value);
    } else if (field->key == "subject") {
      event.subject = std::move(field->value);
    } else if (field->key == "instance" && event.instance.IsEmpty()) {
      event.instance = InstanceId(field->value);
    } else if (field->key == "hybrid_time") {
      event.time = ParseHybridTime(field->value);
    } else {
      event.fields.push_back(std::move(*field));
    }
  }
  return event;
}

void LogInfo(const LogLine& line) {
  if (IsAdmitted(line.Event())) {
    LOG(INFO) << line.Text();
  }
}

void LogWarning(const LogLine& line) {
  if (IsAdmitted(line.Event())) {
    LOG(WARNING) << line.Text();
  }
}

void LogError(const LogLine& line) {
  if (IsAdmitted(line.Event())) {
    LOG(ERROR) << line.Text();
  }
}

void LogEvent(const TimelineEvent& event) {
  if (IsAdmitted(event.event)) {
    LOG(INFO) << FormatTimelineEvent(event);
  }
}

std::uint64_t LogOmittedLines() {
  std::vector<OmittedLines> omitted;
  {
    SharedVolume& shared = SharedVolume::Get();
    const std::lock_guard lock(shared.mutex);
    omitted = shared.volume.TakeOmitted();
  }
  if (LogOutput* output = LogOutput::Installed()) {
    if (const std::uint64_t dropped = output->TakeDropped()) {
      omitted.push_back({"any", dropped});
    }
  }
  std::uint64_t total = 0;
  for (const OmittedLines& lines : omitted) {
    total += lines.count;
    LOG(WARNING) << LogLine("lines_omitted")
                        .Add("of", lines.event)
                        .Add("count", std::to_string(lines.count))
                        .Text();
  }
  return total;
}

}  // namespace kumquatcove
