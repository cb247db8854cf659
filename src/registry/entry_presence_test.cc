#include "registry/entry_presence.h"

#include <doctest/doctest.h>

#include <map>
#include <string>

namespace kumquatcove {
namespace {

/** An instance in lima-a that receives simulated heartbeats. */
class PresenceFixture {
 public:
  PresenceFixture()
      : context({InstanceId("self"), 1, RegionName("lima"), ZoneName("lima-a"),
                 "self:1", "self:2"},
                3) {
    AdvanceTime(Seconds(100));
    presence.SetPhase(context, InstancePhase::kServing);
  }

  void AdvanceTime(Duration time) {
    m_now += time;
    context.SetNow({m_now, WallTime{1}});
  }

  void ReceiveHeartbeat(const std::string& name,
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

TEST_CASE("Callers receive the instances of their availability zone") {
  PresenceFixture fixture;
  fixture.ReceiveHeartbeat("near", "lima-a");
  fixture.ReceiveHeartbeat("far", "lima-b");
  CHECK(fixture.Addresses("lima-a") == Names{"self:1", "near:1"});
}

TEST_CASE(
    "A caller whose zone has one instance also receives one of another zone") {
  PresenceFixture fixture;
  fixture.ReceiveHeartbeat("far", "lima-b");
  CHECK(fixture.Addresses("lima-a") == Names{"self:1", "far:1"});
}

TEST_CASE(
    "An instance without recent heartbeats is left out of lookup answers") {
  PresenceFixture fixture;
  fixture.ReceiveHeartbeat("near", "lima-a");
  fixture.AdvanceTime(EntryPresence::kHeartbeatTimeout);
  CHECK(fixture.Addresses("lima-a") == Names{"self:1"});
  fixture.ReceiveHeartbeat("near", "lima-a");
  CHECK(fixture.Addresses("lima-a") == Names{"self:1", "near:1"});
}

TEST_CASE("A leaving instance is left out of lookup answers at once") {
  PresenceFixture fixture;
  fixture.ReceiveHeartbeat("near", "lima-a");
  fixture.ReceiveHeartbeat("near", "lima-a", InstancePhase::kLeaving);
  CHECK(fixture.Addresses("lima-a") == Names{"self:1"});
  fixture.presence.SetPhase(fixture.context, InstancePhase::kLeaving);
  const LookupAnswer answer =
      fixture.presence.Answer(fixture.context, ZoneName("lima-a"), Seconds(1));
  CHECK(answer.reason == RefusalReason::kNotReady);
}

TEST_CASE(
    "Lookup answers leave out other regions, whose heartbeats are infrequent") {
  PresenceFixture fixture;
  fixture.ReceiveHeartbeat("other", "arequipa-a", InstancePhase::kServing,
                           "arequipa");
  CHECK(fixture.Addresses("arequipa-a") == Names{"self:1"});
}

TEST_CASE("An older heartbeat doesn't make a leaving instance usable again") {
  PresenceFixture fixture;
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
  fixture.presence.OnHeartbeat(fixture.context, Gossip{{leaving}, 0, 0});
  fixture.presence.OnHeartbeat(fixture.context, Gossip{{old}, 0, 0});
  CHECK(fixture.Addresses("lima-a") == Names{"self:1"});
}

TEST_CASE("Every heartbeat goes to the own region and some go to the others") {
  PresenceFixture fixture;
  fixture.ReceiveHeartbeat("near", "lima-b");
  fixture.ReceiveHeartbeat("far", "arequipa-a", InstancePhase::kServing,
                           "arequipa");
  fixture.context.TakeEffects();
  std::map<InstanceId, int> sent;
  constexpr int kHeartbeats = 2 * EntryPresence::kRemoteHeartbeatRatio;
  for (int i = 0; i < kHeartbeats; ++i) {
    fixture.AdvanceTime(EntryPresence::kHeartbeatInterval);
    fixture.presence.OnTick(fixture.context);
    for (const Effect& effect : fixture.context.TakeEffects()) {
      if (const auto* message = std::get_if<SendPeer>(&effect)) {
        ++sent[message->to];
      }
    }
  }
  CHECK(sent[InstanceId("near")] == kHeartbeats);
  CHECK(sent[InstanceId("far")] == 2);
}

TEST_CASE("A new configuration version is sent to all instances at once") {
  PresenceFixture fixture;
  fixture.ReceiveHeartbeat("near", "lima-b");
  fixture.ReceiveHeartbeat("far", "arequipa-a", InstancePhase::kServing,
                           "arequipa");
  fixture.context.TakeEffects();
  fixture.presence.SetConfiguration(fixture.context, 7);
  std::map<InstanceId, std::int64_t> received;
  for (const Effect& effect : fixture.context.TakeEffects()) {
    const auto* message = std::get_if<SendPeer>(&effect);
    if (message != nullptr) {
      received[message->to] =
          std::get<Gossip>(message->message).records.at(0).catalogue_revision;
    }
  }
  CHECK(received == std::map<InstanceId, std::int64_t>{
                        {InstanceId("far"), 7}, {InstanceId("near"), 7}});
}

TEST_CASE(
    "The first instance of a region is the serving one with the smallest id") {
  PresenceFixture fixture;
  // Other instances may not have been discovered yet.
  CHECK_FALSE(fixture.presence.IsFirstOfRegion(fixture.context));
  fixture.AdvanceTime(EntryPresence::kDiscoveryTime);
  CHECK(fixture.presence.IsFirstOfRegion(fixture.context));
  fixture.ReceiveHeartbeat("zulu", "lima-b");
  fixture.ReceiveHeartbeat("alpha", "arequipa-a", InstancePhase::kServing,
                           "arequipa");
  CHECK(fixture.presence.IsFirstOfRegion(fixture.context));
  fixture.ReceiveHeartbeat("alfa", "lima-b");
  CHECK_FALSE(fixture.presence.IsFirstOfRegion(fixture.context));
  fixture.AdvanceTime(EntryPresence::kHeartbeatTimeout);
  CHECK(fixture.presence.IsFirstOfRegion(fixture.context));
}

TEST_CASE(
    "An instance announces itself to the instances that it finds in the "
    "table") {
  PresenceFixture fixture;
  fixture.context.TakeEffects();
  fixture.presence.OnRegistered(fixture.context,
                                {InstanceId("far"), RegionName("arequipa"),
                                 ZoneName("arequipa-a"), "far:1", "far:2"});
  bool announced = false;
  for (const Effect& effect : fixture.context.TakeEffects()) {
    const auto* message = std::get_if<SendPeer>(&effect);
    announced =
        announced || (message != nullptr && message->address == "far:2");
  }
  CHECK(announced);
}

TEST_CASE(
    "The row of an instance is written once and retried after a failure") {
  PresenceFixture fixture;
  const auto writes = [&] {
    int count = 0;
    for (const Effect& effect : fixture.context.TakeEffects()) {
      const auto* call = std::get_if<CallStore>(&effect);
      if (call != nullptr) {
        ++count;
        fixture.presence.OnReply(fixture.context, call->id,
                                 StoreReply{StoreStatus::kUnknown});
      }
    }
    return count;
  };
  fixture.presence.OnTick(fixture.context);
  CHECK(writes() == 1);
  fixture.presence.OnTick(fixture.context);
  CHECK(writes() == 0);
  fixture.AdvanceTime(Seconds(1));
  fixture.presence.OnTick(fixture.context);
  CHECK(writes() == 1);
}

}  // namespace kumquatcove
