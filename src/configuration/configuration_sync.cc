#include "configuration/configuration_sync.h"

#include <algorithm>
#include <cassert>
#include <optional>
#include <string>
#include <utility>

#include <boost/json/serialize.hpp>

#include "base/json_codec.h"
#include "configuration/catalogue_rows.h"
#include "membership/rendezvous.h"

namespace kumquatcove {
namespace {

constexpr Duration kPollInterval = Seconds(1);
// Interval at which a node that isn't a poller of its region checks whether the
// store is available again. With 2,500 nodes this stays within the read
// capacity of the store.
constexpr Duration kUnreachablePollInterval = Seconds(5);
constexpr std::size_t kPollersPerRegion = 2;
constexpr Duration kGossipTimeout = Seconds(3);
constexpr Duration kRequestInterval = Milliseconds(300);
constexpr std::size_t kMaxSessions = 64;
constexpr std::size_t kMaxHistoryRequests = 64;
// Number of commits between two removals of old edit rows.
constexpr std::int64_t kPrunePeriod = 20;
constexpr std::size_t kMaxPrunedRows = 50;

std::vector<EditRow> DecodeHistory(const StoreReply& reply) {
  std::vector<EditRow> edits;
  for (const StoreRow& row : reply.rows) {
    if (std::optional<EditRow> edit = DecodeEditRow(row)) {
      edits.push_back(std::move(*edit));
    }
  }
  std::sort(edits.begin(), edits.end(), [](const EditRow& a, const EditRow& b) {
    return a.revision > b.revision;
  });
  return edits;
}

// Returns the catalogue that results from `delta`, or null if its digest
// doesn't match.
std::shared_ptr<const CatalogueIndex> ApplyDelta(
    const CatalogueSnapshot& current,
    const CatalogueDelta& delta) {
  std::map<std::string, CatalogueEntry> entries;
  if (delta.base_revision > 0) {
    for (const CatalogueEntry& entry : current.entries) {
      entries[EntryName(entry.body)] = entry;
    }
  }
  for (const CatalogueEntry& entry : delta.entries) {
    entries[EntryName(entry.body)] = entry;
  }
  CatalogueSnapshot snapshot{delta.revision, {}};
  for (auto& [name, entry] : entries) {
    snapshot.entries.push_back(std::move(entry));
  }
  auto catalogue = std::make_shared<const CatalogueIndex>(std::move(snapshot));
  return catalogue->Digest() == delta.digest ? catalogue : nullptr;
}

CatalogueDelta MakeDelta(const CatalogueIndex& catalogue, std::int64_t base) {
  CatalogueDelta delta{base, catalogue.Revision(), catalogue.Digest(), {}};
  for (const CatalogueEntry& entry : catalogue.Snapshot().entries) {
    if (entry.revision > base) {
      delta.entries.push_back(entry);
    }
  }
  return delta;
}

}  // namespace

void ConfigurationSync::Start(Context& context, const MemberTable&) {
  m_started = context.Now();
  m_last_contact = m_started;
  m_next_poll = m_started + kPollInterval;
  m_next_scan = m_started;
  StartScan(context);
}

void ConfigurationSync::OnTick(Context& context, const MemberTable& members) {
  UpdateIsolation(context);
  std::vector<std::uint64_t> numbers;
  for (const auto& [number, session] : m_sessions) {
    numbers.push_back(number);
  }
  for (const std::uint64_t number : numbers) {
    m_sessions.at(number).OnTick(context, members);
    ProcessSession(context, members, number);
  }
  PollStore(context, members);
  UpdateReadiness(context, members);
}

void ConfigurationSync::OnGossip(Context& context,
                                 const MemberTable& members,
                                 const InstanceId& from,
                                 const Gossip& gossip) {
  UpdateIsolation(context);
  const std::int64_t revision = context.Catalogue().Revision();
  if (!members.IsRecoveringFromPause()) {
    m_last_contact = context.Now();
    if (gossip.catalogue_revision <= revision) {
      EndIsolation(context);
    }
  }
  if (gossip.catalogue_revision > revision) {
    RequestCatalogue(context, members, from, revision,
                     gossip.catalogue_revision);
  } else if (gossip.catalogue_revision == revision && revision > 0 &&
             gossip.catalogue_digest != context.Catalogue().Digest()) {
    // One of the two catalogues is damaged; the store has the correct one.
    StartScan(context);
  }
  UpdateReadiness(context, members);
}

void ConfigurationSync::OnCatalogueRequest(Context& context,
                                           const MemberTable& members,
                                           const InstanceId& from,
                                           const CatalogueRequest& request) {
  const CatalogueIndex& catalogue = context.Catalogue();
  if (request.known_revision < catalogue.Revision()) {
    members.Send(context, from,
                 MakeDelta(catalogue,
                           std::max<std::int64_t>(request.known_revision, 0)));
  }
}

void ConfigurationSync::OnCatalogueDelta(Context& context,
                                         const MemberTable& members,
                                         const InstanceId& from,
                                         const CatalogueDelta& delta) {
  const std::int64_t revision = context.Catalogue().Revision();
  if (delta.revision <= revision) {
    return;
  }
  if (delta.base_revision > revision) {
    RequestCatalogue(context, members, from, revision, delta.revision);
    return;
  }
  auto catalogue = ApplyDelta(context.Catalogue().Snapshot(), delta);
  if (catalogue == nullptr) {
    context.Record("catalogue_delta_refused", from.Text(),
                   {{"revision", std::to_string(delta.revision)},
                    {"base", std::to_string(delta.base_revision)}});
    if (delta.base_revision > 0) {
      // The catalogue that the delta was applied to differs from the sender's.
      members.Send(context, from, CatalogueRequest{0});
    } else {
      StartScan(context);
    }
    return;
  }
  PutInForce(context, std::move(catalogue), "peer");
  if (!members.IsRecoveringFromPause()) {
    UpdateIsolation(context);
    EndIsolation(context);
  }
  UpdateReadiness(context, members);
}

void ConfigurationSync::OnStoreReply(Context& context,
                                     const MemberTable& members,
                                     StoreRequestId id,
                                     const StoreReply& reply) {
  UpdateIsolation(context);
  const auto found = m_calls.find(id);
  if (found == m_calls.end()) {
    return;
  }
  const StoreCall call = found->second;
  m_calls.erase(found);
  RecordStoreStatus(context, call, reply.status);
  switch (call.kind) {
    case CallKind::kHead:
      OnHead(context, call, reply);
      break;
    case CallKind::kScan:
      OnScan(context, call, reply);
      break;
    case CallKind::kEdit:
      if (const auto session = m_sessions.find(call.number);
          session != m_sessions.end()) {
        session->second.OnStoreReply(context, reply);
        ProcessSession(context, members, call.number);
      } else {
        // The operator was answered that the result is unknown. Polls the head
        // to find out whether the edit took effect.
        m_next_poll = context.Now();
      }
      break;
    case CallKind::kHistory:
      OnHistory(context, RequestId{call.number}, reply);
      break;
    case CallKind::kPruneScan:
      OnPruneScan(context, reply);
      break;
    case CallKind::kPrune:
      break;
    case CallKind::kWriteBack:
      OnWrittenBack(context, reply);
      break;
  }
  UpdateReadiness(context, members);
}

void ConfigurationSync::OnOperatorCommand(
    Context& context,
    const MemberTable& members,
    const OperatorCommandArrived& command) {
  if (const auto* apply = std::get_if<ApplyCommand>(&command.command)) {
    if (m_sessions.size() >= kMaxSessions) {
      context.Emit(AnswerOperator{
          command.request,
          {OperatorResult::kUnavailable,
           "not committed: too many edits are in progress", ""}});
      return;
    }
    const std::uint64_t number = ++m_session_count;
    const auto session = m_sessions.emplace(
        number, EditSession(command.request, command.operator_name, *apply,
                            context.Now()));
    session.first->second.Start(context);
    ProcessSession(context, members, number);
  } else if (std::holds_alternative<HistoryCommand>(command.command)) {
    if (m_calls.size() >= kMaxHistoryRequests + kMaxSessions) {
      context.Emit(
          AnswerOperator{command.request,
                         {OperatorResult::kUnavailable,
                          "too many store calls are in progress", ""}});
      return;
    }
    Call(context, CallKind::kHistory, StoreScan{std::string(kEditPrefix)},
         command.request.number);
  } else {
    assert(std::holds_alternative<GetCatalogueCommand>(command.command));
    const CatalogueSnapshot& snapshot = context.Catalogue().Snapshot();
    context.Emit(AnswerOperator{
        command.request,
        {OperatorResult::kOk,
         "catalogue revision " + std::to_string(snapshot.revision),
         boost::json::serialize(ToJson(snapshot))}});
  }
}

std::size_t ConfigurationSync::PendingCommands() const {
  const auto reads =
      std::count_if(m_calls.begin(), m_calls.end(), [](const auto& entry) {
        return entry.second.kind == CallKind::kHistory;
      });
  return m_sessions.size() + static_cast<std::size_t>(reads);
}

void ConfigurationSync::Call(Context& context,
                             CallKind kind,
                             StoreOperation operation,
                             std::uint64_t number) {
  const StoreRequestId id =
      context.CallStoreFor(StoreClientModule::kConfiguration,
                           std::move(operation), kStoreCallTimeout);
  m_calls[id] = StoreCall{kind, context.Now(), number};
}

bool ConfigurationSync::IsCalling(CallKind kind) const {
  return std::any_of(m_calls.begin(), m_calls.end(), [&](const auto& entry) {
    return entry.second.kind == kind;
  });
}

void ConfigurationSync::StartScan(Context& context) {
  if (context.Now() < m_next_scan || IsCalling(CallKind::kScan)) {
    return;
  }
  m_next_scan = context.Now() + kPollInterval;
  Call(context, CallKind::kScan, StoreScan{std::string(kEntryPrefix)});
}

bool ConfigurationSync::IsPoller(Context& context, const MemberTable& members) {
  if (members.MembershipVersion() != m_poller_membership_version) {
    m_poller_membership_version = members.MembershipVersion();
    const std::vector<InstanceId> order =
        RendezvousOrder(kHeadKey, members.ServingIn(context.Self().region));
    const auto end = order.begin() + std::min(order.size(), kPollersPerRegion);
    m_is_poller = std::find(order.begin(), end, context.Self().instance) != end;
  }
  return m_is_poller;
}

void ConfigurationSync::PollStore(Context& context,
                                  const MemberTable& members) {
  const MonotonicTime now = context.Now();
  if (now < m_next_poll || IsCalling(CallKind::kHead)) {
    return;
  }
  const bool peers_unresponsive =
      now - members.LastContactTime() > kGossipTimeout;
  const bool poll_frequently = !m_ready || m_isolated || peers_unresponsive ||
                               IsPoller(context, members);
  if (!poll_frequently && m_store_reachable) {
    return;
  }
  m_next_poll =
      now + (poll_frequently ? kPollInterval : kUnreachablePollInterval);
  Call(context, CallKind::kHead, StoreRead{{std::string(kHeadKey)}});
}

void ConfigurationSync::UpdateReadiness(Context& context,
                                        const MemberTable& members) {
  if (m_ready) {
    return;
  }
  std::int64_t highest = 0;
  bool any_started_peer = false;
  for (const InstanceId& peer : members.LivePeers()) {
    const MemberRecord& record = members.Find(peer)->record;
    highest = std::max(highest, record.catalogue_revision);
    // The revision of peers that are still starting isn't significant.
    any_started_peer =
        any_started_peer || record.phase != InstancePhase::kJoining;
  }
  if (context.Catalogue().Revision() < highest) {
    return;
  }
  const bool peers_suffice =
      any_started_peer && context.Now() - m_started >= kPeerOnlyStartDelay;
  if (m_store_caught_up || peers_suffice) {
    m_ready = true;
    context.Record(
        "configuration_ready", context.Self().instance.Text(),
        {{"revision", std::to_string(context.Catalogue().Revision())},
         {"source", m_store_caught_up ? "store" : "peers"}});
  }
}

void ConfigurationSync::UpdateIsolation(Context& context) {
  if (!m_isolated && context.Now() - m_last_contact > kIsolationTimeout) {
    m_isolated = true;
    m_isolated_since = context.Now();
    context.Record("isolated", context.Self().instance.Text());
  }
}

void ConfigurationSync::EndIsolation(Context& context) {
  if (m_isolated) {
    m_isolated = false;
    m_last_contact = context.Now();
    context.Record("isolation_ended", context.Self().instance.Text());
  }
}

void ConfigurationSync::RecordStoreStatus(Context&,
                                          const StoreCall& call,
                                          StoreStatus status) {
  m_store_reachable = status == StoreStatus::kOk;
  if (m_store_reachable) {
    // A reply that was buffered during a pause of this process only shows that
    // the store answered at some time after the call.
    m_last_contact = std::max(m_last_contact, call.sent);
  }
}

void ConfigurationSync::RecordStoreRevision(Context& context,
                                            const StoreCall& call,
                                            std::int64_t revision) {
  if (context.Catalogue().Revision() < revision) {
    return;
  }
  m_store_caught_up = true;
  if (m_isolated && call.sent >= m_isolated_since) {
    EndIsolation(context);
  }
}

void ConfigurationSync::RecordStoreFault(Context& context,
                                         const std::string& event,
                                         const std::string& key) {
  // Each poll finds the same fault again; it is recorded only once.
  if (m_store_fault != event + key) {
    m_store_fault = event + key;
    context.Record(event, key);
  }
}

void ConfigurationSync::OnHead(Context& context,
                               const StoreCall& call,
                               const StoreReply& reply) {
  if (reply.status != StoreStatus::kOk || reply.rows.size() != 1) {
    return;
  }
  const std::optional<HeadRow> head = DecodeHeadRow(reply.rows[0]);
  if (!head) {
    RecordStoreFault(context, "catalogue_store_damaged", std::string(kHeadKey));
    return;
  }
  const CatalogueIndex& catalogue = context.Catalogue();
  if (head->revision > catalogue.Revision() ||
      (head->revision == catalogue.Revision() && head->revision > 0 &&
       head->digest != catalogue.Digest())) {
    StartScan(context);
  } else if (head->revision < catalogue.Revision()) {
    RecordStoreFault(context, "catalogue_store_behind", std::string(kHeadKey));
    WriteBack(context, reply.rows[0], head->revision);
  } else {
    m_store_fault.clear();
  }
  RecordStoreRevision(context, call, head->revision);
}

void ConfigurationSync::OnScan(Context& context,
                               const StoreCall& call,
                               const StoreReply& reply) {
  if (reply.status != StoreStatus::kOk) {
    return;
  }
  std::optional<CatalogueSnapshot> snapshot = DecodeCatalogue(reply.rows);
  if (!snapshot) {
    RecordStoreFault(context, "catalogue_store_damaged",
                     std::string(kEntryPrefix));
    return;
  }
  const std::int64_t revision = snapshot->revision;
  if (revision > 0 && revision >= context.Catalogue().Revision()) {
    auto catalogue =
        std::make_shared<const CatalogueIndex>(std::move(*snapshot));
    if (revision > context.Catalogue().Revision() ||
        catalogue->Digest() != context.Catalogue().Digest()) {
      PutInForce(context, std::move(catalogue), "store");
    }
  }
  RecordStoreRevision(context, call, revision);
}

void ConfigurationSync::WriteBack(Context& context,
                                  const StoreRow& head_row,
                                  std::int64_t store_revision) {
  if (IsCalling(CallKind::kWriteBack)) {
    return;
  }
  const CatalogueIndex& catalogue = context.Catalogue();
  StoreTransaction transaction;
  // Each edit changes the head, so the condition excludes one that was
  // committed meanwhile.
  transaction.conditions = {{std::string(kHeadKey), head_row.version}};
  for (const CatalogueEntry& entry : catalogue.Snapshot().entries) {
    if (entry.revision > store_revision) {
      transaction.mutations.push_back(
          {EntryKey(EntryName(entry.body)), EncodeRow(entry)});
    }
  }
  if (transaction.mutations.size() > kMaxEntriesWrittenBack) {
    RecordStoreFault(context, "catalogue_not_written_back",
                     std::string(kHeadKey));
    return;
  }
  transaction.mutations.push_back(
      {std::string(kHeadKey),
       EncodeRow(HeadRow{catalogue.Revision(), catalogue.Digest()})});
  Call(context, CallKind::kWriteBack, StoreWrite{{std::move(transaction)}});
}

void ConfigurationSync::OnWrittenBack(Context& context,
                                      const StoreReply& reply) {
  const bool committed = reply.status == StoreStatus::kOk &&
                         reply.results.size() == 1 &&
                         reply.results[0].committed;
  // Otherwise the next poll of the head shows what is left to be written.
  context.Record("catalogue_written_back",
                 std::to_string(context.Catalogue().Revision()),
                 {{"committed", committed ? "true" : "false"}});
}

void ConfigurationSync::OnHistory(Context& context,
                                  RequestId request,
                                  const StoreReply& reply) {
  if (reply.status != StoreStatus::kOk) {
    context.Emit(AnswerOperator{request,
                                {OperatorResult::kUnavailable,
                                 "the store did not return the history", ""}});
    return;
  }
  std::vector<EditRow> edits = DecodeHistory(reply);
  edits.resize(std::min(edits.size(), kMaxHistory));
  context.Emit(
      AnswerOperator{request,
                     {OperatorResult::kOk,
                      std::to_string(edits.size()) + " edits, newest first",
                      boost::json::serialize(ToJson(edits))}});
}

void ConfigurationSync::OnPruneScan(Context& context, const StoreReply& reply) {
  if (reply.status != StoreStatus::kOk) {
    return;
  }
  const std::vector<EditRow> edits = DecodeHistory(reply);
  StoreWrite write;
  for (std::size_t index = edits.size(); index > kMaxHistory; --index) {
    if (write.transactions.size() < kMaxPrunedRows) {
      write.transactions.push_back(
          {{}, {{EditKey(edits[index - 1].edit), std::nullopt}}});
    }
  }
  if (!write.transactions.empty()) {
    Call(context, CallKind::kPrune, std::move(write));
  }
}

void ConfigurationSync::ProcessSession(Context& context,
                                       const MemberTable& members,
                                       std::uint64_t number) {
  const auto found = m_sessions.find(number);
  assert(found != m_sessions.end());
  EditSession& session = found->second;
  TrackSessionCall(context, number);
  if (auto committed = session.TakeCommitted()) {
    const std::int64_t revision = committed->Revision();
    if (revision > context.Catalogue().Revision()) {
      members.Broadcast(context, MakeDelta(*committed, revision - 1));
      PutInForce(context, std::move(committed), "commit");
    }
    if (revision % kPrunePeriod == 0) {
      Call(context, CallKind::kPruneScan, StoreScan{std::string(kEditPrefix)});
    }
  }
  if (session.StoreRevision() > context.Catalogue().Revision()) {
    StartScan(context);
  }
  if (session.IsFinished()) {
    m_sessions.erase(found);
  }
}

void ConfigurationSync::TrackSessionCall(Context& context,
                                         std::uint64_t number) {
  const std::optional<StoreRequestId> call =
      m_sessions.at(number).PendingCall();
  if (call && m_calls.count(*call) == 0) {
    m_calls[*call] = StoreCall{CallKind::kEdit, context.Now(), number};
  }
}

void ConfigurationSync::RequestCatalogue(Context& context,
                                         const MemberTable& members,
                                         const InstanceId& peer,
                                         std::int64_t known_revision,
                                         std::int64_t wanted_revision) {
  // Several peers announce a new revision at the same time. One answer is
  // sufficient, but a lost answer must be requested again.
  if (wanted_revision <= m_requested_revision &&
      context.Now() - m_last_request < kRequestInterval) {
    return;
  }
  m_requested_revision = wanted_revision;
  m_last_request = context.Now();
  members.Send(context, peer, CatalogueRequest{known_revision});
}

void ConfigurationSync::PutInForce(
    Context& context,
    std::shared_ptr<const CatalogueIndex> catalogue,
    const char* source) {
  context.Record("catalogue_in_force", std::to_string(catalogue->Revision()),
                 {{"source", source}});
  context.SetCatalogue(std::move(catalogue));
}

}  // namespace kumquatcove
