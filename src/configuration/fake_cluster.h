#ifndef CONFIGURATION_FAKE_CLUSTER_H_
#define CONFIGURATION_FAKE_CLUSTER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "configuration/configuration_sync.h"
#include "configuration/fake_store.h"
#include "membership/fake_network.h"

namespace kumquatcove {

/** One entry instance of a FakeCluster. */
struct FakeNode {
  Identity identity;
  std::unique_ptr<Context> context;
  MemberTable members;
  ConfigurationSync configuration;
  std::uint64_t process_number = 0;
  bool running = false;
  MonotonicTime frozen_until;
  /** Time of the last start, freeze, thaw or change of a partition. */
  MonotonicTime last_disturbance;
  std::int64_t Revision() const { return context->Catalogue().Revision(); }
};

/** Member tables and configurations of several nodes in three regions with a
 * FakeNetwork and a FakeStore. */
class FakeCluster {
 public:
  FakeCluster(std::size_t count,
              FakeNetwork::Settings settings,
              std::uint64_t seed);

  void Launch(std::size_t index);
  void Kill(std::size_t index) { m_nodes[index].running = false; }
  void Freeze(std::size_t index, Duration length) {
    m_nodes[index].frozen_until = m_now + length;
  }
  void SetCut(int region, bool cut);
  void Step();
  void Run(Duration length);

  /** Sends a command and returns the request id of its answer. */
  RequestId Command(std::size_t index,
                    const std::string& operator_name,
                    OperatorCommand command);
  /** Runs until the answer arrives, for at most 10 s. */
  OperatorAnswer Await(RequestId request);

  std::vector<FakeNode>& Nodes() { return m_nodes; }
  FakeStore& Store() { return m_store; }
  MonotonicTime Now() const { return m_now; }
  const std::map<RequestId, OperatorAnswer>& Answers() const {
    return m_answers;
  }
  bool IsUndisturbed(const FakeNode& node, Duration length) const {
    return node.running && m_now - node.last_disturbance > length;
  }

 private:
  void Prepare(FakeNode& node) const;
  void Deliver(FakeNode& node, const PeerMessageArrived& arrived);
  void ExecuteEffects(std::size_t index);

  MonotonicTime m_now{Seconds(1)};
  FakeNetwork m_network;
  FakeStore m_store;
  std::uint64_t m_seed;
  std::uint64_t m_process_count = 0;
  std::uint64_t m_requests = 0;
  std::vector<FakeNode> m_nodes;
  std::map<RequestId, OperatorAnswer> m_answers;
};

/** Returns a topology of the regions of FakeCluster, owned by `ops`. */
inline TopologyEntry TestTopology() {
  TopologyEntry topology;
  topology.owner = OperatorName("ops");
  for (const std::string region : {"r0", "r1", "r2"}) {
    topology.regions.push_back({RegionName(region), {ZoneName(region + "-a")}});
  }
  topology.link_mbit_per_second = 100;
  return topology;
}

/** Returns a valid service owned by `ops`, such as `s1`. Different values of
 * `priority` distinguish versions. */
inline ServiceEntry TestService(const std::string& name,
                                std::int32_t priority) {
  ServiceEntry service;
  service.service = ServiceName(name);
  service.owner = OperatorName("ops");
  service.names.path = {name};
  service.limits.priority = priority;
  service.upstreams.push_back({UpstreamId(name + "-1"), ZoneName("r0-a"),
                               "127.0.0.1:900" + name.substr(1), false});
  return service;
}

}  // namespace kumquatcove

#endif  // CONFIGURATION_FAKE_CLUSTER_H_
