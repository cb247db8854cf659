#ifndef CLAIMS_CLAIM_WORLD_H_
#define CLAIMS_CLAIM_WORLD_H_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "base/random.h"
#include "claims/claim_table.h"
#include "protocol/context.h"
#include "protocol/event.h"
#include "protocol/fake_store.h"

namespace kumquatcove {

/**
 * Simulation of several claim tables, their shared store and upstreams, for
 * tests.
 *
 * Each granted request is sent after a random delay. The upstream answers it,
 * resets the connection after the request was sent, or reports that it didn't
 * execute it. All sends and answers are checked when they happen; `violation`
 * describes the first violation of an invariant.
 */
class ClaimWorld {
 public:
  /** Behaviour of the upstream for the next requests. */
  enum class Upstream { kRuns, kResets, kNotExecuted, kMixed };

  struct Request {
    int instance = 0;
    ClaimKey key;
    MonotonicTime deadline;
    bool relayed = false;
    /** Empty until the verdict arrives, which it never does if the instance was
     * killed before. */
    std::vector<ClaimVerdict> verdicts;
    bool killed = false;
    bool sent = false;
  };

  ClaimWorld(int instances, std::uint64_t seed)
      : store(seed + 1), m_random(seed), m_nodes(instances) {
    for (int i = 0; i < instances; ++i) {
      Start(i);
    }
    // Lets the instances read what they need before the first request.
    Advance(Milliseconds(100));
  }

  RequestId Begin(int instance, int key, Duration timeout, int content = 1) {
    return BeginKey(instance, MakeKey(key), timeout, content, false);
  }

  void Kill(int instance) {
    for (auto& [id, request] : requests) {
      if (request.instance == instance && request.verdicts.empty()) {
        request.killed = true;
        m_pending.erase(id);
      }
    }
    Start(instance);
  }

  void SetFrozen(int instance, bool frozen) {
    Node& node = m_nodes[static_cast<std::size_t>(instance)];
    if (node.frozen && !frozen) {
      node.frozen = false;
      Prepare(node);
      const bool tick_first = m_random.NextBelow(2) == 0;
      if (tick_first) {
        Tick(instance);
      }
      for (const auto& [id, reply] : std::exchange(node.inbox, {})) {
        node.table.OnStoreReply(*node.context, id, reply);
        ProcessOutput(instance);
      }
    }
    node.frozen = frozen;
  }
  bool IsFrozen(int instance) const {
    return m_nodes[static_cast<std::size_t>(instance)].frozen;
  }

  void SetInstanceFault(int instance, StoreFault fault) {
    store.SetClientFault(m_nodes[static_cast<std::size_t>(instance)].client,
                         fault);
  }

  void Advance(Duration duration) {
    const MonotonicTime end = now + duration;
    while (now < end) {
      now += kTickInterval;
      for (const FakeStore::Delivery& due : store.Advance(now)) {
        Deliver(due);
      }
      for (int i = 0; i < static_cast<int>(m_nodes.size()); ++i) {
        if (!IsFrozen(i)) {
          Tick(i);
        }
      }
      for (const RequestId id : m_pending) {
        const Request& request = requests.at(id);
        Check(request.deadline >= now || IsFrozen(request.instance),
              "no verdict before the deadline");
      }
    }
  }

  ClaimTable& Table(int instance) {
    return m_nodes[static_cast<std::size_t>(instance)].table;
  }
  Context& ContextOf(int instance) {
    return *m_nodes[static_cast<std::size_t>(instance)].context;
  }
  static ClaimKey MakeKey(int key) {
    return {ServiceName("caja"), "key " + std::to_string(key)};
  }
  const ClaimVerdict* VerdictOf(RequestId id) const {
    const Request& request = requests.at(id);
    return request.verdicts.empty() ? nullptr : &request.verdicts[0];
  }

  FakeStore store;
  Upstream upstream = Upstream::kRuns;
  /** Whether granted requests are sent and others relayed to their owner. */
  bool automatic = true;
  /** Maximum time between the grant and the send. */
  Duration slot_wait = Milliseconds(300);
  Duration run_time = Milliseconds(500);
  MonotonicTime now{Seconds(1000)};
  std::map<RequestId, Request> requests;
  /** Number of sends of each key, less those that the upstream reported as not
   * executed. */
  std::map<ClaimKey, int> possible_runs;
  std::map<ClaimKey, int> sends;
  std::string violation;
  std::size_t max_batch_rows = 0;
  int max_writes_in_flight = 0;
  int max_writes_per_second = 0;

  /** Returns the claim rows in the store. */
  std::vector<StoreRow> Claims() const {
    std::vector<StoreRow> rows;
    for (const auto& [key, row] : store.Rows()) {
      if (key.starts_with("claims/")) {
        rows.push_back(row);
      }
    }
    return rows;
  }

 private:
  struct Attempt {
    RequestId request;
    ClaimKey key;
    MonotonicTime act_at;
    bool sent = false;
    Upstream behaviour = Upstream::kRuns;
  };
  struct Node {
    std::unique_ptr<Context> context;
    ClaimTable table;
    int client = 0;
    bool frozen = false;
    std::vector<std::pair<StoreRequestId, StoreReply>> inbox;
    std::vector<Attempt> attempts;
    std::set<StoreRequestId> writes_in_flight;
    std::deque<MonotonicTime> writes;
  };

  void Start(int instance) {
    Node node;
    node.client = ++m_clients;
    Identity identity;
    identity.instance = InstanceId("e" + std::to_string(instance));
    identity.incarnation = node.client;
    node.context = std::make_unique<Context>(
        identity, static_cast<std::uint64_t>(node.client));
    m_nodes[static_cast<std::size_t>(instance)] = std::move(node);
  }

  void Prepare(Node& node) const {
    node.context->SetNow({now, WallTime{now.time_since_epoch().count() +
                                        1'700'000'000'000'000}});
  }

  RequestId BeginKey(int instance,
                     const ClaimKey& key,
                     Duration timeout,
                     int content,
                     bool relayed) {
    const RequestId id{++m_requests};
    m_pending.insert(id);
    const bool resend = !m_begun.insert(key).second;
    requests[id] = {instance, key, now + timeout, relayed, {}, false, false};
    Node& node = m_nodes[static_cast<std::size_t>(instance)];
    Prepare(node);
    node.table.Begin(*node.context, id, key,
                     static_cast<std::uint64_t>(content), now + timeout,
                     resend);
    ProcessOutput(instance);
    return id;
  }

  void Deliver(const FakeStore::Delivery& due) {
    for (int i = 0; i < static_cast<int>(m_nodes.size()); ++i) {
      Node& node = m_nodes[static_cast<std::size_t>(i)];
      if (node.client != due.client) {
        continue;
      }
      if (node.frozen) {
        node.inbox.emplace_back(due.id, due.reply);
        return;
      }
      Prepare(node);
      node.writes_in_flight.erase(due.id);
      node.table.OnStoreReply(*node.context, due.id, due.reply);
      ProcessOutput(i);
    }
  }

  void Tick(int instance) {
    Node& node = m_nodes[static_cast<std::size_t>(instance)];
    Prepare(node);
    node.table.OnTick(*node.context);
    ProcessOutput(instance);
    for (Attempt& attempt : std::exchange(node.attempts, {})) {
      if (attempt.act_at > now) {
        node.attempts.push_back(attempt);
      } else if (attempt.sent) {
        FinishAttempt(node, attempt);
      } else {
        Send(node, attempt);
      }
    }
    ProcessOutput(instance);
  }

  void Send(Node& node, Attempt attempt) {
    // The coordinator aborts some requests before the send.
    const bool abandoned = m_random.NextBelow(8) == 0;
    if (abandoned || !node.table.MarkSent(*node.context, attempt.key)) {
      Finish(node, attempt, Outcome::kDidNotRun, "");
      return;
    }
    attempt.sent = true;
    attempt.act_at = now + RandomBelow(run_time);
    attempt.behaviour = upstream == Upstream::kMixed
                            ? static_cast<Upstream>(m_random.NextBelow(3))
                            : upstream;
    Request& request = requests.at(attempt.request);
    request.sent = true;
    Check(now < request.deadline, "sent after the deadline");
    Check(++possible_runs[attempt.key] <= 1, "sent twice");
    ++sends[attempt.key];
    node.attempts.push_back(attempt);
  }

  void FinishAttempt(Node& node, Attempt attempt) {
    switch (attempt.behaviour) {
      case Upstream::kRuns:
      case Upstream::kMixed:
        m_answers[attempt.key] = std::to_string(attempt.request.number);
        Finish(node, attempt, Outcome::kRan, m_answers[attempt.key]);
        break;
      case Upstream::kResets:
        Finish(node, attempt, Outcome::kUnknown, "");
        break;
      case Upstream::kNotExecuted:
        node.table.MarkNotExecuted(*node.context, attempt.key);
        --possible_runs[attempt.key];
        requests.at(attempt.request).sent = false;
        if (m_random.NextBelow(2) == 0) {
          attempt.sent = false;
          node.attempts.push_back(attempt);
        } else {
          Finish(node, attempt, Outcome::kDidNotRun, "");
        }
        break;
    }
  }

  void Finish(Node& node,
              const Attempt& attempt,
              Outcome outcome,
              const std::string& body) {
    const Request& request = requests.at(attempt.request);
    Check(outcome != Outcome::kDidNotRun || !request.sent,
          "did-not-run answered for a sent request");
    node.table.Finish(*node.context, attempt.key,
                      {outcome, RefusalReason::kNone, {200, {}, body}});
  }

  void ProcessOutput(int instance) {
    Node& node = m_nodes[static_cast<std::size_t>(instance)];
    for (const Effect& effect : node.context->TakeEffects()) {
      if (const auto* call = std::get_if<CallStore>(&effect)) {
        RecordWrite(node, *call);
        store.Call(node.client, *call, now);
      }
    }
    for (const ClaimVerdict& verdict : node.table.TakeVerdicts()) {
      OnVerdict(instance, verdict);
    }
  }

  void RecordWrite(Node& node, const CallStore& call) {
    const auto* write = std::get_if<StoreWrite>(&call.operation);
    if (write == nullptr) {
      return;
    }
    max_batch_rows = std::max(max_batch_rows, write->transactions.size());
    node.writes_in_flight.insert(call.id);
    max_writes_in_flight = std::max(
        max_writes_in_flight, static_cast<int>(node.writes_in_flight.size()));
    node.writes.push_back(now);
    while (node.writes.front() < now - Seconds(1)) {
      node.writes.pop_front();
    }
    max_writes_per_second =
        std::max(max_writes_per_second, static_cast<int>(node.writes.size()));
  }

  void OnVerdict(int instance, const ClaimVerdict& verdict) {
    Request& request = requests.at(verdict.request);
    request.verdicts.push_back(verdict);
    m_pending.erase(verdict.request);
    Check(request.verdicts.size() == 1, "more than one verdict");
    switch (verdict.kind) {
      case ClaimVerdictKind::kGranted:
        Check(possible_runs[request.key] == 0,
              "granted although the key may have run");
        if (automatic) {
          m_nodes[static_cast<std::size_t>(instance)].attempts.push_back(
              {verdict.request, request.key, now + RandomBelow(slot_wait)});
        }
        break;
      case ClaimVerdictKind::kAnswered:
        CheckAnswer(request, verdict.answer);
        break;
      case ClaimVerdictKind::kOwnedElsewhere:
        if (automatic) {
          Relay(request, verdict);
        }
        break;
      case ClaimVerdictKind::kKeyReused:
      case ClaimVerdictKind::kUnavailable:
        break;
    }
  }

  void CheckAnswer(const Request& request, const CallerAnswer& answer) {
    if (answer.outcome == Outcome::kRan) {
      Check(m_answers.count(request.key) == 1 &&
                m_answers[request.key] == answer.http.body,
            "answer differs from the upstream's");
    }
    Check(answer.outcome != Outcome::kDidNotRun ||
              possible_runs[request.key] == 0,
          "did-not-run answered for a key that was sent");
  }

  void Relay(const Request& request, const ClaimVerdict& verdict) {
    for (int i = 0; i < static_cast<int>(m_nodes.size()); ++i) {
      const Identity& owner =
          m_nodes[static_cast<std::size_t>(i)].context->Self();
      const bool reachable = owner.instance == verdict.owner &&
                             owner.incarnation == verdict.owner_incarnation &&
                             !IsFrozen(i) && !request.relayed;
      if (reachable && request.deadline > now) {
        BeginKey(i, request.key, request.deadline - now, 1, true);
        return;
      }
    }
  }

  Duration RandomBelow(Duration bound) {
    return Duration(static_cast<std::int64_t>(
        m_random.NextBelow(static_cast<std::uint64_t>(bound.count()))));
  }

  void Check(bool holds, const std::string& problem) {
    if (!holds && violation.empty()) {
      violation = problem;
    }
  }

  Random m_random;
  std::vector<Node> m_nodes;
  std::map<ClaimKey, std::string> m_answers;
  std::set<RequestId> m_pending;
  /** Keys that callers have sent. */
  std::set<ClaimKey> m_begun;
  int m_clients = 0;
  std::uint64_t m_requests = 0;
};

}  // namespace kumquatcove

#endif  // CLAIMS_CLAIM_WORLD_H_
