#include "tools/log_timeline.h"

#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "runtime/log_line.h"
#include "tools/operator_tool.h"

namespace kumquatcove {
namespace {

TimelineEvent Event(std::int64_t milliseconds,
                    const std::string& instance,
                    const std::string& name,
                    const std::string& subject,
                    std::vector<TimelineField> fields = {}) {
  return {{1'000'000 + milliseconds * 1000, 0},
          InstanceId(instance),
          name,
          subject,
          std::move(fields)};
}

/** A request of e1 that fails since its upstream has crashed, among others. */
std::vector<TimelineEvent> MakeEvents() {
  return {
      Event(0, "e1", "store_lost", "operator/"),
      Event(5'000, "e1", "configuration_in_force", "7"),
      Event(5'100, "e2", "pause_detected", "e2"),
      Event(6'000, "e1", "connection_broken", "r1",
            {{"upstream", "u1"}, {"attempt", "a1"}}),
      Event(6'050, "e2", "crash_suspected", "u1", {{"breaks", "1"}}),
      Event(6'060, "e1", "upstream_gone", "u2"),
      Event(6'100, "e1", "request_answered", "r2", {{"upstream", "u1"}}),
      Event(6'200, "e1", "request_refused", "r1", {{"attempt", "a1"}}),
      Event(9'000, "e1", "store_regained", "operator/"),
  };
}

std::vector<std::string> NamesOf(const std::vector<TimelineEvent>& events) {
  std::vector<std::string> names;
  names.reserve(events.size());
  for (const TimelineEvent& event : events) {
    names.push_back(event.event);
  }
  return names;
}

}  // namespace

TEST_CASE(
    "A request is shown with what happened to its upstream and instance") {
  const std::vector<std::string> expected = {
      "configuration_in_force", "connection_broken", "crash_suspected",
      "request_refused"};
  // The caller knows the id of its send, an instance that of the request.
  CHECK(NamesOf(SelectCauses(MakeEvents(), "r1")) == expected);
  CHECK(NamesOf(SelectCauses(MakeEvents(), "a1")) == expected);
  CHECK(SelectCauses(MakeEvents(), "r9").empty());
}

TEST_CASE("A log is read whatever else stands in it") {
  std::stringstream log;
  log << "a line of another program\n"
      << "I20261204 12:00:00.1 7 a.cc:1] event=started instance=e1\n";
  for (const TimelineEvent& event : MakeEvents()) {
    log << "I20261204 12:00:00.1 7 a.cc:1] " << FormatTimelineEvent(event)
        << '\n';
  }
  CHECK(ReadLog(log) == MakeEvents());
}

TEST_CASE("The timeline command reads logs and names one that it can't read") {
  const std::filesystem::path file =
      std::filesystem::temp_directory_path() / "kumquatcove-log-timeline.log";
  {
    std::ofstream log(file);
    for (const TimelineEvent& event : MakeEvents()) {
      log << FormatTimelineEvent(event) << '\n';
    }
  }
  std::ostringstream out;
  std::ostringstream error;
  OperatorToolSettings settings;
  settings.logs = {file.string()};
  CHECK(OperatorTool(settings, out, error).Run({"timeline", "a1"}) ==
        ExitCode::kOk);
  CHECK(out.str().find("crash_suspected subject=u1") != std::string::npos);
  CHECK(OperatorTool(settings, out, error).Run({"timeline", "r9"}) ==
        ExitCode::kInvalid);
  CHECK(error.str().find("no event of 'r9'") != std::string::npos);
  settings.logs = {"/nowhere/e1.log"};
  CHECK(OperatorTool(settings, out, error).Run({"timeline", "a1"}) ==
        ExitCode::kInvalid);
  CHECK(error.str().find("/nowhere/e1.log") != std::string::npos);
  std::filesystem::remove(file);
}

}  // namespace kumquatcove
