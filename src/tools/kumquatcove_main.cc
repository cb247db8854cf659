#include <cstdlib>
#include <fstream>
#include <iostream>
#include <optional>
#include <string>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/str_split.h>

#include "emulator/network_address.h"
#include "emulator/program_usage.h"
#include "tools/operator_tool.h"

ABSL_FLAG(std::string,
          entries,
          "",
          "operator addresses of entry instances, separated by commas");
ABSL_FLAG(std::string, token, "", "bearer token of an operator");
ABSL_FLAG(std::string, token_file, "", "file that holds the bearer token");
ABSL_FLAG(std::string, output, "text", "form of the results: text or json");
ABSL_FLAG(std::string, format, "", "of timeline: text, json or html");
ABSL_FLAG(std::string,
          logs,
          "",
          "of timeline: log files of instances, separated by commas");
ABSL_FLAG(bool,
          wait,
          false,
          "of apply and drain: wait until all entries report the revision");
ABSL_FLAG(bool, undo, false, "of drain: put the upstream back into service");
ABSL_FLAG(int, wait_timeout_s, 15, "how long --wait waits, in seconds");
ABSL_FLAG(int,
          timeout_s,
          20,
          "how long a command is repeated without an answer, in seconds");

namespace kumquatcove {
namespace {

std::string FlagOrEnvironment(const std::string& flag, const char* variable) {
  if (!flag.empty()) {
    return flag;
  }
  const char* found = std::getenv(variable);
  return found == nullptr ? std::string() : std::string(found);
}

std::optional<OutputFormat> ParseFormat(const std::string& name,
                                        bool allow_html) {
  if (name == "text") {
    return OutputFormat::kText;
  }
  if (name == "json") {
    return OutputFormat::kJson;
  }
  return allow_html && name == "html" ? std::optional(OutputFormat::kHtml)
                                      : std::nullopt;
}

bool ReadToken(std::string& token) {
  const std::string path = absl::GetFlag(FLAGS_token_file);
  if (path.empty()) {
    token = FlagOrEnvironment(absl::GetFlag(FLAGS_token), "KUMQUATCOVE_TOKEN");
    return true;
  }
  std::ifstream file(path);
  return static_cast<bool>(file >> token);
}

ExitCode Fail(const std::string& problem) {
  std::cerr << problem << "\n";
  return ExitCode::kUsage;
}

ExitCode Run(const std::vector<std::string>& arguments) {
  OperatorToolSettings settings;
  const bool is_timeline = !arguments.empty() && arguments[0] == "timeline";
  const std::string format = absl::GetFlag(FLAGS_format);
  const auto output = ParseFormat(
      is_timeline && !format.empty() ? format : absl::GetFlag(FLAGS_output),
      is_timeline);
  if (!output) {
    return Fail("--output must be text or json; --format also html");
  }
  settings.output = *output;
  if (!ReadToken(settings.client.token)) {
    return Fail("--token_file: can't read a token from '" +
                absl::GetFlag(FLAGS_token_file) + "'");
  }
  const std::string entries =
      FlagOrEnvironment(absl::GetFlag(FLAGS_entries), "KUMQUATCOVE_ENTRIES");
  settings.client.entries = absl::StrSplit(entries, ',', absl::SkipEmpty());
  for (const std::string& entry : settings.client.entries) {
    if (!emulator::ParseAddress(entry)) {
      return Fail("--entries: '" + entry +
                  "' is not an IP number and port such as 127.0.0.1:7002");
    }
  }
  if (absl::GetFlag(FLAGS_timeout_s) < 1 ||
      absl::GetFlag(FLAGS_wait_timeout_s) < 1) {
    return Fail("--timeout_s and --wait_timeout_s must be at least 1");
  }
  settings.client.total_timeout = Seconds(absl::GetFlag(FLAGS_timeout_s));
  settings.logs =
      absl::StrSplit(absl::GetFlag(FLAGS_logs), ',', absl::SkipEmpty());
  settings.wait = absl::GetFlag(FLAGS_wait);
  settings.undo = absl::GetFlag(FLAGS_undo);
  settings.wait_timeout = Seconds(absl::GetFlag(FLAGS_wait_timeout_s));
  return OperatorTool(settings, std::cout, std::cerr).Run(arguments);
}

}  // namespace
}  // namespace kumquatcove

int main(int argc, char** argv) {
  kumquatcove::emulator::SetProgramUsage(
      "kumquatcove", "Operator tool of kumquatcove; see 'kumquatcove help'.");
  const std::vector<char*> positional = absl::ParseCommandLine(argc, argv);
  const std::vector<std::string> arguments(positional.begin() + 1,
                                           positional.end());
  return static_cast<int>(kumquatcove::Run(arguments));
}
