#include "configuration/edit_session.h"

#include <algorithm>
#include <cassert>
#include <set>
#include <utility>

#include <boost/json/serialize.hpp>

#include "base/json_codec.h"
#include "catalogue/catalogue_validator.h"

namespace kumquatcove {
namespace {

constexpr Duration kRetryInterval = Milliseconds(100);
constexpr std::size_t kMaxEditIdLength = 128;

template <class T>
std::string SerializeDocument(const T& content) {
  return boost::json::serialize(ToJson(content));
}

bool IsEditIdValid(const EditId& edit) {
  const std::string& text = edit.Text();
  return !text.empty() && text.size() <= kMaxEditIdLength &&
         std::all_of(text.begin(), text.end(), [](char letter) {
           return (letter >= 'a' && letter <= 'z') ||
                  (letter >= 'A' && letter <= 'Z') ||
                  (letter >= '0' && letter <= '9') || letter == '-' ||
                  letter == '_' || letter == '.';
         });
}

const CatalogueEntry* FindEntry(const CatalogueSnapshot& snapshot,
                                const std::string& name) {
  const auto found =
      std::find_if(snapshot.entries.begin(), snapshot.entries.end(),
                   [&](const CatalogueEntry& entry) {
                     return EntryName(entry.body) == name;
                   });
  return found == snapshot.entries.end() ? nullptr : &*found;
}

std::int64_t RowVersion(const std::vector<StoreRow>& rows,
                        const std::string& key) {
  const auto found =
      std::find_if(rows.begin(), rows.end(),
                   [&](const StoreRow& row) { return row.key == key; });
  return found == rows.end() ? 0 : found->version;
}

// Returns the start times of the shifts in `body`. Unchanged shifts keep their
// start time.
std::vector<WallTime> ShiftStarts(const EntryBody& body,
                                  const CatalogueEntry* old_entry,
                                  WallTime committed) {
  std::vector<WallTime> starts;
  const auto* service = std::get_if<ServiceEntry>(&body);
  const auto* old_service = old_entry == nullptr
                                ? nullptr
                                : std::get_if<ServiceEntry>(&old_entry->body);
  if (service == nullptr) {
    return starts;
  }
  for (const ShiftDeclaration& shift : service->shifts) {
    WallTime start = committed;
    const std::size_t known = old_service == nullptr
                                  ? 0
                                  : std::min(old_service->shifts.size(),
                                             old_entry->shift_starts.size());
    for (std::size_t index = 0; index < known; ++index) {
      if (old_service->shifts[index] == shift) {
        start = old_entry->shift_starts[index];
      }
    }
    starts.push_back(start);
  }
  return starts;
}

// Returns `current` with the edits applied as the next revision.
CatalogueSnapshot ApplyEdits(CatalogueSnapshot current,
                             const std::vector<EntryEdit>& edits,
                             WallTime committed) {
  ++current.revision;
  for (const EntryEdit& edit : edits) {
    CatalogueEntry entry{current.revision, committed, edit.body, {}};
    const std::string name = EntryName(edit.body);
    const auto found = std::find_if(
        current.entries.begin(), current.entries.end(),
        [&](const CatalogueEntry& old) { return EntryName(old.body) == name; });
    const bool is_new = found == current.entries.end();
    entry.shift_starts =
        ShiftStarts(edit.body, is_new ? nullptr : &*found, committed);
    if (is_new) {
      current.entries.push_back(std::move(entry));
    } else {
      *found = std::move(entry);
    }
  }
  return current;
}

}  // namespace

EditSession::EditSession(RequestId request,
                         OperatorName operator_name,
                         ApplyCommand command,
                         MonotonicTime now)
    : m_request(request),
      m_operator(std::move(operator_name)),
      m_command(std::move(command)),
      m_deadline(now + kEditTimeout) {}

void EditSession::Start(Context& context) {
  if (ValidateCommand(context)) {
    SendLookup(context);
  }
}

bool EditSession::ValidateCommand(Context& context) {
  std::set<std::string> names;
  for (const EntryEdit& edit : m_command.edits) {
    names.insert(EntryName(edit.body));
  }
  std::string problem;
  if (!IsEditIdValid(m_command.edit)) {
    problem =
        "the edit id must consist of 1 to 128 letters, digits, '-', '_' or '.'";
  } else if (m_command.edits.empty() ||
             m_command.edits.size() > kMaxEntriesPerEdit) {
    problem = "an edit must change 1 to 100 entries";
  } else if (names.size() != m_command.edits.size()) {
    problem = "an edit must not contain an entry more than once";
  } else {
    return true;
  }
  Answer(context, OperatorResult::kInvalid, problem);
  return false;
}

void EditSession::OnTick(Context& context, const MemberTable& members) {
  if (m_step == Step::kFinished) {
    return;
  }
  if (m_step == Step::kConfirm) {
    CheckConfirmations(context, members);
    return;
  }
  if (context.Now() >= m_deadline) {
    if (m_write_outcome_unknown || m_step == Step::kWrite) {
      Answer(context, OperatorResult::kUnavailable,
             "unknown: the store did not reply in time and the edit may have "
             "been committed or may still be; apply it again with the same "
             "edit id to learn its result");
    } else {
      Answer(context, OperatorResult::kUnavailable,
             "not committed: the store gave no consistent reply in time");
    }
    return;
  }
  if (m_step == Step::kBackOff && context.Now() >= m_retry_at) {
    SendLookup(context);
  }
}

void EditSession::OnStoreReply(Context& context, const StoreReply& reply) {
  m_call.reset();
  switch (m_step) {
    case Step::kLookup:
      OnLookup(context, reply);
      return;
    case Step::kScan:
      OnScan(context, reply);
      return;
    case Step::kWrite:
      OnWrite(context, reply);
      return;
    case Step::kBackOff:
    case Step::kConfirm:
    case Step::kFinished:
      return;
  }
}

std::shared_ptr<const CatalogueIndex> EditSession::TakeCommitted() {
  return std::exchange(m_committed, nullptr);
}

void EditSession::Call(Context& context, Step step, StoreOperation operation) {
  m_step = step;
  m_call = context.CallStoreFor(StoreClientModule::kConfiguration,
                                std::move(operation), kStoreCallTimeout);
}

void EditSession::BackOff(Context& context) {
  m_step = Step::kBackOff;
  m_retry_at = context.Now() + kRetryInterval;
}

void EditSession::SendLookup(Context& context) {
  // The head is read first: if the store doesn't read both rows atomically, a
  // write that takes effect between the reads is visible in the edit's row.
  Call(context, Step::kLookup,
       StoreRead{{std::string(kHeadKey), EditKey(m_command.edit)}});
}

void EditSession::OnLookup(Context& context, const StoreReply& reply) {
  if (reply.status != StoreStatus::kOk || reply.rows.size() != 2) {
    BackOff(context);
    return;
  }
  const std::optional<HeadRow> head = DecodeHeadRow(reply.rows[0]);
  if (reply.rows[1].version != 0) {
    OnEditRecorded(context, reply.rows[1]);
    return;
  }
  if (!head) {
    // Retries until the deadline; the answer then reports the known state.
    BackOff(context);
    return;
  }
  if (m_write_outcome_unknown &&
      reply.rows[0].version != m_unknown_write_head_version) {
    m_write_outcome_unknown = false;
  }
  m_head_row = reply.rows[0];
  m_head = *head;
  m_store_revision = std::max(m_store_revision, m_head.revision);
  Call(context, Step::kScan, StoreScan{std::string(kEntryPrefix)});
}

void EditSession::OnEditRecorded(Context& context, const StoreRow& row) {
  const std::optional<EditRow> recorded = DecodeEditRow(row);
  if (!recorded) {
    Answer(context, OperatorResult::kUnavailable,
           "unknown: the row of this edit id on the store is damaged");
  } else if (recorded->content_hash != ContentHash(m_command) ||
             recorded->operator_name != m_operator) {
    Answer(context, OperatorResult::kInvalid,
           "the edit id was used before for another edit, committed as "
           "revision " +
               std::to_string(recorded->revision));
  } else {
    m_store_revision = std::max(m_store_revision, recorded->revision);
    StartConfirmation(context, recorded->revision);
  }
}

void EditSession::OnScan(Context& context, const StoreReply& reply) {
  const std::optional<CatalogueSnapshot> current =
      reply.status == StoreStatus::kOk ? DecodeCatalogue(reply.rows)
                                       : std::nullopt;
  if (!current || current->revision != m_head.revision) {
    // The scan failed, or another edit was committed between the two reads.
    BackOff(context);
    return;
  }
  if (current->revision < context.Catalogue().Revision()) {
    Answer(context, OperatorResult::kUnavailable,
           "not committed: the store is at revision " +
               std::to_string(current->revision) + ", behind revision " +
               std::to_string(context.Catalogue().Revision()) +
               " that is in force");
    return;
  }
  if (CheckEdits(context, *current)) {
    SendWrite(context, *current, reply.rows);
  }
}

bool EditSession::CheckEdits(Context& context,
                             const CatalogueSnapshot& current) {
  ConflictReport report{m_command.edit, {}};
  for (const EntryEdit& edit : m_command.edits) {
    const std::string name = EntryName(edit.body);
    const CatalogueEntry* entry = FindEntry(current, name);
    const OperatorName& owner = EntryOwner(entry ? entry->body : edit.body);
    if (owner != m_operator) {
      Answer(context, OperatorResult::kForbidden,
             "entry '" + name + "' belongs to '" + owner.Text() +
                 "', not to '" + m_operator.Text() + "'");
      return false;
    }
    if ((entry ? entry->revision : 0) != edit.expected_revision) {
      report.conflicts.push_back({name, edit.expected_revision,
                                  entry ? std::optional(*entry) : std::nullopt,
                                  edit.body});
    }
  }
  if (!report.conflicts.empty()) {
    Answer(context, OperatorResult::kConflict,
           "not committed: " + std::to_string(report.conflicts.size()) +
               " entries are at another revision than expected",
           SerializeDocument(report));
    return false;
  }
  return true;
}

void EditSession::SendWrite(Context& context,
                            const CatalogueSnapshot& current,
                            const std::vector<StoreRow>& rows) {
  const WallTime committed = context.Wall();
  CatalogueSnapshot proposed = ApplyEdits(current, m_command.edits, committed);
  std::vector<EntryBody> bodies;
  for (const CatalogueEntry& entry : proposed.entries) {
    bodies.push_back(entry.body);
  }
  const std::vector<CatalogueProblem> problems = ValidateCatalogue(bodies);
  if (!problems.empty()) {
    Answer(context, OperatorResult::kInvalid,
           "not committed: the resulting catalogue is invalid: " +
               ToString(problems),
           SerializeDocument(problems));
    return;
  }
  m_proposed = std::make_shared<const CatalogueIndex>(std::move(proposed));
  const std::int64_t revision = m_proposed->Revision();
  EditRow row{m_command.edit,          revision,  m_operator,
              context.Self().instance, committed, {},
              ContentHash(m_command)};
  StoreTransaction transaction;
  transaction.conditions = {{EditKey(m_command.edit), 0},
                            {std::string(kHeadKey), m_head_row.version}};
  for (const EntryEdit& edit : m_command.edits) {
    const std::string name = EntryName(edit.body);
    const std::string key = EntryKey(name);
    row.entries.push_back(name);
    transaction.conditions.push_back({key, RowVersion(rows, key)});
    transaction.mutations.push_back(
        {key, EncodeRow(*m_proposed->FindEntry(name))});
  }
  transaction.mutations.push_back(
      {std::string(kHeadKey),
       EncodeRow(HeadRow{revision, m_proposed->Digest()})});
  transaction.mutations.push_back({EditKey(m_command.edit), EncodeRow(row)});
  Call(context, Step::kWrite, StoreWrite{{std::move(transaction)}});
}

void EditSession::OnWrite(Context& context, const StoreReply& reply) {
  if (reply.status == StoreStatus::kOk && reply.results.size() == 1) {
    if (reply.results[0].committed) {
      m_committed = m_proposed;
      m_store_revision = m_proposed->Revision();
      StartConfirmation(context, m_store_revision);
    } else {
      SendLookup(context);
    }
    return;
  }
  if (reply.status != StoreStatus::kRefused) {
    m_write_outcome_unknown = true;
    m_unknown_write_head_version = m_head_row.version;
  }
  BackOff(context);
}

void EditSession::StartConfirmation(Context& context, std::int64_t revision) {
  m_step = Step::kConfirm;
  m_committed_revision = revision;
  m_confirm_deadline = context.Now() + kConfirmTimeout;
  context.Record("edit_committed", m_command.edit.Text(),
                 {{"revision", std::to_string(revision)},
                  {"operator", m_operator.Text()}});
}

void EditSession::CheckConfirmations(Context& context,
                                     const MemberTable& members) {
  CommitReport report{m_command.edit, m_committed_revision, {}};
  bool waiting = false;
  for (const auto& [instance, member] : members.All()) {
    const std::int64_t revision = instance == context.Self().instance
                                      ? context.Catalogue().Revision()
                                      : member.record.catalogue_revision;
    const bool has_left = member.health == MemberHealth::kDead &&
                          (member.listed_leaving ||
                           member.record.phase == InstancePhase::kLeaving);
    if (member.health == MemberHealth::kCandidate || has_left ||
        revision >= m_committed_revision) {
      continue;
    }
    report.unconfirmed.push_back({instance, member.health, revision});
    waiting = waiting || member.health != MemberHealth::kDead;
  }
  if (waiting && context.Now() < m_confirm_deadline) {
    return;
  }
  std::string message =
      "committed as revision " + std::to_string(m_committed_revision);
  if (!report.unconfirmed.empty()) {
    message += "; not confirmed by " +
               std::to_string(report.unconfirmed.size()) + " instances";
  }
  Answer(context, OperatorResult::kOk, std::move(message),
         SerializeDocument(report));
}

void EditSession::Answer(Context& context,
                         OperatorResult result,
                         std::string message,
                         std::string document) {
  assert(m_step != Step::kFinished);
  m_step = Step::kFinished;
  context.Record("edit_answered", m_command.edit.Text(),
                 {{"result", std::string(ToString(result))}});
  context.Emit(AnswerOperator{
      m_request, {result, std::move(message), std::move(document)}});
}

}  // namespace kumquatcove
