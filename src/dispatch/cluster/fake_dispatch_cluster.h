#ifndef DISPATCH_CLUSTER_FAKE_DISPATCH_CLUSTER_H_
#define DISPATCH_CLUSTER_FAKE_DISPATCH_CLUSTER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/random.h"
#include "dispatch/cluster/fake_rated_upstream.h"
#include "dispatch/dispatch_reducer.h"
#include "registry/fake_registry_codec.h"
#include "registry/fake_table.h"

namespace kumquatcove {

/** Requests that callers send to one instance. */
struct FakeLoad {
  double requests_per_second = 0;
  std::string target;
  /** Number of different objects that the requests concern. */
  int objects = 1;
  Duration deadline = Seconds(2);
};

/** Ends of the requests of one instance. */
struct FakeOutcomes {
  int answered = 0;
  int refused = 0;
  /** Refusals because no route is known for the request. */
  int unknown_route = 0;
  /** Longest time from the arrival of a request to its refusal. */
  Duration slowest_refusal{0};
};

/**
 * Several DispatchReducers that share a store, a network with delays and
 * upstreams, on one virtual clock.
 *
 * Instances and upstreams are named by the test; the region of a zone is its
 * name up to the last dash.
 */
class FakeDispatchCluster {
 public:
  static constexpr Duration kZoneDelay = Duration(500);
  static constexpr Duration kRegionDelay = Milliseconds(12);

  FakeDispatchCluster(const std::vector<std::string>& zones,
                      std::uint64_t seed);

  void AddInstance(const std::string& name, const std::string& zone);
  FakeRatedUpstream& AddUpstream(const std::string& id,
                                 const std::string& service,
                                 const std::string& zone,
                                 std::int32_t slots);

  /** Puts the routes into the store, starts all instances and advances the
   * time until they have found each other. */
  void Start(const std::string& routes);
  /** Starts an instance again that isn't running, as a new process. */
  void StartInstance(const std::string& name);
  /** Ends a process without any notice. */
  void Kill(const std::string& name);
  /** Stops an instance for a time, as a suspended machine does. */
  void Freeze(const std::string& name, Duration time);
  /** Loses all messages between an instance and the others. */
  void CutFromPeers(const std::string& name, bool cut);
  /** Sends SIGTERM. */
  void Stop(const std::string& name);

  void SetLoad(const std::string& instance, const FakeLoad& load);
  /** Discards the outcomes of all instances so far. */
  void ResetOutcomes();
  /** Writes an upstream's row again, as its heartbeats do. */
  void Renew(const std::string& upstream);
  /** Writes an upstream's row again after a time. */
  void RenewAfter(Duration delay, const std::string& upstream);
  /** Writes the row of a new process of an upstream. */
  void RestartUpstream(const std::string& upstream);
  /** Removes an upstream's row, as the end of its lease does. */
  void Lapse(const std::string& upstream);
  void Advance(Duration time);
  MonotonicTime Now() const { return m_now; }

  FakeRatedUpstream& Upstream(const std::string& id) {
    return m_upstreams.at(UpstreamId(id));
  }
  const FakeOutcomes& Outcomes(const std::string& instance) const {
    return m_nodes.at(InstanceId(instance)).outcomes;
  }
  bool IsRunning(const std::string& instance) const {
    return m_nodes.at(InstanceId(instance)).reducer != nullptr;
  }

  FakeRegistryCodec codec;
  std::shared_ptr<FakeTableRows> rows = std::make_shared<FakeTableRows>();
  bool store_up = true;
  /** The store leaves all calls unanswered. */
  bool store_silent = false;
  /** Messages between instances since the start. */
  std::uint64_t peer_messages = 0;
  /** Those of them that demand or grant permits. */
  std::uint64_t permit_messages = 0;

 private:
  struct Node {
    Identity identity;
    std::unique_ptr<DispatchReducer> reducer;
    std::unique_ptr<FakeTable> table;
    MonotonicTime frozen_until;
    bool cut = false;
    FakeLoad load;
    FakeOutcomes outcomes;
    std::map<RequestId, MonotonicTime> pending;
    std::map<ConnectionId, UpstreamId> connections;
    /** Distinguishes the runs of the process, so that what was addressed to an
     * earlier one is lost. */
    int run = 0;
  };

  void Schedule(MonotonicTime at, std::function<void()> action);
  /** Passes an event to a run of an instance, at the end of a freeze if it is
   * frozen. */
  void Deliver(const InstanceId& id, int run, const Event& event);
  void DeliverAfter(Duration delay, const Node& node, Event event);
  void Execute(Node& node, const Effect& effect);
  void SendPeerMessage(const Node& node, const SendPeer& effect);
  void SendToUpstream(const Node& node, const SendUpstream& effect);
  void AnswerFromUpstream(const InstanceId& instance,
                          int run,
                          ConnectionId connection,
                          const UpstreamId& upstream);
  void PollStore(Node& node);
  void TickAll();
  void ScheduleArrival(const InstanceId& id);
  Duration DelayBetween(const ZoneName& left, const ZoneName& right) const;
  RegionName RegionOf(const ZoneName& zone) const;

  DispatchSettings m_settings;
  Random m_random;
  MonotonicTime m_now{Seconds(1000)};
  std::multimap<MonotonicTime, std::function<void()>> m_actions;
  std::map<InstanceId, Node> m_nodes;
  std::map<UpstreamId, FakeRatedUpstream> m_upstreams;
  std::uint64_t m_requests = 0;
};

}  // namespace kumquatcove

#endif  // DISPATCH_CLUSTER_FAKE_DISPATCH_CLUSTER_H_
