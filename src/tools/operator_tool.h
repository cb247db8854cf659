#ifndef TOOLS_OPERATOR_TOOL_H_
#define TOOLS_OPERATOR_TOOL_H_

#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

#include "catalogue/entry.h"
#include "protocol/operator_command.h"
#include "protocol/timeline_event.h"
#include "tools/exit_code.h"
#include "tools/operator_client.h"

namespace kumquatcove {

enum class OutputFormat { kText, kJson, kHtml };

/** Settings of one call of the operator tool. */
struct OperatorToolSettings {
  OperatorClientSettings client;
  OutputFormat output = OutputFormat::kText;
  /** Of `apply` and `drain`: wait until all entry instances report the new
   * revision. */
  bool wait = false;
  /** Of `drain`: put the upstream back into service. */
  bool undo = false;
  /** Of `timeline`: log files that are read instead of asking instances. */
  std::vector<std::string> logs;
  /** How long `wait` waits. */
  Duration wait_timeout = Seconds(15);
};

/**
 * The commands of `kumquatcove`.
 *
 * Results go to `out`, progress and errors to `error`. Thread safety: none.
 */
class OperatorTool {
 public:
  OperatorTool(OperatorToolSettings settings,
               std::ostream& out,
               std::ostream& error);

  /** Runs a command; `arguments` begins with its name. */
  ExitCode Run(const std::vector<std::string>& arguments);

 private:
  using Arguments = std::vector<std::string>;

  ExitCode Validate(const Arguments& files);
  ExitCode Plan(const Arguments& files);
  ExitCode Apply(const Arguments& files);
  ExitCode Get(const Arguments& names);
  ExitCode History(const Arguments& none);
  ExitCode Status(const Arguments& none);
  ExitCode Drain(const Arguments& upstreams);
  ExitCode Timeline(const Arguments& subjects);
  ExitCode TimelineOfLogs(const std::string& subject);
  void PrintTimeline(const std::string& subject,
                     const std::vector<TimelineEvent>& events);
  ExitCode Help(const Arguments& commands);

  ExitCode Usage(const std::string& problem);
  ExitCode Fail(const CommandOutcome& outcome);
  ExitCode ReadCatalogue(CatalogueSnapshot& snapshot);
  std::vector<EntryEdit> ChangedEntries(const CatalogueSnapshot& current,
                                        const std::vector<EntryBody>& wanted);
  ExitCode Commit(const std::vector<EntryEdit>& edits);
  ExitCode WaitForRevision(std::int64_t revision);

  OperatorToolSettings m_settings;
  OperatorClient m_client;
  std::ostream& m_out;
  std::ostream& m_error;
};

}  // namespace kumquatcove

#endif  // TOOLS_OPERATOR_TOOL_H_
