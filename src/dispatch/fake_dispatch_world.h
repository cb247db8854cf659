#ifndef DISPATCH_FAKE_DISPATCH_WORLD_H_
#define DISPATCH_FAKE_DISPATCH_WORLD_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "dispatch/dispatch_reducer.h"
#include "registry/fake_registry_codec.h"
#include "registry/fake_table.h"

namespace kumquatcove {

/** A send that reached the network. */
struct FakeSend {
  ConnectionId connection;
  UpstreamId upstream;
  std::string target;
  Duration patience{0};
  bool closed = false;
};

/**
 * One DispatchReducer with a store; the test acts as its upstreams.
 *
 * Connections open at once unless the upstream is in `unreachable` or
 * `unresponsive`; sends are recorded and answered by the test.
 */
class FakeDispatchWorld {
 public:
  explicit FakeDispatchWorld(const DispatchSettings& settings = MakeSettings())
      : m_reducer({{InstanceId("e1"), 1, RegionName("lima"), ZoneName("lima-a"),
                    "e1:1", "e1:2"},
                   settings,
                   7},
                  codec) {}

  static DispatchSettings MakeSettings() {
    DispatchSettings settings;
    settings.zones = {{"lima-a", "lima"}, {"lima-b", "lima"}};
    settings.resend_extra = 60;
    return settings;
  }

  void Start(const std::string& routes) {
    table.Put("operator/config", routes);
    Handle(Started{});
    AdvanceTime(Milliseconds(300));
  }

  void AddUpstream(const std::string& id,
                   const std::string& service,
                   const std::string& zone = "lima-a") {
    UpstreamRegistration upstream;
    upstream.id = UpstreamId(id);
    upstream.service = ServiceName(service);
    upstream.zone = ZoneName(zone);
    upstream.address = id + ":80";
    upstream.slots = 3;
    upstream.started_ms = 1;
    upstream.sequence = ++m_sequence;
    upstreams[id] = upstream;
    table.Put("upstreams/" + id, UpstreamRow(upstream));
  }

  /** Advances the time in ticks. */
  void AdvanceTime(Duration time) {
    for (Duration passed{0}; passed < time; passed += kTickInterval) {
      m_now += kTickInterval;
      Handle(Tick{});
    }
  }

  /** Simulates a suspended machine: advances the time without events. */
  void Suspend(Duration time) { m_now += time; }

  /** Delivers a heartbeat of another instance. */
  void ReceiveHeartbeat(const std::string& name, const std::string& region) {
    Gossip heartbeat;
    heartbeat.records.push_back({InstanceId(name), 1, ++m_heartbeats,
                                 RegionName(region), ZoneName(region + "-a"),
                                 name + ":1", name + ":2",
                                 InstancePhase::kServing, 0});
    Handle(PeerMessageArrived{InstanceId(name), {}, heartbeat});
  }

  RequestId Request(const std::string& target,
                    Duration deadline = Seconds(2),
                    const std::string& object = "") {
    RequestArrived event;
    event.request = RequestId{++m_requests};
    event.http.method = "GET";
    event.http.target = target;
    event.http.host = "a.example";
    event.http.deadline = deadline;
    event.attempt = "attempt-" + std::to_string(m_requests);
    event.object = object;
    Handle(event);
    return event.request;
  }

  UpstreamAnswered Answer(std::int32_t status) const {
    UpstreamAnswered answer;
    answer.answer.status = status;
    answer.answer.body = "body";
    return answer;
  }

  /** Answers send `index`. */
  void Reply(std::size_t index, UpstreamAnswered answer) {
    answer.connection = sends.at(index).connection;
    Handle(answer);
  }
  void ReplyNotExecuted(std::size_t index) {
    UpstreamAnswered answer = Answer(503);
    answer.not_executed = true;
    Reply(index, answer);
  }
  void Break(std::size_t index) {
    Handle(ConnectionLost{sends.at(index).connection, false});
  }

  void Handle(const Event& event) {
    std::vector<Event> events = {event};
    while (!events.empty()) {
      const std::vector<Effect> effects = m_reducer.Reduce(
          events.front(), {m_now, WallTime{m_now.time_since_epoch().count()}});
      events.erase(events.begin());
      table.Take(effects);
      for (const Effect& effect : effects) {
        Execute(effect, events);
      }
      while (const auto reply = store_up ? table.Reply()
                                         : table.Reply(StoreStatus::kRefused)) {
        events.emplace_back(*reply);
        if (!store_up) {
          break;
        }
      }
    }
  }

  const CallerAnswer& AnswerOf(RequestId id) const {
    return answers.at(id).answer;
  }

  FakeRegistryCodec codec;
  FakeTable table;
  bool store_up = true;
  std::map<std::string, UpstreamRegistration> upstreams;
  std::set<UpstreamId> unreachable;
  /** Connections to these are neither opened nor lost. */
  std::set<UpstreamId> unresponsive;
  std::vector<FakeSend> sends;
  std::map<RequestId, AnswerCaller> answers;
  std::vector<SendPeer> peer_messages;
  std::optional<LookupAnswer> lookup;
  bool ready = false;
  CallerIntake intake = CallerIntake::kOpen;
  bool exited = false;

 private:
  void Execute(const Effect& effect, std::vector<Event>& events) {
    if (const auto* open = std::get_if<OpenConnection>(&effect)) {
      if (unresponsive.contains(open->upstream)) {
        return;
      }
      if (unreachable.contains(open->upstream)) {
        events.emplace_back(ConnectionLost{open->connection, true});
      } else {
        events.emplace_back(ConnectionOpened{open->connection});
      }
    } else if (const auto* send = std::get_if<SendUpstream>(&effect)) {
      sends.push_back({send->connection, send->upstream, send->http.target,
                       send->patience, false});
    } else if (const auto* close = std::get_if<CloseConnection>(&effect)) {
      for (FakeSend& open_send : sends) {
        open_send.closed =
            open_send.closed || open_send.connection == close->connection;
      }
    } else if (const auto* answer = std::get_if<AnswerCaller>(&effect)) {
      answers.emplace(answer->request, *answer);
    } else if (const auto* peer = std::get_if<SendPeer>(&effect)) {
      peer_messages.push_back(*peer);
    } else if (const auto* found = std::get_if<AnswerLookup>(&effect)) {
      lookup = found->answer;
    } else if (const auto* readiness = std::get_if<SetReadiness>(&effect)) {
      ready = readiness->ready;
    } else if (const auto* limits = std::get_if<SetCallerLimits>(&effect)) {
      intake = limits->intake;
    } else if (std::holds_alternative<Exit>(effect)) {
      exited = true;
    }
  }

  DispatchReducer m_reducer;
  MonotonicTime m_now{Seconds(100)};
  std::uint64_t m_requests = 0;
  std::int64_t m_heartbeats = 0;
  std::int64_t m_sequence = 0;
};

}  // namespace kumquatcove

#endif  // DISPATCH_FAKE_DISPATCH_WORLD_H_
