#include "tools/timeline_page.h"

#include <algorithm>
#include <cstdint>
#include <iomanip>
#include <map>
#include <sstream>
#include <string_view>

namespace kumquatcove {
namespace {

constexpr int kLaneHeight = 56;
constexpr int kLeft = 130;
constexpr int kWidth = 900;
constexpr int kTop = 30;

std::string Escape(std::string_view text) {
  std::string escaped;
  for (const char character : text) {
    switch (character) {
      case '&':
        escaped += "&amp;";
        break;
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        escaped += character;
    }
  }
  return escaped;
}

std::string Fields(const TimelineEvent& event) {
  std::string text;
  for (const TimelineField& field : event.fields) {
    text += ' ' + field.key + '=' + field.value;
  }
  return text;
}

std::int64_t Start(const std::vector<TimelineEvent>& events) {
  return events.empty() ? 0 : events.front().time.wall_microseconds;
}

std::string Relative(const TimelineEvent& event, std::int64_t start) {
  std::ostringstream out;
  out << std::fixed << std::setprecision(3)
      << static_cast<double>(event.time.wall_microseconds - start) / 1000.0;
  return out.str();
}

std::map<InstanceId, int> Lanes(const std::vector<TimelineEvent>& events) {
  std::map<InstanceId, int> lanes;
  for (const TimelineEvent& event : events) {
    lanes.emplace(event.instance, 0);
  }
  int lane = 0;
  for (auto& [instance, position] : lanes) {
    position = lane++;
  }
  return lanes;
}

void DrawEvent(std::ostream& out,
               const TimelineEvent& event,
               std::int64_t start,
               double x,
               int y) {
  out << "<circle cx=\"" << x << "\" cy=\"" << y << "\" r=\"5\"><title>"
      << Escape(Relative(event, start) + " ms " + event.event + Fields(event))
      << "</title></circle>\n";
}

void DrawTimeline(std::ostream& out, const std::vector<TimelineEvent>& events) {
  const auto lanes = Lanes(events);
  const std::int64_t start = Start(events);
  const std::int64_t length = std::max<std::int64_t>(
      1, events.empty() ? 1 : events.back().time.wall_microseconds - start);
  const int height = kTop + kLaneHeight * static_cast<int>(lanes.size());
  out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\""
      << kLeft + kWidth + 40 << "\" height=\"" << height << "\">\n";
  for (const auto& [instance, lane] : lanes) {
    const int y = kTop + lane * kLaneHeight;
    out << "<text x=\"4\" y=\"" << y + 4 << "\">" << Escape(instance.Text())
        << "</text><line x1=\"" << kLeft << "\" y1=\"" << y << "\" x2=\""
        << kLeft + kWidth << "\" y2=\"" << y << "\"/>\n";
  }
  for (const TimelineEvent& event : events) {
    const double share =
        static_cast<double>(event.time.wall_microseconds - start) /
        static_cast<double>(length);
    DrawEvent(out, event, start, kLeft + share * kWidth,
              kTop + lanes.at(event.instance) * kLaneHeight);
  }
  out << "</svg>\n";
}

}  // namespace

std::vector<TimelineEvent> MergeTimelines(std::vector<TimelineEvent> events) {
  std::stable_sort(events.begin(), events.end(),
                   [](const TimelineEvent& a, const TimelineEvent& b) {
                     return a.time != b.time ? a.time < b.time
                                             : a.instance < b.instance;
                   });
  events.erase(std::unique(events.begin(), events.end()), events.end());
  return events;
}

std::string TimelineText(const std::vector<TimelineEvent>& events) {
  std::ostringstream out;
  for (const TimelineEvent& event : events) {
    out << std::setw(12) << Relative(event, Start(events)) << " ms  "
        << std::left << std::setw(12) << event.instance.Text() << ' '
        << event.event << " subject=" << event.subject << Fields(event)
        << std::right << '\n';
  }
  return out.str();
}

std::string TimelineHtml(const std::string& subject,
                         const std::vector<TimelineEvent>& events) {
  std::ostringstream out;
  out << "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
      << "<title>Timeline of " << Escape(subject) << "</title>\n<style>"
      << "body{font-family:sans-serif}line{stroke:#999}circle{fill:#06c}"
      << "td{padding:2px 8px;font-family:monospace}</style></head><body>\n"
      << "<h1>Timeline of " << Escape(subject) << "</h1>\n";
  DrawTimeline(out, events);
  out << "<table><tr><th>ms</th><th>instance</th><th>event</th>"
      << "<th>subject</th><th>fields</th></tr>\n";
  for (const TimelineEvent& event : events) {
    out << "<tr><td>" << Relative(event, Start(events)) << "</td><td>"
        << Escape(event.instance.Text()) << "</td><td>" << Escape(event.event)
        << "</td><td>" << Escape(event.subject) << "</td><td>"
        << Escape(Fields(event)) << "</td></tr>\n";
  }
  out << "</table></body></html>\n";
  return out.str();
}

}  // namespace kumquatcove
