#include "tools/operator_tool.h"

#include <algorithm>
#include <array>
#include <random>
#include <set>
#include <sstream>
#include <string_view>
#include <thread>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "base/json_codec.h"
#include "emulator/steady_clock.h"
#include "protocol/timeline_event.h"
#include "tools/catalogue_reader.h"
#include "tools/json_text.h"
#include "tools/log_timeline.h"
#include "tools/status_table.h"
#include "tools/timeline_page.h"

namespace kumquatcove {
namespace {

constexpr Duration kPollInterval = Milliseconds(200);
constexpr std::size_t kNoLimit = 1000;

struct CommandDescription {
  std::string_view name;
  std::string_view arguments;
  std::string_view text;
  std::size_t min_arguments;
  std::size_t max_arguments;
  bool needs_entries;
};

constexpr std::array kCommands{
    CommandDescription{"validate", "FILE...",
                       "Checks catalogue files without contacting anything.", 1,
                       kNoLimit, false},
    CommandDescription{"plan", "FILE...", "Shows what apply would change.", 1,
                       kNoLimit, true},
    CommandDescription{
        "apply", "FILE... [--wait]",
        "Commits the changed entries as one edit. Entries that aren't in the\n"
        "files stay as they are. With --wait, waits until every instance of\n"
        "--entries reports the new revision.",
        1, kNoLimit, true},
    CommandDescription{
        "get", "[NAME]",
        "Lists the entries of the catalogue in effect, or shows one.", 0, 1,
        true},
    CommandDescription{"history", "", "Lists the committed edits.", 0, 0, true},
    CommandDescription{"status", "", "Shows the state of each entry instance.",
                       0, 0, true},
    CommandDescription{"drain", "UPSTREAM [--undo] [--wait]",
                       "Takes an upstream out of service; --undo puts it back.",
                       1, 1, true},
    CommandDescription{
        "timeline", "SUBJECT [--format text|json|html] [--logs FILE,...]",
        "Merges the events that mention a request id, idempotency key, edit\n"
        "id, upstream or instance from all entry instances. With --logs, "
        "reads\n"
        "log files of instances, and adds what happened to the upstreams and\n"
        "instances of the requests shortly before.",
        1, 1, true},
    CommandDescription{"help", "[COMMAND]", "Explains the commands.", 0, 1,
                       false}};

constexpr std::string_view kCommonHelp =
    "\nOptions of all commands:\n"
    "  --entries ADDR,...   operator addresses of entry instances\n"
    "                       (or environment variable KUMQUATCOVE_ENTRIES)\n"
    "  --token TOKEN        bearer token (or KUMQUATCOVE_TOKEN)\n"
    "  --token_file FILE    file that holds the token\n"
    "  --output text|json   form of the results\n"
    "  --timeout_s N        how long a command is repeated while no instance\n"
    "                       gives a definite answer (default 20)\n"
    "  --wait_timeout_s N   how long --wait waits (default 15)\n"
    "\nExit codes: 0 ok, 1 usage, 2 invalid, 3 conflict, 4 forbidden,\n"
    "5 unavailable or timed out, 6 outcome of an edit unknown.\n";

const CommandDescription* FindCommand(std::string_view name) {
  const auto* const found = std::find_if(
      kCommands.begin(), kCommands.end(),
      [name](const CommandDescription& row) { return row.name == name; });
  return found == kCommands.end() ? nullptr : found;
}

/** Edit ids must differ between operators and calls; they come from the
 * system's source of random numbers. */
EditId NewEditId() {
  std::random_device device;
  std::ostringstream text;
  text << "edit-" << std::hex;
  for (int i = 0; i < 4; ++i) {
    text.width(8);
    text.fill('0');
    text << device();
  }
  return EditId(text.str());
}

boost::json::value ParseDocument(const std::string& document) {
  return document.empty() ? boost::json::value(boost::json::object{})
                          : boost::json::parse(document);
}

/** Returns the catalogue revision that an answer's document reports, or -1. */
std::int64_t RevisionOf(const boost::json::value& document) {
  if (document.is_object()) {
    for (const std::string_view name :
         {"revision", "catalogue_revision", "head"}) {
      const auto* found = document.get_object().if_contains(name);
      if (found != nullptr && found->is_int64()) {
        return found->get_int64();
      }
    }
  }
  return -1;
}

const CatalogueEntry* FindEntry(const CatalogueSnapshot& snapshot,
                                const std::string& name) {
  for (const CatalogueEntry& entry : snapshot.entries) {
    if (EntryName(entry.body) == name) {
      return &entry;
    }
  }
  return nullptr;
}

/** Returns the edit that changes whether `upstream` is drained, or nothing if
 * no entry declares it. */
std::optional<EntryEdit> DrainEdit(const CatalogueSnapshot& snapshot,
                                   const std::string& upstream,
                                   bool drained) {
  for (const CatalogueEntry& entry : snapshot.entries) {
    const auto* service = std::get_if<ServiceEntry>(&entry.body);
    if (service == nullptr) {
      continue;
    }
    ServiceEntry changed = *service;
    for (UpstreamDeclaration& declaration : changed.upstreams) {
      if (declaration.id.Text() == upstream) {
        declaration.drained = drained;
        return EntryEdit{entry.revision, changed};
      }
    }
  }
  return std::nullopt;
}

/** Returns the catalogue as it will be once `wanted` is committed. */
std::vector<EntryBody> Combine(const CatalogueSnapshot& current,
                               std::vector<EntryBody> wanted) {
  std::set<std::string> names;
  for (const EntryBody& body : wanted) {
    names.insert(EntryName(body));
  }
  for (const CatalogueEntry& entry : current.entries) {
    if (names.count(EntryName(entry.body)) == 0) {
      wanted.push_back(entry.body);
    }
  }
  return wanted;
}

/** Returns the objects in the list `member` of an answer's document. */
std::vector<boost::json::object> ObjectsOf(const boost::json::value& document,
                                           std::string_view member) {
  std::vector<boost::json::object> objects;
  const auto* root = document.if_object();
  const auto* list = root == nullptr ? nullptr : root->if_contains(member);
  if (list != nullptr && list->is_array()) {
    for (const boost::json::value& item : list->get_array()) {
      if (item.is_object()) {
        objects.push_back(item.get_object());
      }
    }
  }
  return objects;
}

/** Returns a line for each entry that an edit expected at another revision. */
std::string ConflictText(const boost::json::value& document) {
  std::string text;
  for (const boost::json::object& conflict : ObjectsOf(document, "conflicts")) {
    const auto* current = conflict.if_contains("current");
    text += "entry " + boost::json::serialize(conflict.at("entry")) +
            " is at revision " +
            std::to_string(current == nullptr || current->is_null()
                               ? 0
                               : RevisionOf(*current)) +
            ", expected " +
            boost::json::serialize(conflict.at("expected_revision")) + '\n';
  }
  return text;
}

/** Returns a line for each instance that isn't known to have an edit in
 * effect. */
std::string UnconfirmedText(const boost::json::value& document) {
  std::string text;
  for (const boost::json::object& item : ObjectsOf(document, "unconfirmed")) {
    text += "not confirmed: " + KeyValueText(item) + '\n';
  }
  return text;
}

/** Reads events from a list or from an object with the member `events`. */
std::vector<TimelineEvent> EventsOf(const std::string& document) {
  const boost::json::value json = ParseDocument(document);
  const boost::json::value* list = &json;
  if (json.is_object()) {
    list = json.get_object().if_contains("events");
    if (list == nullptr) {
      return {};
    }
  }
  return FromJson<std::vector<TimelineEvent>>(*list);
}

}  // namespace

OperatorTool::OperatorTool(OperatorToolSettings settings,
                           std::ostream& out,
                           std::ostream& error)
    : m_settings(std::move(settings)),
      m_client(m_settings.client),
      m_out(out),
      m_error(error) {}

ExitCode OperatorTool::Run(const std::vector<std::string>& arguments) {
  if (arguments.empty()) {
    return Usage("no command given");
  }
  const CommandDescription* command = FindCommand(arguments[0]);
  if (command == nullptr) {
    return Usage("unknown command '" + arguments[0] + "'");
  }
  const Arguments rest(arguments.begin() + 1, arguments.end());
  if (rest.size() < command->min_arguments ||
      rest.size() > command->max_arguments) {
    return Usage("usage: kumquatcove " + arguments[0] + " " +
                 std::string(command->arguments));
  }
  if (command->needs_entries && m_client.Entries().empty() &&
      m_settings.logs.empty()) {
    return Usage("give --entries or set KUMQUATCOVE_ENTRIES");
  }
  using Method = ExitCode (OperatorTool::*)(const Arguments&);
  constexpr std::array<Method, kCommands.size()> kMethods{
      &OperatorTool::Validate, &OperatorTool::Plan,     &OperatorTool::Apply,
      &OperatorTool::Get,      &OperatorTool::History,  &OperatorTool::Status,
      &OperatorTool::Drain,    &OperatorTool::Timeline, &OperatorTool::Help};
  try {
    const auto position = static_cast<std::size_t>(command - kCommands.data());
    return (this->*kMethods.at(position))(rest);
  } catch (const CatalogueFileError& error) {
    m_error << error.what() << '\n';
    return ExitCode::kInvalid;
  } catch (const LogFileError& error) {
    m_error << error.what() << '\n';
    return ExitCode::kInvalid;
  } catch (const std::exception& error) {
    m_error << "unexpected answer: " << error.what() << '\n';
    return ExitCode::kUnavailable;
  }
}

ExitCode OperatorTool::Validate(const Arguments& files) {
  const std::size_t entries = ValidateCatalogueFiles(files);
  m_out << "valid: " << entries << " entries\n";
  return ExitCode::kOk;
}

ExitCode OperatorTool::Plan(const Arguments& files) {
  const std::vector<EntryBody> wanted = ReadCatalogueFiles(files);
  CatalogueSnapshot current;
  if (const ExitCode code = ReadCatalogue(current); code != ExitCode::kOk) {
    return code;
  }
  const std::vector<EntryEdit> edits = ChangedEntries(current, wanted);
  CheckCatalogue(Combine(current, wanted));
  if (m_settings.output == OutputFormat::kJson) {
    m_out << boost::json::serialize(ToJson(edits)) << '\n';
    return ExitCode::kOk;
  }
  for (const EntryEdit& edit : edits) {
    const std::string name = EntryName(edit.body);
    const CatalogueEntry* entry = FindEntry(current, name);
    m_out << (entry == nullptr ? "create " : "change ") << name << '\n';
    if (entry == nullptr) {
      continue;
    }
    for (const std::string& line :
         JsonDifferences(ToJson(entry->body), ToJson(edit.body))) {
      m_out << "  " << line << '\n';
    }
  }
  m_out << edits.size() << " of " << wanted.size() << " entries change\n";
  return ExitCode::kOk;
}

ExitCode OperatorTool::Apply(const Arguments& files) {
  const std::vector<EntryBody> wanted = ReadCatalogueFiles(files);
  CatalogueSnapshot current;
  if (const ExitCode code = ReadCatalogue(current); code != ExitCode::kOk) {
    return code;
  }
  const std::vector<EntryEdit> edits = ChangedEntries(current, wanted);
  CheckCatalogue(Combine(current, wanted));
  if (edits.empty()) {
    m_out << "nothing to change at revision " << current.revision << '\n';
    return m_settings.wait ? WaitForRevision(current.revision) : ExitCode::kOk;
  }
  return Commit(edits);
}

ExitCode OperatorTool::Get(const Arguments& names) {
  CatalogueSnapshot current;
  if (const ExitCode code = ReadCatalogue(current); code != ExitCode::kOk) {
    return code;
  }
  if (!names.empty()) {
    const CatalogueEntry* entry = FindEntry(current, names[0]);
    if (entry == nullptr) {
      m_error << "no entry '" << names[0] << "'\n";
      return ExitCode::kInvalid;
    }
    m_out << IndentedJson(ToJson(*entry));
  } else if (m_settings.output == OutputFormat::kJson) {
    m_out << IndentedJson(ToJson(current));
  } else {
    m_out << "revision " << current.revision << '\n';
    for (const CatalogueEntry& entry : current.entries) {
      m_out << EntryName(entry.body) << " revision=" << entry.revision
            << " owner=" << EntryOwner(entry.body) << '\n';
    }
  }
  return ExitCode::kOk;
}

ExitCode OperatorTool::History(const Arguments&) {
  const CommandOutcome outcome = m_client.Send(HistoryCommand{});
  if (outcome.code != ExitCode::kOk) {
    return Fail(outcome);
  }
  const boost::json::value document = ParseDocument(outcome.answer.document);
  if (m_settings.output == OutputFormat::kJson || !document.is_array()) {
    m_out << IndentedJson(document);
    return ExitCode::kOk;
  }
  for (const boost::json::value& edit : document.get_array()) {
    m_out << KeyValueText(edit) << '\n';
  }
  return ExitCode::kOk;
}

ExitCode OperatorTool::Status(const Arguments&) {
  boost::json::object documents;
  std::vector<StatusReport> reports;
  bool all_answered = true;
  for (const std::string& entry : m_client.Entries()) {
    const CommandOutcome outcome = m_client.SendTo(entry, StatusCommand{});
    if (outcome.code != ExitCode::kOk) {
      m_error << entry << ": " << outcome.answer.message << '\n';
      if (outcome.code == ExitCode::kForbidden) {
        return ExitCode::kForbidden;
      }
      all_answered = false;
      continue;
    }
    const auto document = ParseDocument(outcome.answer.document);
    documents[entry] = document;
    if (m_settings.output == OutputFormat::kText) {
      try {
        reports.push_back(FromJson<StatusReport>(document));
      } catch (const JsonCodecError& error) {
        m_error << entry << ": status of another version (" << error.what()
                << "); see --output json\n";
        all_answered = false;
      }
    }
  }
  if (m_settings.output == OutputFormat::kJson) {
    m_out << IndentedJson(documents);
  } else if (!reports.empty()) {
    m_out << StatusTable(reports);
  }
  return all_answered ? ExitCode::kOk : ExitCode::kUnavailable;
}

ExitCode OperatorTool::Drain(const Arguments& upstreams) {
  CatalogueSnapshot current;
  if (const ExitCode code = ReadCatalogue(current); code != ExitCode::kOk) {
    return code;
  }
  const auto edit = DrainEdit(current, upstreams[0], !m_settings.undo);
  if (!edit) {
    m_error << "no upstream '" << upstreams[0] << "'\n";
    return ExitCode::kInvalid;
  }
  return Commit({*edit});
}

ExitCode OperatorTool::TimelineOfLogs(const std::string& subject) {
  const std::vector<TimelineEvent> events =
      SelectCauses(ReadLogFiles(m_settings.logs), subject);
  if (events.empty()) {
    m_error << "no event of '" << subject << "' in the logs\n";
    return ExitCode::kInvalid;
  }
  PrintTimeline(subject, events);
  return ExitCode::kOk;
}

void OperatorTool::PrintTimeline(const std::string& subject,
                                 const std::vector<TimelineEvent>& events) {
  if (m_settings.output == OutputFormat::kJson) {
    m_out << IndentedJson(ToJson(events));
  } else if (m_settings.output == OutputFormat::kHtml) {
    m_out << TimelineHtml(subject, events);
  } else {
    m_out << TimelineText(events);
  }
}

ExitCode OperatorTool::Timeline(const Arguments& subjects) {
  if (!m_settings.logs.empty()) {
    return TimelineOfLogs(subjects[0]);
  }
  std::vector<TimelineEvent> events;
  bool any_answered = false;
  for (const std::string& entry : m_client.Entries()) {
    const CommandOutcome outcome =
        m_client.SendTo(entry, TimelineCommand{subjects[0]});
    if (outcome.code != ExitCode::kOk) {
      m_error << entry << ": " << outcome.answer.message << '\n';
      continue;
    }
    any_answered = true;
    const auto more = EventsOf(outcome.answer.document);
    events.insert(events.end(), more.begin(), more.end());
  }
  if (!any_answered) {
    return ExitCode::kUnavailable;
  }
  PrintTimeline(subjects[0], MergeTimelines(std::move(events)));
  return ExitCode::kOk;
}

ExitCode OperatorTool::Help(const Arguments& commands) {
  for (const CommandDescription& row : kCommands) {
    if (commands.empty()) {
      m_out << "kumquatcove " << row.name << ' ' << row.arguments << '\n';
    } else if (row.name == commands[0]) {
      m_out << "kumquatcove " << row.name << ' ' << row.arguments << "\n\n"
            << row.text << '\n';
    }
  }
  if (!commands.empty() && FindCommand(commands[0]) == nullptr) {
    return Usage("unknown command '" + commands[0] + "'");
  }
  m_out << kCommonHelp;
  return ExitCode::kOk;
}

ExitCode OperatorTool::Usage(const std::string& problem) {
  m_error << problem << "\nTry 'kumquatcove help'.\n";
  return ExitCode::kUsage;
}

ExitCode OperatorTool::Fail(const CommandOutcome& outcome) {
  m_error << ToString(outcome.answer.result) << ": " << outcome.answer.message
          << '\n';
  return outcome.code;
}

ExitCode OperatorTool::ReadCatalogue(CatalogueSnapshot& snapshot) {
  const CommandOutcome outcome = m_client.Send(GetCatalogueCommand{});
  if (outcome.code != ExitCode::kOk) {
    return Fail(outcome);
  }
  snapshot =
      FromJson<CatalogueSnapshot>(ParseDocument(outcome.answer.document));
  return ExitCode::kOk;
}

std::vector<EntryEdit> OperatorTool::ChangedEntries(
    const CatalogueSnapshot& current,
    const std::vector<EntryBody>& wanted) {
  std::vector<EntryEdit> edits;
  for (const EntryBody& body : wanted) {
    const CatalogueEntry* entry = FindEntry(current, EntryName(body));
    if (entry == nullptr) {
      edits.push_back({0, body});
    } else if (entry->body != body) {
      edits.push_back({entry->revision, body});
    }
  }
  return edits;
}

ExitCode OperatorTool::Commit(const std::vector<EntryEdit>& edits) {
  const ApplyCommand command{NewEditId(), edits};
  const CommandOutcome outcome = m_client.Send(command);
  if (outcome.code != ExitCode::kOk) {
    m_error << "edit " << command.edit << '\n';
    if (outcome.code == ExitCode::kOutcomeUnknown) {
      m_error << "the outcome of the edit is unknown; see 'history'\n";
    }
    if (outcome.code == ExitCode::kConflict) {
      m_error << ConflictText(ParseDocument(outcome.answer.document));
    }
    return Fail(outcome);
  }
  const boost::json::value document = ParseDocument(outcome.answer.document);
  const std::int64_t revision = RevisionOf(document);
  m_error << UnconfirmedText(document);
  if (m_settings.output == OutputFormat::kJson) {
    m_out << boost::json::serialize(
                 boost::json::object{{"edit", command.edit.Text()},
                                     {"entries", edits.size()},
                                     {"revision", revision}})
          << '\n';
  } else {
    m_out << "applied " << edits.size() << " entries, revision " << revision
          << ", edit " << command.edit << '\n';
  }
  return m_settings.wait ? WaitForRevision(revision) : ExitCode::kOk;
}

ExitCode OperatorTool::WaitForRevision(std::int64_t revision) {
  const MonotonicTime give_up =
      emulator::ReadMonotonicClock() + m_settings.wait_timeout;
  std::set<std::string> missing(m_client.Entries().begin(),
                                m_client.Entries().end());
  while (true) {
    for (const std::string& entry : m_client.Entries()) {
      if (missing.count(entry) == 0) {
        continue;
      }
      const CommandOutcome outcome = m_client.SendTo(entry, StatusCommand{});
      if (outcome.code == ExitCode::kOk &&
          RevisionOf(ParseDocument(outcome.answer.document)) >= revision) {
        missing.erase(entry);
        m_error << entry << ": revision " << revision << " in effect, "
                << missing.size() << " to go\n";
      }
    }
    if (missing.empty()) {
      return ExitCode::kOk;
    }
    if (emulator::ReadMonotonicClock() >= give_up) {
      break;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  for (const std::string& entry : missing) {
    m_error << entry << ": revision " << revision << " not confirmed\n";
  }
  return ExitCode::kUnavailable;
}

}  // namespace kumquatcove
