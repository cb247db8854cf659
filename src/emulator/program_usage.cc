#include "emulator/program_usage.h"

#include <algorithm>

#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <absl/strings/string_view.h>

namespace kumquatcove::emulator {

bool IsMainSource(std::string_view file, std::string_view program) {
  std::string name(program);
  std::replace(name.begin(), name.end(), '-', '_');
  name += "_main.cc";
  const std::size_t slash = file.rfind('/');
  return file.substr(slash == std::string_view::npos ? 0 : slash + 1) == name;
}

void SetProgramUsage(const std::string& program, const std::string& text) {
  absl::SetProgramUsageMessage(text);
  const auto is_own = [program](absl::string_view file) {
    return IsMainSource(std::string_view(file.data(), file.size()), program);
  };
  absl::FlagsUsageConfig usage;
  usage.contains_help_flags = is_own;
  usage.contains_helpshort_flags = is_own;
  usage.version_string = [program] { return program + " 0.1.0\n"; };
  absl::SetFlagsUsageConfig(usage);
}

}  // namespace kumquatcove::emulator
