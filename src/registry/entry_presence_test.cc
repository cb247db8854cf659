#include "registry/entry_presence.h"

#include <doctest/doctest.h>

#include <map>
#include <string>

namespace kumquatcove {
namespace {

/** An instance in lima-a that hears others by hand-made heartbeats. */
class PresenceBench {
 public:
  PresenceBench()
      : context({InstanceId("self"), 1, RegionName("lima"), ZoneName("lima-a"),
                 "self:1", "self:2"},
                3) {
    Pass(Seconds(100));
    presence.SetPhase(context, InstancePhase::kServing);
  }

  void Pass(Duration time) {
    m_now += time;
    context.SetNow({m_now, WallTime{1}});
  }

  void Hear(const std::string& name,
            const std::string& zone,
            InstancePhase phase = InstancePhase::kServing,
            const std::string& region = "lima") {
    MemberRecord record{InstanceId(name),
                        1,
                        ++m_counter,
                        RegionName(region),
                        ZoneName(zone),
                        name + ":1",
                        name + ":2",
                        phase,
                        0};
    presence.OnHeartbeat(context, Gossip{{record}, 0, 0});
  }

  std::vector<std::string> Addresses(const std::string& zone) const {
    std::vector<std::string> addresses;
    for (const LookupEntry& entry :
         presence.Answer(context, ZoneName(zone), Seconds(1)).entries) {
      addresses.push_back(entry.address);
    }
    return addresses;
  }

  Context context;
  EntryPresence presence{"entries/"};

 private:
  MonotonicTime m_now;
  std::int64_t m_counter = 0;
};

using Names = std::vector<std::string>;

}  // namespace

TEST_CASE("Callers get the instances of their availability zone") {
  PresenceBench bench;
  bench.Hear("near", "lima-a");
  bench.Hear("far", "lima-b");
  CHECK(bench.Addresses("lima-a") == Names{"self:1", "near:1"});
}

TEST_CASE("A caller whose zone has one instance gets another one as well") {
  PresenceBench bench;
  bench.Hear("far", "lima-b");
  CHECK(bench.Addresses("lima-a") == Names{"self:1", "far:1"});
}

TEST_CASE("An instance that isn't heard is no longer named") {
  PresenceBench bench;
  bench.Hear("near", "lima-a");
  bench.Pass(EntryPresence::kSilenceLimit);
  CHECK(bench.Addresses("lima-a") == Names{"self:1"});
  bench.Hear("near", "lima-a");
  CHECK(bench.Addresses("lima-a") == Names{"self:1", "near:1"});
}

TEST_CASE("An instance that leaves is left out at once") {
  PresenceBench bench;
  bench.Hear("near", "lima-a");
  bench.Hear("near", "lima-a", InstancePhase::kLeaving);
  CHECK(bench.Addresses("lima-a") == Names{"self:1"});
  bench.presence.SetPhase(bench.context, InstancePhase::kLeaving);
  const LookupAnswer answer =
      bench.presence.Answer(bench.context, ZoneName("lima-a"), Seconds(1));
  CHECK(answer.reason == RefusalReason::kNotReady);
}

TEST_CASE(
    "Instances of other regions aren't named, since nobody here hears them") {
  PresenceBench bench;
  bench.Hear("other", "arequipa-a", InstancePhase::kServing, "arequipa");
  CHECK(bench.Addresses("arequipa-a") == Names{"self:1"});
}

TEST_CASE("An older heartbeat doesn't bring an instance back") {
  PresenceBench bench;
  const MemberRecord old{InstanceId("near"),
                         1,
                         1,
                         RegionName("lima"),
                         ZoneName("lima-a"),
                         "near:1",
                         "near:2",
                         InstancePhase::kServing,
                         0};
  MemberRecord leaving = old;
  leaving.counter = 2;
  leaving.phase = InstancePhase::kLeaving;
  bench.presence.OnHeartbeat(bench.context, Gossip{{leaving}, 0, 0});
  bench.presence.OnHeartbeat(bench.context, Gossip{{old}, 0, 0});
  CHECK(bench.Addresses("lima-a") == Names{"self:1"});
}

TEST_CASE("Heartbeats go to the own region, and now and then to the others") {
  PresenceBench bench;
  bench.Hear("near", "lima-b");
  bench.Hear("far", "arequipa-a", InstancePhase::kServing, "arequipa");
  bench.context.TakeEffects();
  std::map<InstanceId, int> sent;
  constexpr int kHeartbeats = 2 * EntryPresence::kRemoteHeartbeatRatio;
  for (int i = 0; i < kHeartbeats; ++i) {
    bench.Pass(EntryPresence::kHeartbeatInterval);
    bench.presence.OnTick(bench.context);
    for (const Effect& effect : bench.context.TakeEffects()) {
      if (const auto* message = std::get_if<SendPeer>(&effect)) {
        ++sent[message->to];
      }
    }
  }
  CHECK(sent[InstanceId("near")] == kHeartbeats);
  CHECK(sent[InstanceId("far")] == 2);
}

TEST_CASE("A new configuration is told to all instances at once") {
  PresenceBench bench;
  bench.Hear("near", "lima-b");
  bench.Hear("far", "arequipa-a", InstancePhase::kServing, "arequipa");
  bench.context.TakeEffects();
  bench.presence.SetConfiguration(bench.context, 7);
  std::map<InstanceId, std::int64_t> told;
  for (const Effect& effect : bench.context.TakeEffects()) {
    const auto* message = std::get_if<SendPeer>(&effect);
    if (message != nullptr) {
      told[message->to] =
          std::get<Gossip>(message->message).records.at(0).catalogue_revision;
    }
  }
  CHECK(told == std::map<InstanceId, std::int64_t>{{InstanceId("far"), 7},
                                                   {InstanceId("near"), 7}});
}

TEST_CASE("The first of a region's instances is one that serves") {
  PresenceBench bench;
  // Others may not be known yet.
  CHECK_FALSE(bench.presence.IsFirstOfRegion(bench.context));
  bench.Pass(EntryPresence::kAcquaintanceTime);
  CHECK(bench.presence.IsFirstOfRegion(bench.context));
  bench.Hear("zulu", "lima-b");
  bench.Hear("alpha", "arequipa-a", InstancePhase::kServing, "arequipa");
  CHECK(bench.presence.IsFirstOfRegion(bench.context));
  bench.Hear("alfa", "lima-b");
  CHECK_FALSE(bench.presence.IsFirstOfRegion(bench.context));
  bench.Pass(EntryPresence::kSilenceLimit);
  CHECK(bench.presence.IsFirstOfRegion(bench.context));
}

TEST_CASE(
    "An instance makes itself known to those that it finds in the table") {
  PresenceBench bench;
  bench.context.TakeEffects();
  bench.presence.OnRegistered(bench.context,
                              {InstanceId("far"), RegionName("arequipa"),
                               ZoneName("arequipa-a"), "far:1", "far:2"});
  bool greeted = false;
  for (const Effect& effect : bench.context.TakeEffects()) {
    const auto* message = std::get_if<SendPeer>(&effect);
    greeted = greeted || (message != nullptr && message->address == "far:2");
  }
  CHECK(greeted);
}

TEST_CASE("The row of an instance is written once, and again after a failure") {
  PresenceBench bench;
  const auto writes = [&] {
    int count = 0;
    for (const Effect& effect : bench.context.TakeEffects()) {
      const auto* call = std::get_if<CallStore>(&effect);
      if (call != nullptr) {
        ++count;
        bench.presence.OnReply(bench.context, call->id,
                               StoreReply{StoreStatus::kUnknown});
      }
    }
    return count;
  };
  bench.presence.OnTick(bench.context);
  CHECK(writes() == 1);
  bench.presence.OnTick(bench.context);
  CHECK(writes() == 0);
  bench.Pass(Seconds(1));
  bench.presence.OnTick(bench.context);
  CHECK(writes() == 1);
}

}  // namespace kumquatcove
