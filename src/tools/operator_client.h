#ifndef TOOLS_OPERATOR_CLIENT_H_
#define TOOLS_OPERATOR_CLIENT_H_

#include <string>
#include <vector>

#include "base/clock_reading.h"
#include "protocol/operator_command.h"
#include "tools/exit_code.h"

namespace kumquatcove {

/** What became of a command. */
struct CommandOutcome {
  ExitCode code = ExitCode::kUnavailable;
  /** Empty but for `message` unless an entry instance answered. */
  OperatorAnswer answer;
  /** Operator address of the entry instance that answered last. */
  std::string entry;
};

/** Where and as whom commands are sent. */
struct OperatorClientSettings {
  /** Operator addresses of entry instances. */
  std::vector<std::string> entries;
  std::string token;
  /** Time that one entry instance has to answer. */
  Duration attempt_timeout = Seconds(5);
  /** Time after which no further attempt is made. */
  Duration total_timeout = Seconds(20);
};

/**
 * Sends operators' commands to entry instances.
 *
 * All calls block. Thread safety: none.
 */
class OperatorClient {
 public:
  explicit OperatorClient(OperatorClientSettings settings)
      : m_settings(std::move(settings)) {}

  /**
   * Sends a command to one entry instance after the other until one gives a
   * definite answer.
   *
   * This is safe for ApplyCommand too, since all attempts carry the same edit
   * id. The outcome is kOutcomeUnknown if an edit was sent and its result can't
   * be learnt.
   */
  CommandOutcome Send(const OperatorCommand& command) const;

  /** Sends a command to one entry instance, once. */
  CommandOutcome SendTo(const std::string& entry,
                        const OperatorCommand& command) const;

  const std::vector<std::string>& Entries() const { return m_settings.entries; }

 private:
  OperatorClientSettings m_settings;
};

}  // namespace kumquatcove

#endif  // TOOLS_OPERATOR_CLIENT_H_
