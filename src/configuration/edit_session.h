#ifndef CONFIGURATION_EDIT_SESSION_H_
#define CONFIGURATION_EDIT_SESSION_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/describe/class.hpp>

#include "base/clock_reading.h"
#include "catalogue/catalogue_index.h"
#include "configuration/catalogue_rows.h"
#include "membership/member_table.h"
#include "protocol/context.h"
#include "protocol/event.h"
#include "protocol/operator_command.h"
#include "protocol/store_operation.h"

namespace kumquatcove {

/** An entry whose revision differs from the one that the edit expects, with the
 * committed and the proposed content. */
struct EntryConflict {
  std::string entry;
  std::int64_t expected_revision = 0;
  /** The committed entry; std::nullopt if it doesn't exist. */
  std::optional<CatalogueEntry> current;
  EntryBody proposed;
};
BOOST_DESCRIBE_STRUCT(EntryConflict,
                      (),
                      (entry, expected_revision, current, proposed))

/** An instance that has not confirmed that a revision is in force there. */
struct UnconfirmedInstance {
  InstanceId instance;
  MemberHealth health = MemberHealth::kCandidate;
  /** Last revision that the instance reported as in force. */
  std::int64_t catalogue_revision = 0;
};
BOOST_DESCRIBE_STRUCT(UnconfirmedInstance,
                      (),
                      (instance, health, catalogue_revision))

/** JSON document in the answer to a committed edit. */
struct CommitReport {
  EditId edit;
  std::int64_t revision = 0;
  std::vector<UnconfirmedInstance> unconfirmed;
};
BOOST_DESCRIBE_STRUCT(CommitReport, (), (edit, revision, unconfirmed))

/** JSON document in the answer to a conflicting edit. */
struct ConflictReport {
  EditId edit;
  std::vector<EntryConflict> conflicts;
};
BOOST_DESCRIBE_STRUCT(ConflictReport, (), (edit, conflicts))

/** An edit without a known result in the store after this time is answered with
 * kUnavailable. */
inline constexpr Duration kEditTimeout = Seconds(5);
/** Maximum time for which the answer to a committed edit waits until the other
 * instances confirm the revision. */
inline constexpr Duration kConfirmTimeout = Seconds(3);
inline constexpr Duration kStoreCallTimeout = Seconds(1);
inline constexpr std::size_t kMaxEntriesPerEdit = 100;

/**
 * Executes one ApplyCommand and answers it.
 *
 * Reads the head and the edit's row, then all entries, validates the edit
 * against them, and writes entries, head and edit row in one transaction that
 * is conditional on all versions read. A write without a reply is followed by a
 * lookup of the edit's row, after which the write may be repeated: both
 * attempts require that the edit's row is absent and the head unchanged, so at
 * most one takes effect. If the head has a new version, an earlier attempt can
 * no longer take effect. Thread safety: none; owned by one reducer.
 */
class EditSession {
 public:
  EditSession(RequestId request,
              OperatorName operator_name,
              ApplyCommand command,
              MonotonicTime now);

  /** Validates the form of the command and sends the first read. */
  void Start(Context& context);

  /** Retries store calls, answers the edit after its timeout, and answers a
   * committed edit once it is confirmed. */
  void OnTick(Context& context, const MemberTable& members);

  /** Processes the reply to the pending call. */
  void OnStoreReply(Context& context, const StoreReply& reply);

  /** Returns the store call that the session waits for, or std::nullopt. */
  std::optional<StoreRequestId> PendingCall() const { return m_call; }

  bool IsFinished() const { return m_step == Step::kFinished; }

  /** Returns the catalogue that the session committed, and null afterwards. */
  std::shared_ptr<const CatalogueIndex> TakeCommitted();

  /** Returns the highest revision that the session has read or committed in the
   * store. */
  std::int64_t StoreRevision() const { return m_store_revision; }

 private:
  enum class Step { kLookup, kScan, kWrite, kBackOff, kConfirm, kFinished };

  bool ValidateCommand(Context& context);
  void Call(Context& context, Step step, StoreOperation operation);
  void BackOff(Context& context);
  void SendLookup(Context& context);
  void OnLookup(Context& context, const StoreReply& reply);
  void OnEditRecorded(Context& context, const StoreRow& row);
  void OnScan(Context& context, const StoreReply& reply);
  bool CheckEdits(Context& context, const CatalogueSnapshot& current);
  void SendWrite(Context& context,
                 const CatalogueSnapshot& current,
                 const std::vector<StoreRow>& rows);
  void OnWrite(Context& context, const StoreReply& reply);
  void StartConfirmation(Context& context, std::int64_t revision);
  void CheckConfirmations(Context& context, const MemberTable& members);
  void Answer(Context& context,
              OperatorResult result,
              std::string message,
              std::string document = {});

  RequestId m_request;
  OperatorName m_operator;
  ApplyCommand m_command;
  MonotonicTime m_deadline;
  Step m_step = Step::kLookup;
  std::optional<StoreRequestId> m_call;
  MonotonicTime m_retry_at;
  StoreRow m_head_row;
  HeadRow m_head;
  /** Whether a write got no reply and may still take effect. */
  bool m_write_outcome_unknown = false;
  /** Version of the head that the write without a reply requires. */
  std::int64_t m_unknown_write_head_version = 0;
  std::shared_ptr<const CatalogueIndex> m_proposed;
  std::shared_ptr<const CatalogueIndex> m_committed;
  std::int64_t m_store_revision = 0;
  std::int64_t m_committed_revision = 0;
  MonotonicTime m_confirm_deadline;
};

}  // namespace kumquatcove

#endif  // CONFIGURATION_EDIT_SESSION_H_
