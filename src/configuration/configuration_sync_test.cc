#include "configuration/configuration_sync.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <boost/json/parse.hpp>

#include "base/json_codec.h"
#include "configuration/fake_cluster.h"

namespace kumquatcove {
namespace {

ApplyCommand Edit(const std::string& id,
                  std::int64_t expected,
                  std::int32_t priority,
                  const std::string& service = "s1") {
  return {EditId(id), {{expected, TestService(service, priority)}}};
}

/** Commits the topology and a service `s1` as revision 1. */
void CommitFirst(FakeCluster& cluster) {
  cluster.Run(Seconds(1));
  const OperatorAnswer answer = cluster.Await(cluster.Command(
      0, "ops",
      ApplyCommand{EditId("first"),
                   {{0, TestTopology()}, {0, TestService("s1", 0)}}}));
  REQUIRE_MESSAGE(answer.result == OperatorResult::kOk, answer.message);
}

bool AllHave(FakeCluster& cluster, std::int64_t revision) {
  return std::all_of(cluster.Nodes().begin(), cluster.Nodes().end(),
                     [&](const FakeNode& node) {
                       return !node.running || node.Revision() >= revision;
                     });
}

bool IsStored(FakeCluster& cluster, const std::string& edit) {
  return cluster.Store().Rows().count(EditKey(EditId(edit))) > 0;
}

FakeStore::Faults Down() {
  FakeStore::Faults faults;
  faults.down = true;
  return faults;
}

/** Randomly kills, starts and freezes nodes, cuts off a region, changes the
 * faults of the store and sends edits. */
class FaultScript {
 public:
  FaultScript(FakeCluster& cluster, std::uint64_t seed)
      : m_cluster(cluster), m_random(seed) {}

  void Step(int step) {
    const auto target = static_cast<std::size_t>(Below(7));
    const FakeNode& node = m_cluster.Nodes()[target];
    switch (Below(600)) {
      case 0:
        m_cluster.Kill(target);
        break;
      case 1:
      case 2:
        if (!node.running) {
          m_cluster.Launch(target);
        }
        break;
      case 3:
        m_cluster.Freeze(target, Milliseconds(Below(7000)));
        break;
      case 4:
        m_cut = !m_cut;
        m_cluster.SetCut(1, m_cut);
        break;
      case 5:
        m_cluster.Store().SetFaults(Down());
        break;
      case 6:
        m_cluster.Store().SetFaults({false, Below(300), Below(300), Below(300),
                                     false, Milliseconds(Below(1500))});
        break;
      case 7:
      case 8:
        m_cluster.Store().SetFaults({});
        break;
      default:
        if (Below(30) == 0 && node.running) {
          // Several nodes edit two entries concurrently from the same revision.
          const std::string service = Below(2) == 0 ? "s1" : "s2";
          const CatalogueEntry* entry =
              node.context->Catalogue().FindEntry(service);
          const std::string id = "edit" + std::to_string(step);
          m_edits[m_cluster.Command(
              target, "ops",
              Edit(id, entry == nullptr ? 0 : entry->revision, step,
                   service))] = id;
        }
    }
  }

  bool IsCut() const { return m_cut; }

  /** Returns the first edit whose answer contradicts its row, or whose revision
   * another edit has too. */
  std::string FindWrongAnswer() {
    std::set<std::int64_t> revisions;
    for (const auto& [request, id] : m_edits) {
      const bool stored = IsStored(m_cluster, id);
      const auto answer = m_cluster.Answers().find(request);
      if (answer != m_cluster.Answers().end() &&
          answer->second.message.find("unknown") != 0 &&
          stored != (answer->second.result == OperatorResult::kOk)) {
        return id + ": " + answer->second.message;
      }
      if (stored && !revisions
                         .insert(DecodeEditRow(m_cluster.Store().Rows().at(
                                                   EditKey(EditId(id))))
                                     ->revision)
                         .second) {
        return id + " has the revision of another edit";
      }
    }
    return "";
  }

 private:
  std::int64_t Below(std::uint64_t bound) {
    return static_cast<std::int64_t>(m_random.NextBelow(bound));
  }

  FakeCluster& m_cluster;
  Random m_random;
  bool m_cut = false;
  std::map<RequestId, std::string> m_edits;
};

/** Checks the revisions in force after each step. */
class RevisionMonitor {
 public:
  explicit RevisionMonitor(FakeCluster& cluster)
      : m_cluster(cluster), m_observed(cluster.Nodes().size()) {}

  /** Returns a description of a revision that decreased at an instance or its
   * replacement, or that stayed lower than a connected instance's for 7 s. */
  std::string FindFault(bool cut) {
    std::int64_t settled = 0;
    for (std::size_t index = 0; index < m_observed.size(); ++index) {
      const FakeNode& node = m_cluster.Nodes()[index];
      if (!node.running || !node.configuration.IsReady()) {
        continue;
      }
      ObservedRevision& observed = m_observed[index];
      if (node.Revision() < observed.revision &&
          HasNoSource(node, observed, cut)) {
        observed = {node.Revision(), m_cluster.Now(), node.process_number};
      }
      if (node.Revision() < observed.revision) {
        return node.identity.instance.Text() + " went back";
      }
      observed.process_number = node.process_number;
      if (node.Revision() > observed.revision) {
        observed = {node.Revision(), m_cluster.Now(), node.process_number};
      }
      if (m_cluster.Now() - observed.since > Seconds(7) &&
          m_cluster.IsUndisturbed(node, Seconds(7))) {
        settled = std::max(settled, observed.revision);
      }
    }
    for (const FakeNode& node : m_cluster.Nodes()) {
      if (!cut && m_cluster.IsUndisturbed(node, Seconds(7)) &&
          node.Revision() < settled) {
        return node.identity.instance.Text() + " stayed behind";
      }
    }
    return "";
  }

 private:
  struct ObservedRevision {
    std::int64_t revision = 0;
    MonotonicTime since;
    std::uint64_t process_number = 0;
  };

  /** Returns whether a replacement could reach neither the store nor an
   * instance with a higher revision. It must serve in this case (3.6, 3.10). */
  bool HasNoSource(const FakeNode& node,
                   const ObservedRevision& observed,
                   bool cut) {
    return node.process_number != observed.process_number &&
           !node.configuration.IsStoreReachable() &&
           std::none_of(
               m_cluster.Nodes().begin(), m_cluster.Nodes().end(),
               [&](const FakeNode& other) {
                 const bool connected =
                     !cut || other.identity.region == node.identity.region;
                 return connected && other.Revision() > node.Revision() &&
                        m_cluster.IsUndisturbed(other, Seconds(1));
               });
  }

  FakeCluster& m_cluster;
  std::vector<ObservedRevision> m_observed;
};

}  // namespace

TEST_CASE(
    "A committed edit is in force everywhere within 7 s even if the store goes "
    "down right after the commit and messages are lost") {
  FakeCluster cluster(9, {300}, 1);
  CommitFirst(cluster);
  const RequestId request = cluster.Command(4, "ops", Edit("second", 1, 5));
  while (!IsStored(cluster, "second")) {
    cluster.Step();
  }
  cluster.Run(Milliseconds(10));
  cluster.Store().SetFaults(Down());
  cluster.Run(Seconds(7));
  CHECK(AllHave(cluster, 2));
  CHECK(cluster.Answers().at(request).result == OperatorResult::kOk);
}

TEST_CASE(
    "An edit from an outdated revision is refused and the answer contains both "
    "versions, so that no operator overwrites another's edit") {
  FakeCluster cluster(3, {}, 2);
  CommitFirst(cluster);
  REQUIRE(cluster.Await(cluster.Command(1, "ops", Edit("a", 1, 7))).result ==
          OperatorResult::kOk);
  const OperatorAnswer answer =
      cluster.Await(cluster.Command(2, "ops", Edit("b", 1, 9)));
  CHECK(answer.result == OperatorResult::kConflict);
  const auto report =
      FromJson<ConflictReport>(boost::json::parse(answer.document));
  REQUIRE(report.conflicts.size() == 1);
  CHECK(report.conflicts[0].expected_revision == 1);
  CHECK(report.conflicts[0].current->revision == 2);
  CHECK(report.conflicts[0].current->body == EntryBody(TestService("s1", 7)));
  CHECK(report.conflicts[0].proposed == EntryBody(TestService("s1", 9)));
  CHECK_FALSE(IsStored(cluster, "b"));
}

TEST_CASE(
    "Only the owner may edit an entry, and no invalid edit is committed") {
  FakeCluster cluster(3, {}, 3);
  CommitFirst(cluster);
  CHECK(cluster.Await(cluster.Command(1, "other", Edit("a", 1, 7))).result ==
        OperatorResult::kForbidden);
  ServiceEntry stolen = TestService("s1", 7);
  stolen.owner = OperatorName("other");
  CHECK(cluster
            .Await(cluster.Command(1, "other",
                                   ApplyCommand{EditId("b"), {{1, stolen}}}))
            .result == OperatorResult::kForbidden);
  ServiceEntry lost = TestService("s2", 7);
  lost.upstreams[0].zone = ZoneName("nowhere");
  CHECK(cluster
            .Await(cluster.Command(1, "ops",
                                   ApplyCommand{EditId("c"), {{0, lost}}}))
            .result == OperatorResult::kInvalid);
  for (const std::string id : {"", "a/b", "a b"}) {
    CHECK(cluster.Await(cluster.Command(1, "ops", Edit(id, 1, 7))).result ==
          OperatorResult::kInvalid);
  }
  CHECK(cluster.Await(cluster.Command(1, "ops", ApplyCommand{EditId("d"), {}}))
            .result == OperatorResult::kInvalid);
  cluster.Run(Seconds(2));
  CHECK(cluster.Nodes()[2].Revision() == 1);
}

TEST_CASE(
    "An edit whose reply was lost is found by its edit id, and repeating it "
    "returns the result of the first") {
  FakeCluster cluster(3, {}, 4);
  CommitFirst(cluster);
  FakeStore::Faults faults;
  faults.lost_reply_permille = 1000;
  const RequestId request = cluster.Command(1, "ops", Edit("a", 1, 7));
  cluster.Run(Milliseconds(20));
  cluster.Store().SetFaults(faults);
  while (!IsStored(cluster, "a")) {
    cluster.Step();
  }
  cluster.Store().SetFaults({});
  const OperatorAnswer answer = cluster.Await(request);
  CHECK(answer.result == OperatorResult::kOk);
  CHECK(FromJson<CommitReport>(boost::json::parse(answer.document)).revision ==
        2);
  CHECK(cluster.Await(cluster.Command(2, "ops", Edit("a", 1, 7))).result ==
        OperatorResult::kOk);
  CHECK(cluster.Await(cluster.Command(2, "ops", Edit("a", 1, 8))).result ==
        OperatorResult::kInvalid);
  CHECK(AllHave(cluster, 2));
  CHECK(cluster.Nodes()[0].Revision() == 2);
}

TEST_CASE(
    "An edit without a known result is answered in time, and the answer states "
    "whether it may still take effect") {
  FakeCluster cluster(3, {}, 5);
  CommitFirst(cluster);
  cluster.Store().SetFaults(Down());
  const MonotonicTime start = cluster.Now();
  OperatorAnswer answer =
      cluster.Await(cluster.Command(1, "ops", Edit("a", 1, 7)));
  CHECK(answer.result == OperatorResult::kUnavailable);
  CHECK(answer.message.find("not committed") == 0);
  CHECK(cluster.Now() - start <= kEditTimeout + kTickInterval);
  cluster.Store().SetFaults({});
  FakeStore::Faults late;
  late.late_effect_permille = 1000;
  late.writes_only = true;
  cluster.Store().SetFaults(late);
  const RequestId request = cluster.Command(1, "ops", Edit("b", 1, 7));
  cluster.Run(Milliseconds(100));
  cluster.Store().SetFaults(Down());
  answer = cluster.Await(request);
  CHECK(answer.result == OperatorResult::kUnavailable);
  CHECK(answer.message.find("unknown") == 0);
  cluster.Store().SetFaults({});
  CHECK(cluster.Await(cluster.Command(2, "ops", Edit("b", 1, 7))).result ==
        OperatorResult::kOk);
}

TEST_CASE(
    "A node that starts while the store is down serves the peers' highest "
    "revision after 2 s, and a node that reaches no peer never serves") {
  FakeCluster cluster(4, {}, 6);
  CommitFirst(cluster);
  cluster.Kill(3);
  cluster.Store().SetFaults(Down());
  cluster.Run(Seconds(1));
  cluster.Launch(3);
  cluster.Run(Milliseconds(1900));
  CHECK_FALSE(cluster.Nodes()[3].configuration.IsReady());
  cluster.Run(Milliseconds(400));
  CHECK(cluster.Nodes()[3].configuration.IsReady());
  CHECK(cluster.Nodes()[3].Revision() == 1);
  for (std::size_t index = 0; index < 4; ++index) {
    cluster.Kill(index);
  }
  cluster.Launch(0);
  cluster.Launch(1);
  cluster.Run(Seconds(20));
  CHECK_FALSE(cluster.Nodes()[0].configuration.IsReady());
  CHECK_FALSE(cluster.Nodes()[1].configuration.IsReady());
  cluster.Store().SetFaults({});
  cluster.Run(Seconds(2));
  CHECK(cluster.Nodes()[0].configuration.IsReady());
  CHECK(cluster.Nodes()[0].Revision() == 1);
}

TEST_CASE(
    "A node without contact for 5 s is isolated until it has caught up, and a "
    "partitioned region continues to serve") {
  FakeCluster cluster(4, {}, 7);
  CommitFirst(cluster);
  cluster.Freeze(1, Seconds(8));
  cluster.Run(Seconds(1));
  REQUIRE(cluster.Await(cluster.Command(0, "ops", Edit("a", 1, 7))).result ==
          OperatorResult::kOk);
  while (cluster.Now() < cluster.Nodes()[1].frozen_until) {
    cluster.Step();
  }
  const FakeNode& thawed = cluster.Nodes()[1];
  CHECK(thawed.configuration.IsIsolated());
  while (thawed.configuration.IsIsolated()) {
    CHECK(thawed.members.IsRecoveringFromPause());
    cluster.Step();
  }
  CHECK(thawed.Revision() == 2);

  cluster.Store().SetFaults(Down());
  cluster.SetCut(0, true);
  cluster.SetCut(1, true);
  cluster.Run(Seconds(7));
  CHECK(cluster.Nodes()[1].configuration.IsIsolated());
  CHECK_FALSE(cluster.Nodes()[0].configuration.IsIsolated());
  CHECK_FALSE(cluster.Nodes()[3].configuration.IsIsolated());
  cluster.SetCut(1, false);
  cluster.SetCut(0, false);
  cluster.Run(Seconds(2));
  CHECK_FALSE(cluster.Nodes()[1].configuration.IsIsolated());
}

TEST_CASE(
    "A catalogue that differs at the same revision is read again from the "
    "store") {
  // Region r1 has nodes 1, 4, 7 and 10, of which only two poll the store.
  FakeCluster cluster(12, {}, 8);
  CommitFirst(cluster);
  CatalogueSnapshot damaged =
      cluster.Nodes()[0].context->Catalogue().Snapshot();
  damaged.entries.pop_back();
  for (const std::size_t index : {1, 4, 7, 10}) {
    cluster.Nodes()[index].context->SetCatalogue(
        std::make_shared<const CatalogueIndex>(damaged));
  }
  cluster.Run(Seconds(3));
  for (const FakeNode& node : cluster.Nodes()) {
    CHECK(node.context->Catalogue().Digest() ==
          cluster.Nodes()[0].context->Catalogue().Digest());
    CHECK(node.context->Catalogue().Snapshot().entries.size() == 2);
  }
}

// Guards against edits that are lost with the store's newest rows, and against
// a store that refuses all edits since it is behind.
TEST_CASE(
    "Edits that a restored store has lost stay in force, are written back and "
    "found by instances that start later, and new edits are accepted") {
  FakeCluster cluster(4, {}, 10);
  CommitFirst(cluster);
  cluster.Store().TakeCopy();
  for (const std::int32_t edit : {1, 2}) {
    REQUIRE(cluster
                .Await(cluster.Command(
                    1, "ops", Edit("e" + std::to_string(edit), edit, edit)))
                .result == OperatorResult::kOk);
  }
  cluster.Store().RestoreCopy();
  cluster.Run(Seconds(3));
  CHECK(cluster.Nodes()[0].Revision() == 3);
  for (std::size_t index = 0; index < 4; ++index) {
    cluster.Kill(index);
  }
  cluster.Launch(2);
  cluster.Run(Seconds(2));
  CHECK(cluster.Nodes()[2].Revision() == 3);
  CHECK(cluster.Nodes()[2].configuration.IsReady());
  const OperatorAnswer answer =
      cluster.Await(cluster.Command(2, "ops", Edit("e3", 3, 9)));
  CHECK_MESSAGE(answer.result == OperatorResult::kOk, answer.message);
  CHECK(cluster.Nodes()[2].Revision() == 4);
}

TEST_CASE(
    "An edit right after a restore never gets the revision of one that is in "
    "force") {
  FakeCluster cluster(4, {}, 11);
  CommitFirst(cluster);
  cluster.Store().TakeCopy();
  REQUIRE(cluster.Await(cluster.Command(1, "ops", Edit("a", 1, 1))).result ==
          OperatorResult::kOk);
  cluster.Store().RestoreCopy();
  const RequestId request = cluster.Command(0, "ops", Edit("b", 1, 2));
  CHECK(cluster.Await(request).result != OperatorResult::kOk);
  cluster.Run(Seconds(2));
  for (const FakeNode& node : cluster.Nodes()) {
    CHECK(node.Revision() == 2);
    CHECK(node.context->Catalogue().Digest() ==
          cluster.Nodes()[1].context->Catalogue().Digest());
  }
}

TEST_CASE(
    "The history contains the newest 200 edits and old edit rows are removed, "
    "so that the table doesn't grow without bound") {
  FakeCluster cluster(1, {}, 9);
  CommitFirst(cluster);
  for (std::int32_t edit = 1; edit <= 260; ++edit) {
    REQUIRE(cluster
                .Await(cluster.Command(
                    0, "ops", Edit("e" + std::to_string(edit), edit, edit)))
                .result == OperatorResult::kOk);
  }
  const auto history = FromJson<std::vector<EditRow>>(boost::json::parse(
      cluster.Await(cluster.Command(0, "ops", HistoryCommand{})).document));
  REQUIRE(history.size() == kMaxHistory);
  CHECK(history.front().edit == EditId("e260"));
  CHECK(history.back().edit == EditId("e61"));
  CHECK(cluster.Store().Rows().size() <= kMaxHistory + 20 + 3);
  const auto snapshot = FromJson<CatalogueSnapshot>(boost::json::parse(
      cluster.Await(cluster.Command(0, "ops", GetCatalogueCommand{}))
          .document));
  CHECK(snapshot.revision == 261);
}

TEST_CASE(
    "Under random faults and concurrent edits, answers are correct, one of the "
    "concurrent edits is committed, and revisions neither decrease nor stay "
    "behind for 7 s") {
  CHECK(rc::check([](std::uint64_t seed) {
    FakeCluster cluster(7, {static_cast<std::int64_t>(seed % 100)}, seed);
    CommitFirst(cluster);
    FaultScript script(cluster, seed);
    RevisionMonitor watch(cluster);
    for (int step = 0; step < 3000; ++step) {
      script.Step(step);
      cluster.Step();
      RC_ASSERT(watch.FindFault(script.IsCut()) == "");
    }
    cluster.Store().SetFaults({});
    cluster.Run(Seconds(12));
    RC_ASSERT(script.FindWrongAnswer() == "");
  }));
}

}  // namespace kumquatcove
