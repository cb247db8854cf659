#include <algorithm>
#include <optional>

#include <doctest/doctest.h>

#include "tests/fake_deployment.h"
#include "tests/fault_schedule.h"
#include "tests/small_catalogue.h"

namespace kumquatcove {
namespace {

const std::vector<std::string>& Zones() {
  static const std::vector<std::string> kNames = {"lima-a",     "lima-b",
                                                  "arequipa-a", "arequipa-b",
                                                  "trujillo-a", "trujillo-b"};
  return kNames;
}

InstanceId InstanceIn(const std::string& zone) {
  return InstanceId("entry-" + zone);
}

void StartAll(FakeDeployment& deployment) {
  for (const std::string& zone : Zones()) {
    deployment.StartInstance(InstanceIn(zone), ZoneName(zone));
  }
  deployment.Run(Seconds(3));
}

HttpRequest Resend(const std::string& key) {
  HttpRequest http = Charge(key);
  http.headers.push_back({"Kumquatcove-Resend", "1"});
  return http;
}

/** Runs until the instance has exited; returns the time it took, or nothing if
 * it still runs after `limit`. */
std::optional<Duration> RunUntilExit(FakeDeployment& deployment,
                                     const InstanceId& instance,
                                     Duration limit) {
  const MonotonicTime start = deployment.Now();
  while (!deployment.HasExited(instance)) {
    if (deployment.Now() - start >= limit) {
      return std::nullopt;
    }
    deployment.Run(kTickInterval);
  }
  return deployment.Now() - start;
}

}  // namespace

TEST_CASE(
    "A request that begins and ends between two ticks of a stop delays the "
    "exit like any other") {
  // The record of its answer is written after the request has ended. If the
  // request goes unnoticed, the process exits before the store has replied.
  FakeDeployment deployment(31, MakeSmallCatalogue(), RegionName("lima"), {});
  deployment.upstreams.service_time = [](const HttpRequest&) {
    return Milliseconds(1);
  };
  StartAll(deployment);
  const InstanceId stopped = InstanceIn("lima-a");
  deployment.RequestStop(stopped);
  deployment.Run(Milliseconds(1'491));
  REQUIRE(!deployment.HasExited(stopped));
  const RequestId charge = deployment.Send(stopped, Charge("k1"));
  deployment.Run(Milliseconds(9));
  REQUIRE(deployment.Answer(charge) != nullptr);
  CHECK(deployment.Answer(charge)->answer.outcome == Outcome::kRan);
  deployment.Run(Milliseconds(900));
  CHECK(!deployment.HasExited(stopped));
  deployment.Run(Milliseconds(200));
  CHECK(deployment.HasExited(stopped));
}

TEST_CASE(
    "A stopping instance that was paused doesn't take its last request for one "
    "that ended long ago") {
  FakeDeployment deployment(38, MakeSmallCatalogue(), RegionName("lima"), {});
  deployment.upstreams.service_time = [](const HttpRequest&) {
    return Milliseconds(300);
  };
  StartAll(deployment);
  const InstanceId stopped = InstanceIn("lima-a");
  deployment.RequestStop(stopped);
  const RequestId charge = deployment.Send(stopped, Charge("k1"));
  deployment.Run(Milliseconds(100));
  deployment.Freeze(stopped);
  deployment.Run(Seconds(8));
  deployment.Thaw(stopped);
  deployment.Run(Milliseconds(500));
  CHECK(deployment.Answer(charge) != nullptr);
  CHECK(!deployment.HasExited(stopped));
  CHECK(RunUntilExit(deployment, stopped, Seconds(6)));
}

TEST_CASE(
    "An instance exits only after the answers of its claims are recorded, so "
    "that resends elsewhere get them") {
  FakeDeployment deployment(32, MakeSmallCatalogue(), RegionName("lima"), {});
  StartAll(deployment);
  const InstanceId stopped = InstanceIn("lima-a");
  deployment.RequestStop(stopped);
  deployment.Run(Milliseconds(200));
  deployment.upstreams.service_time = [](const HttpRequest&) {
    return Milliseconds(1'500);
  };
  const RequestId charge = deployment.Send(stopped, Charge("k1"));
  deployment.Run(Milliseconds(1'000));
  // The store refuses the record of the answer for longer than the last delay
  // before the exit.
  deployment.store.faults.down = true;
  deployment.Run(Milliseconds(2'000));
  REQUIRE(deployment.Answer(charge) != nullptr);
  CHECK(deployment.Answer(charge)->answer.outcome == Outcome::kRan);
  CHECK(!deployment.HasExited(stopped));
  deployment.store.faults.down = false;
  REQUIRE(RunUntilExit(deployment, stopped, Seconds(5)));
  deployment.Kill(stopped);
  // The breakers of the other instances close again.
  deployment.Run(Seconds(5));
  const RequestId resend =
      deployment.Send(InstanceIn("trujillo-b"), Resend("k1"));
  deployment.Run(Seconds(1));
  REQUIRE(deployment.Answer(resend) != nullptr);
  CHECK(deployment.Answer(resend)->answer.outcome == Outcome::kRan);
  CHECK(deployment.Answer(resend)->answer.http.body ==
        ExpectedBody(Charge("k1")));
  CHECK(deployment.upstreams.Executions("k1") == 1);
}

TEST_CASE("A stop during an outage of the store ends within 10 s") {
  FakeDeployment deployment(33, MakeSmallCatalogue(), RegionName("lima"), {});
  StartAll(deployment);
  const InstanceId stopped = InstanceIn("lima-a");
  const RequestId charge = deployment.Send(stopped, Charge("k1"));
  deployment.Run(Milliseconds(10));
  deployment.store.faults.down = true;
  deployment.RequestStop(stopped);
  CHECK(RunUntilExit(deployment, stopped, Seconds(10)));
  REQUIRE(deployment.Answer(charge) != nullptr);
  CHECK(deployment.Answer(charge)->answer.outcome == Outcome::kRan);
}

TEST_CASE(
    "An instance answers the edits that it has accepted before it exits") {
  // Without an answer the operator can't tell whether the edit is committed.
  const std::vector<EntryBody> entries = MakeSmallCatalogue();
  FakeDeployment deployment(34, entries, RegionName("lima"), {});
  StartAll(deployment);
  const InstanceId stopped = InstanceIn("lima-a");
  ServiceEntry vitrina = std::get<ServiceEntry>(entries[1]);
  vitrina.upstreams[0].drained = true;
  deployment.store.faults.delay = Milliseconds(400);
  deployment.RequestStop(stopped);
  deployment.Run(Milliseconds(1'200));
  const RequestId edit = deployment.Command(
      stopped, vitrina.owner, ApplyCommand{EditId("edit-1"), {{1, vitrina}}});
  REQUIRE(RunUntilExit(deployment, stopped, Seconds(12)));
  REQUIRE(deployment.CommandAnswer(edit) != nullptr);
  CHECK(deployment.CommandAnswer(edit)->result == OperatorResult::kOk);
}

TEST_CASE(
    "Commands that need the store are refused once a stopping instance takes "
    "no more requests, and don't delay its exit") {
  const std::vector<EntryBody> entries = MakeSmallCatalogue();
  FakeDeployment deployment(35, entries, RegionName("lima"), {});
  StartAll(deployment);
  const InstanceId stopped = InstanceIn("lima-a");
  ServiceEntry vitrina = std::get<ServiceEntry>(entries[1]);
  vitrina.upstreams[0].drained = true;
  deployment.RequestStop(stopped);
  RequestId edit;
  RequestId history;
  for (int number = 0; number < 80 && !deployment.HasExited(stopped);
       ++number) {
    edit = deployment.Command(
        stopped, vitrina.owner,
        ApplyCommand{EditId("edit-" + std::to_string(number)), {{1, vitrina}}});
    history = deployment.Command(stopped, vitrina.owner, HistoryCommand{});
    deployment.Run(Milliseconds(50));
  }
  CHECK(deployment.HasExited(stopped));
  for (const RequestId last : {edit, history}) {
    REQUIRE(deployment.CommandAnswer(last) != nullptr);
    CHECK(deployment.CommandAnswer(last)->result ==
          OperatorResult::kUnavailable);
    CHECK(deployment.CommandAnswer(last)->message.find("stopping") !=
          std::string::npos);
  }
}

TEST_CASE(
    "From the beginning of a stop the answers close their connections, so that "
    "callers don't use a kept connection until it is cut") {
  FakeDeployment deployment(36, MakeSmallCatalogue(), RegionName("lima"), {});
  StartAll(deployment);
  std::vector<SetCallerLimits> limits;
  deployment.on_effect = [&](const InstanceId& instance, const Effect& effect) {
    const auto* found = std::get_if<SetCallerLimits>(&effect);
    if (found != nullptr && instance == InstanceIn("lima-a")) {
      limits.push_back(*found);
    }
  };
  deployment.Run(Seconds(1));
  CHECK(limits.empty());
  deployment.RequestStop(InstanceIn("lima-a"));
  REQUIRE(limits.size() == 1);
  CHECK(limits[0].intake == CallerIntake::kClosing);
  // The server still accepts what it accepted before.
  CHECK(limits[0].max_body_bytes == static_cast<std::int64_t>(kMaxBodyBytes));
  CHECK(limits[0].max_header_bytes == 16'384);
}

TEST_CASE(
    "Requests at the other instances run while any one instance stops, slot "
    "homes included") {
  // Queued slot requests and grants of the stopping home must be taken over by
  // the next one.
  for (const std::string& zone : Zones()) {
    CAPTURE(zone);
    FakeDeployment deployment(39, MakeSmallCatalogue({1, 2}),
                              RegionName("lima"), {});
    StartAll(deployment);
    const InstanceId stopped = InstanceIn(zone);
    std::vector<RequestId> sent;
    for (int number = 0; number < 1'200; ++number) {
      if (number == 100) {
        deployment.RequestStop(stopped);
      }
      if (deployment.HasExited(stopped)) {
        break;
      }
      const std::string& other =
          Zones()[static_cast<std::size_t>(number) % Zones().size()];
      if (other != zone) {
        sent.push_back(deployment.Send(
            InstanceIn(other), number % 4 == 0
                                   ? Charge("k" + std::to_string(number))
                                   : Browse(std::to_string(number))));
      }
      deployment.Run(Milliseconds(4));
    }
    CHECK(deployment.HasExited(stopped));
    deployment.Run(Seconds(3));
    CHECK(std::all_of(sent.begin(), sent.end(), [&](RequestId request) {
      const FakeAnswer* answer = deployment.Answer(request);
      return answer != nullptr && answer->answer.outcome == Outcome::kRan;
    }));
  }
}

TEST_CASE("A request that arrives after the exit is refused as not run") {
  // The driver passes on what it had read before the exit.
  NodeSettings settings;
  settings.identity.instance = InstanceIn("lima-a");
  settings.identity.incarnation = 1;
  NodeReducer reducer(std::move(settings));
  MonotonicTime now(Seconds(1'000));
  const auto reduce = [&](const Event& event) {
    return reducer.Reduce(event,
                          {now, WallTime{now.time_since_epoch().count()}});
  };
  reduce(Started{});
  reduce(StopRequested{});
  bool exited = false;
  for (int tick = 0; tick < 1'000 && !exited; ++tick) {
    now += kTickInterval;
    for (const Effect& effect : reduce(Tick{})) {
      exited = exited || std::holds_alternative<Exit>(effect);
    }
  }
  REQUIRE(exited);
  int answers = 0;
  for (const Effect& effect :
       reduce(RequestArrived{RequestId{1}, Charge("k1")})) {
    if (const auto* answer = std::get_if<AnswerCaller>(&effect)) {
      ++answers;
      CHECK(answer->answer.outcome == Outcome::kDidNotRun);
    }
  }
  CHECK(answers == 1);
}

TEST_CASE(
    "A stop ends in bounded time and leaves no request without an answer, "
    "under each kind of fault") {
  // Two seconds until requests are refused, 2 s for the last one, 6 s for the
  // records, and some time for the deadlines of relays.
  constexpr Duration kLongestStop = Seconds(12);
  for (const auto& kind : EnumNames(FaultKind{})) {
    if (kind.value == FaultKind::kKillInstance ||
        kind.value == FaultKind::kFreezeInstance) {
      continue;
    }
    CAPTURE(kind.name);
    FakeDeployment deployment(37, MakeSmallCatalogue(), RegionName("lima"), {});
    StartAll(deployment);
    // The target is neither the stopped instance nor in its region.
    ScheduleFaults(deployment, Zones(), {{kind.value, 200, 20'000, 3}});
    const InstanceId stopped = InstanceIn("lima-a");
    std::vector<RequestId> sent;
    std::optional<MonotonicTime> stop_requested;
    for (int number = 0; number < 2'000 && !deployment.HasExited(stopped);
         ++number) {
      if (number == 50) {
        deployment.RequestStop(stopped);
        stop_requested = deployment.Now();
      }
      sent.push_back(deployment.Send(
          stopped, number % 2 == 0 ? Browse(std::to_string(number))
                                   : Charge("k" + std::to_string(number))));
      deployment.Run(kTickInterval);
    }
    REQUIRE(deployment.HasExited(stopped));
    CHECK(deployment.Now() - *stop_requested <= kLongestStop);
    // The last one may have arrived after the exit.
    sent.pop_back();
    CHECK(std::all_of(sent.begin(), sent.end(), [&](RequestId request) {
      return deployment.Answer(request) != nullptr;
    }));
  }
}

}  // namespace kumquatcove
