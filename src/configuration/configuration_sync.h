#ifndef CONFIGURATION_CONFIGURATION_SYNC_H_
#define CONFIGURATION_CONFIGURATION_SYNC_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/clock_reading.h"
#include "catalogue/catalogue_index.h"
#include "configuration/edit_session.h"
#include "membership/member_table.h"
#include "protocol/context.h"
#include "protocol/event.h"
#include "protocol/peer_message.h"

namespace kumquatcove {

/** Time without contact to the store or any peer after which new work is
 * refused.
 */
inline constexpr Duration kIsolationTimeout = Seconds(5);
/** Time after which a starting node that can't reach the store serves with the
 * catalogue of its peers. */
inline constexpr Duration kPeerOnlyStartDelay = Seconds(2);
/** Maximum number of entries that are written back after a restore of the
 * store; they are written in one transaction. */
inline constexpr std::size_t kMaxEntriesWrittenBack = 100;
/** Number of edit rows that are kept in the store, for HistoryCommand and to
 * detect repeated edit ids. */
inline constexpr std::size_t kMaxHistory = 200;

/**
 * Keeps the catalogue in force (Context::Catalogue) up to date and commits the
 * edits of operators.
 *
 * Edits are committed in the store only; peers forward committed revisions. The
 * revision in force never decreases: if the store was restored from a copy that
 * lacks edits, the entries in force are written back. Thread safety: none;
 * owned by one reducer.
 */
class ConfigurationSync {
 public:
  /** Starts to read the catalogue from the store. */
  void Start(Context& context, const MemberTable& members);

  /** Polls the store if this instance is responsible for it, retries calls
   * without a reply, and updates readiness and isolation. */
  void OnTick(Context& context, const MemberTable& members);

  /** Compares the sender's revision with the one in force and requests missing
   * revisions. */
  void OnGossip(Context& context,
                const MemberTable& members,
                const InstanceId& from,
                const Gossip& gossip);
  void OnCatalogueRequest(Context& context,
                          const MemberTable& members,
                          const InstanceId& from,
                          const CatalogueRequest& request);
  void OnCatalogueDelta(Context& context,
                        const MemberTable& members,
                        const InstanceId& from,
                        const CatalogueDelta& delta);

  /** Processes the reply to a store call made for
   * StoreClientModule::kConfiguration. */
  void OnStoreReply(Context& context,
                    const MemberTable& members,
                    StoreRequestId id,
                    const StoreReply& reply);

  /**
   * Executes ApplyCommand, GetCatalogueCommand or HistoryCommand. The effect
   * AnswerOperator returns the answer.
   *
   * Precondition: the command is one of these three. A repeated ApplyCommand
   * with the same edit id gets the result of the first. Only the owner of an
   * entry may change it, and only if the entry is at the revision that the edit
   * expects.
   */
  void OnOperatorCommand(Context& context,
                         const MemberTable& members,
                         const OperatorCommandArrived& command);

  /** Returns the number of operator commands that aren't answered yet. */
  std::size_t PendingCommands() const;

  /** Returns whether the node has the highest revision that is available to it,
   * so that it may serve. */
  bool IsReady() const { return m_ready; }

  /** Returns whether neither the store nor any peer could be reached for
   * kIsolationTimeout, so that new work must be refused. */
  bool IsIsolated() const { return m_isolated; }

  /** Returns whether the last store call succeeded. */
  bool IsStoreReachable() const { return m_store_reachable; }

 private:
  enum class CallKind {
    kHead,
    kScan,
    kEdit,
    kHistory,
    kPruneScan,
    kPrune,
    kWriteBack
  };
  struct StoreCall {
    CallKind kind = CallKind::kHead;
    MonotonicTime sent;
    /** Number of the edit session, or of the operator's request. */
    std::uint64_t number = 0;
  };

  void Call(Context& context,
            CallKind kind,
            StoreOperation operation,
            std::uint64_t number = 0);
  bool IsCalling(CallKind kind) const;
  void StartScan(Context& context);
  bool IsPoller(Context& context, const MemberTable& members);
  void PollStore(Context& context, const MemberTable& members);
  void UpdateReadiness(Context& context, const MemberTable& members);
  void UpdateIsolation(Context& context);
  void EndIsolation(Context& context);
  void RecordStoreStatus(Context& context,
                         const StoreCall& call,
                         StoreStatus status);
  void RecordStoreRevision(Context& context,
                           const StoreCall& call,
                           std::int64_t revision);
  void RecordStoreFault(Context& context,
                        const std::string& event,
                        const std::string& key);
  void OnHead(Context& context, const StoreCall& call, const StoreReply& reply);
  void OnScan(Context& context, const StoreCall& call, const StoreReply& reply);
  /** Writes the entries in force that are newer than the store's head. */
  void WriteBack(Context& context,
                 const StoreRow& head_row,
                 std::int64_t store_revision);
  static void OnWrittenBack(Context& context, const StoreReply& reply);
  static void OnHistory(Context& context,
                        RequestId request,
                        const StoreReply& reply);
  void OnPruneScan(Context& context, const StoreReply& reply);
  void ProcessSession(Context& context,
                      const MemberTable& members,
                      std::uint64_t number);
  void TrackSessionCall(Context& context, std::uint64_t number);
  void RequestCatalogue(Context& context,
                        const MemberTable& members,
                        const InstanceId& peer,
                        std::int64_t known_revision,
                        std::int64_t wanted_revision);
  static void PutInForce(Context& context,
                         std::shared_ptr<const CatalogueIndex> catalogue,
                         const char* source);

  std::map<StoreRequestId, StoreCall> m_calls;
  std::map<std::uint64_t, EditSession> m_sessions;
  std::uint64_t m_session_count = 0;
  MonotonicTime m_started;
  MonotonicTime m_next_poll;
  MonotonicTime m_next_scan;
  /** Time of the last contact to the store or a peer. */
  MonotonicTime m_last_contact;
  MonotonicTime m_isolated_since;
  MonotonicTime m_last_request;
  std::int64_t m_requested_revision = 0;
  std::uint64_t m_poller_membership_version = 0;
  /** Last fault in the rows of the store that was recorded. */
  std::string m_store_fault;
  bool m_is_poller = false;
  /** Whether the catalogue in force has reached the store's revision once. */
  bool m_store_caught_up = false;
  bool m_ready = false;
  bool m_isolated = false;
  bool m_store_reachable = false;
};

}  // namespace kumquatcove

#endif  // CONFIGURATION_CONFIGURATION_SYNC_H_
