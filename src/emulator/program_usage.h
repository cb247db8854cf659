#ifndef EMULATOR_PROGRAM_USAGE_H_
#define EMULATOR_PROGRAM_USAGE_H_

#include <string>
#include <string_view>

namespace kumquatcove::emulator {

/** Returns whether `file` is the source of the main function of `program`:
 * `foo_bar_main.cc` for `foo-bar`. */
bool IsMainSource(std::string_view file, std::string_view program);

/**
 * Sets what `--help` of `program` prints: `text` and the program's own flags.
 *
 * Abseil shows the flags of files that are named as the program is, which a
 * program with a hyphen in its name has none of. To be called before the
 * command line is parsed.
 */
void SetProgramUsage(const std::string& program, const std::string& text);

}  // namespace kumquatcove::emulator

#endif  // EMULATOR_PROGRAM_USAGE_H_
