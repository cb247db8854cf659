#include "tests/fault_schedule.h"

#include <iterator>

namespace kumquatcove {
namespace {

constexpr const char* kRegions[] = {"lima", "arequipa", "trujillo"};
constexpr double kSlowFactor = 10.0;
constexpr Duration kStoreDelay = Milliseconds(700);

UpstreamId PickUpstream(const FakeDeployment& deployment,
                        std::uint32_t target) {
  const auto& all = deployment.upstreams.All();
  return std::next(all.begin(), target % all.size())->first;
}

// A new process takes the place of one that was killed; one that was killed
// already, or is frozen, is left alone.
void KillAndReplace(FakeDeployment& deployment,
                    const std::string& zone,
                    Duration length) {
  const InstanceId instance("entry-" + zone);
  if (!deployment.IsRunning(instance)) {
    return;
  }
  deployment.Kill(instance);
  deployment.After(length, [&deployment, instance, zone] {
    deployment.StartInstance(instance, ZoneName(zone));
  });
}

// Waits for the exit of a stopping process, unless it is killed meanwhile, and
// starts a new one.
void ReplaceAfterExit(FakeDeployment& deployment,
                      const std::string& zone,
                      Duration length) {
  const InstanceId instance("entry-" + zone);
  if (deployment.IsRunning(instance) && deployment.HasExited(instance)) {
    KillAndReplace(deployment, zone, length);
    return;
  }
  deployment.After(kTickInterval, [&deployment, zone, length] {
    ReplaceAfterExit(deployment, zone, length);
  });
}

void StopAndReplace(FakeDeployment& deployment,
                    const std::string& zone,
                    Duration length) {
  const InstanceId instance("entry-" + zone);
  if (!deployment.IsRunning(instance)) {
    return;
  }
  deployment.RequestStop(instance);
  ReplaceAfterExit(deployment, zone, length);
}

void FreezeAndThaw(FakeDeployment& deployment,
                   const std::string& zone,
                   Duration length) {
  const InstanceId instance("entry-" + zone);
  if (!deployment.IsRunning(instance)) {
    return;
  }
  deployment.Freeze(instance);
  deployment.After(length,
                   [&deployment, instance] { deployment.Thaw(instance); });
}

void CutAndHeal(FakeDeployment& deployment,
                std::uint32_t target,
                Duration length) {
  const RegionName a(kRegions[target % 3]);
  const RegionName b(kRegions[(target + 1) % 3]);
  deployment.Cut(a, b);
  deployment.After(length, [&deployment, a, b] { deployment.Heal(a, b); });
}

void Begin(FakeDeployment& deployment,
           const std::vector<std::string>& zones,
           const Fault& fault) {
  const Duration length = Milliseconds(fault.length_ms);
  const std::string& zone = zones[fault.target % zones.size()];
  FakeStoreFaults& store = deployment.store.faults;
  switch (fault.kind) {
    case FaultKind::kKillInstance:
      KillAndReplace(deployment, zone, length);
      return;
    case FaultKind::kStopInstance:
      StopAndReplace(deployment, zone, length);
      return;
    case FaultKind::kFreezeInstance:
      FreezeAndThaw(deployment, zone, length);
      return;
    case FaultKind::kStoreDown:
      store.down = true;
      deployment.After(length, [&store] { store.down = false; });
      return;
    case FaultKind::kStoreSilent:
      store.silent = true;
      deployment.After(length, [&store] { store.silent = false; });
      return;
    case FaultKind::kStoreSlow:
      store.delay = kStoreDelay;
      deployment.After(length, [&store] { store.delay = Duration(0); });
      return;
    case FaultKind::kStoreLosesReplies:
      store.lost_replies_permille = 400;
      deployment.After(length, [&store] { store.lost_replies_permille = 0; });
      return;
    case FaultKind::kStoreRestored:
      deployment.After(length,
                       [&deployment, copy = deployment.store.TakeCopy()] {
                         deployment.store.Restore(copy);
                       });
      return;
    case FaultKind::kCutRegions:
      CutAndHeal(deployment, fault.target, length);
      return;
    case FaultKind::kLosePeerMessages:
      deployment.lost_messages_permille = 100;
      deployment.After(
          length, [&deployment] { deployment.lost_messages_permille = 0; });
      return;
    case FaultKind::kCrashUpstream:
      deployment.upstreams.Crash(PickUpstream(deployment, fault.target),
                                 length);
      return;
    case FaultKind::kSlowUpstream: {
      const UpstreamId upstream = PickUpstream(deployment, fault.target);
      deployment.upstreams.At(upstream).slow_factor = kSlowFactor;
      deployment.After(length, [&deployment, upstream] {
        deployment.upstreams.At(upstream).slow_factor = 1.0;
      });
      return;
    }
    case FaultKind::kSilenceConnections:
      deployment.upstreams.SilenceConnections(
          PickUpstream(deployment, fault.target));
      return;
  }
}

}  // namespace

std::ostream& operator<<(std::ostream& out, const Fault& fault) {
  return out << ToString(fault.kind) << "@" << fault.begin_ms << "ms+"
             << fault.length_ms << "ms#" << fault.target;
}

rc::Gen<std::vector<Fault>> GenerateFaults(std::uint32_t span_ms,
                                           std::uint32_t longest_ms) {
  const auto kinds = static_cast<int>(EnumNames(FaultKind{}).size());
  return rc::gen::container<std::vector<Fault>>(rc::gen::apply(
      [](int kind, std::uint32_t begin, std::uint32_t length,
         std::uint32_t target) {
        return Fault{
            EnumNames(FaultKind{})[static_cast<std::size_t>(kind)].value, begin,
            length, target};
      },
      rc::gen::inRange(0, kinds), rc::gen::inRange<std::uint32_t>(0, span_ms),
      rc::gen::inRange<std::uint32_t>(50, longest_ms),
      rc::gen::inRange<std::uint32_t>(0, 1000)));
}

void ScheduleFaults(FakeDeployment& deployment,
                    const std::vector<std::string>& zones,
                    const std::vector<Fault>& faults) {
  for (const Fault& fault : faults) {
    deployment.After(
        Milliseconds(fault.begin_ms),
        [&deployment, &zones, fault] { Begin(deployment, zones, fault); });
  }
}

}  // namespace kumquatcove
