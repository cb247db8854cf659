#include "platform/stand_in/soak_run.h"

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <iterator>
#include <stdexcept>
#include <thread>
#include <utility>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <boost/asio/ip/address.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "deployment/loopback_network.h"
#include "emulator/steady_clock.h"
#include "platform/stand_in/soak_route.h"
#include "runtime/log_line.h"

namespace kumquatcove::stand_in {
namespace {

namespace json = boost::json;

constexpr int kStorePort = 28'541;
constexpr int kStoreHost = 100;
constexpr int kUpstreamHost = 101;
constexpr const char* kHost = "shop.example";

// A configuration must be in force this long after the store has taken it.
constexpr Duration kConfigurationTime = Seconds(2);
// Callers end their requests within this time, with a repeat of each.
constexpr Duration kCallerTime = Seconds(15);

// Faults of one round begin within this time, and last between the other two.
constexpr std::int64_t kMaxOffsetMs = 1'000;
constexpr std::int64_t kMinFaultMs = 1'000;
constexpr std::int64_t kMaxFaultMs = 3'000;
constexpr std::uint64_t kMaxOverlap = 3;

// Time in which all instances read what was written last.
constexpr Duration kPropagationTime = Seconds(1);
// Operator and upstreams write their rows again within this time after a
// restore of the store.
constexpr std::uint64_t kMaxRewriteMs = 500;

// Interval at which the soak checks whether it runs, and the delay from which
// on it counts as paused.
constexpr Duration kPauseCheckInterval = Milliseconds(50);
constexpr Duration kMinPause = Milliseconds(500);

// Requests a second that a limited upstream accepts, a fifth of what each gets
// otherwise.
constexpr double kRateLimit = 1;

// Share of requests that are uploads while these are broken off.
constexpr double kUploadShare = 0.1;

constexpr std::size_t kFreightSlots = 40;
constexpr Duration kFreightWork = Seconds(1);

constexpr std::int32_t kNotFound = 404;

void Sleep(Duration time) {
  std::this_thread::sleep_for(time);
}

boost::asio::ip::tcp::endpoint Endpoint(const std::string& ip, int port) {
  return {boost::asio::ip::make_address(ip), static_cast<std::uint16_t>(port)};
}

json::object RouteJson(const SoakRoute& route, const std::string& prefix) {
  return {{"name", "route" + prefix},
          {"host", kHost},
          {"prefix", prefix},
          {"service", route.service},
          {"kind", route.idempotent ? "safe" : "unsafe"},
          {"max-attempts", 2},
          {"timeout-s", std::chrono::duration<double>(route.timeout).count()},
          {"aim-s", 0.3},
          {"priority", 1},
          {"sticky", true}};
}

json::object ServiceJson(const std::string& name) {
  return {{"name", name},
          {"health-path", "/health"},
          {"max-connections", 300},
          {"warmup-s", 0},
          {"cold-per-s", 10}};
}

}  // namespace

std::vector<std::vector<SoakFault>> ParseSoakScript(const std::string& text) {
  std::vector<std::vector<SoakFault>> rounds;
  for (const absl::string_view round :
       absl::StrSplit(text, ',', absl::SkipWhitespace())) {
    std::vector<SoakFault>& faults = rounds.emplace_back();
    for (const absl::string_view part : absl::StrSplit(round, '+')) {
      const std::string name(absl::StripAsciiWhitespace(part));
      const std::optional<SoakFault> fault = FromString<SoakFault>(name);
      if (!fault) {
        throw std::invalid_argument("not a fault: " + name);
      }
      faults.push_back(*fault);
    }
  }
  return rounds;
}

SoakRun::SoakRun(SoakSettings settings)
    : m_settings(std::move(settings)),
      m_network(OwnLoopbackNetwork()),
      m_random(m_settings.seed) {
  std::filesystem::create_directories(m_settings.work_folder);
  m_io.Start();
  OnIoThread([this] {
    m_store = std::make_unique<UserStoreStandIn>(
        m_io.Context(),
        Endpoint(absl::StrCat(m_network, kStoreHost), kStorePort),
        m_settings.seed);
    PublishConfiguration(++m_version);
    for (const auto& [zone, region] : SoakZones()) {
      for (const char* service : {"browse", "order", "freight"}) {
        AddUpstream(service, zone);
        AddUpstream(service, zone);
      }
    }
  });
  SoakInstancesSettings instances;
  instances.program = m_settings.program;
  instances.template_file = m_settings.template_file;
  instances.work_folder = m_settings.work_folder;
  instances.per_zone = m_settings.instances_per_zone;
  instances.network = m_network;
  instances.store = Endpoint(absl::StrCat(m_network, kStoreHost), kStorePort);
  m_instances = std::make_unique<SoakInstances>(m_io, m_ledger, m_random,
                                                std::move(instances));
  CallerStandInSettings callers;
  callers.zones = SoakZones();
  callers.host = kHost;
  callers.requests_per_second = m_settings.requests_per_second;
  callers.lookup_addresses = m_instances->LookupAddresses();
  OnIoThread([&] {
    m_callers = std::make_unique<CallerStandIn>(
        m_io, m_ledger, std::move(callers), m_settings.seed + 1);
    m_callers->Start();
    WatchForPauses(emulator::ReadMonotonicClock());
  });
}

SoakRun::~SoakRun() {
  m_io.Stop();
  // Their links use the I/O context, which goes before them otherwise.
  m_instances.reset();
}

void SoakRun::PublishConfiguration(int version) {
  json::array routes;
  for (const SoakRoute& route : kSoakRoutes) {
    routes.push_back(RouteJson(route, std::string(route.prefix)));
  }
  // Each version has a route that no earlier one had.
  routes.push_back(
      RouteJson(kSoakRoutes.front(), absl::StrCat("/version/", version, "/")));
  const json::object configuration{
      {"version", absl::StrCat("r", version)},
      {"routes", std::move(routes)},
      {"services", json::array{ServiceJson("browse"), ServiceJson("order"),
                               ServiceJson("freight")}},
      {"limits", json::object{{"max-header-bytes", 16'384},
                              {"max-body-bytes", LinkProxy::kUploadBytes},
                              {"header-timeout-s", 5},
                              {"idle-timeout-s", 10}}}};
  m_store->Put("op", "config", json::serialize(configuration));
}

void SoakRun::AddUpstream(const std::string& service, const std::string& zone) {
  UpstreamStandInSettings upstream;
  upstream.id = absl::StrCat("i-", ++m_last_upstream);
  upstream.service = service;
  upstream.zone = zone;
  upstream.endpoint = Endpoint(absl::StrCat(m_network, kUpstreamHost), 0);
  if (service == "freight") {
    upstream.slots = kFreightSlots;
    upstream.mean_work = kFreightWork;
  }
  m_upstreams.push_back(std::make_unique<UpstreamStandIn>(
      m_io.Context(), *m_store, m_ledger, std::move(upstream),
      m_settings.seed + static_cast<std::uint64_t>(m_last_upstream)));
}

void SoakRun::NoteDisturbance(const std::function<void()>& fault) {
  const MonotonicTime begin = emulator::ReadMonotonicClock();
  fault();
  OnIoThread(
      [&] { m_ledger.OnDisturbance(begin, emulator::ReadMonotonicClock()); });
}

void SoakRun::WatchForPauses(MonotonicTime last) {
  const MonotonicTime now = emulator::ReadMonotonicClock();
  if (now - last >= kMinPause) {
    LogWarning(LogLine("soak_paused").Add("duration_us", (now - last).count()));
    m_ledger.OnDisturbance(last, now);
  }
  m_io.PostAfter(kPauseCheckInterval, [this, now] { WatchForPauses(now); });
}

std::vector<SoakFault> SoakRun::DrawFaults() {
  std::vector<SoakFault> faults(1 + m_random.NextBelow(kMaxOverlap));
  for (SoakFault& fault : faults) {
    fault = static_cast<SoakFault>(
        m_random.NextBelow(EnumNames(SoakFault{}).size()));
  }
  return faults;
}

void SoakRun::PlayFaults(const std::vector<SoakFault>& faults) {
  std::multimap<MonotonicTime, std::function<void()>> ends;
  // Ends what is due; waits for the rest if `all` is set.
  const auto end_due = [&](bool all) {
    while (!ends.empty()) {
      const MonotonicTime now = emulator::ReadMonotonicClock();
      if (ends.begin()->first > now) {
        if (!all) {
          return;
        }
        Sleep(ends.begin()->first - now);
      }
      ends.begin()->second();
      ends.erase(ends.begin());
    }
  };
  const auto draw = [this](std::int64_t least, std::int64_t most) {
    return Milliseconds(least + static_cast<std::int64_t>(m_random.NextBelow(
                                    static_cast<std::uint64_t>(most - least))));
  };
  for (const SoakFault fault : faults) {
    const Duration time = draw(kMinFaultMs, kMaxFaultMs);
    LogInfo(LogLine("soak_fault")
                .Add("kind", ToString(fault))
                .Add("time_us", time.count()));
    if (std::function<void()> finish = Begin(fault)) {
      ends.emplace(emulator::ReadMonotonicClock() + time, std::move(finish));
    }
    Sleep(draw(0, kMaxOffsetMs));
    end_due(false);
  }
  if (m_random.NextBelow(2) == 0) {
    OnIoThread([this] { PublishConfiguration(++m_version); });
  }
  end_due(true);
  m_store_in_use = false;
  m_upstreams_in_use.clear();
  for (auto& [name, instance] : m_instances->All()) {
    instance.in_use = false;
  }
  m_instances->WaitUntilAllReady();
}

std::pair<const std::string, SoakInstance>* SoakRun::TakeInstance() {
  std::vector<std::pair<const std::string, SoakInstance>*> free;
  for (auto& entry : m_instances->All()) {
    if (!entry.second.in_use) {
      free.push_back(&entry);
    }
  }
  if (free.empty()) {
    return nullptr;
  }
  auto* taken = free[m_random.NextBelow(free.size())];
  taken->second.in_use = true;
  return taken;
}

UpstreamStandIn* SoakRun::TakeUpstream() {
  UpstreamStandIn* taken =
      m_upstreams[m_random.NextBelow(m_upstreams.size())].get();
  return m_upstreams_in_use.insert(taken).second ? taken : nullptr;
}

std::function<void()> SoakRun::Begin(SoakFault fault) {
  switch (fault) {
    case SoakFault::kInstanceKilled:
    case SoakFault::kInstanceFrozen:
    case SoakFault::kInstanceRestarted:
      return BeginInstanceFault(fault);
    case SoakFault::kStoreDown:
      return BeginStoreFault(StoreFault::kDown);
    case SoakFault::kStoreSilent:
      return BeginStoreFault(StoreFault::kSilent);
    case SoakFault::kStoreBusy:
      return BeginStoreFault(StoreFault::kBusy);
    case SoakFault::kStoreLosesReplies:
      return BeginStoreFault(StoreFault::kLosesReplies);
    case SoakFault::kStoreForgets:
      OnIoThread([this] { m_store->Compact(); });
      return nullptr;
    case SoakFault::kStoreLinkSilent:
      return BeginStoreLinkFault(LinkFault::kOpenSilent);
    case SoakFault::kStoreLinkCut:
      return BeginStoreLinkFault(LinkFault::kCutToServer);
    case SoakFault::kStoreLinkOneWay:
      return BeginStoreLinkFault(LinkFault::kCutToClient);
    case SoakFault::kStoreLinkDelayed:
      return BeginStoreLinkFault(LinkFault::kDelayed);
    case SoakFault::kStoreLinkReset:
      return BeginStoreLinkFault(LinkFault::kReset);
    case SoakFault::kUpstreamCrashed:
    case SoakFault::kAddressReused:
      return BeginUpstreamFault(fault);
    case SoakFault::kUpstreamLinkSilent:
      return BeginUpstreamLinkFault(LinkFault::kOpenSilent);
    case SoakFault::kUpstreamLinkCut:
      return BeginUpstreamLinkFault(LinkFault::kCutToServer);
    case SoakFault::kUpstreamLinkOneWay:
      return BeginUpstreamLinkFault(LinkFault::kCutToClient);
    case SoakFault::kUpstreamLinkDelayed:
      return BeginUpstreamLinkFault(LinkFault::kDelayed);
    case SoakFault::kUpstreamLinkReset:
      return BeginUpstreamLinkFault(LinkFault::kReset);
    case SoakFault::kStoreRestored:
      return BeginStoreRestore();
    case SoakFault::kUploadsBrokenOff:
      return BeginBrokenUploads();
    case SoakFault::kUpstreamRateLimited: {
      UpstreamStandIn* upstream = TakeUpstream();
      if (upstream == nullptr) {
        return nullptr;
      }
      OnIoThread([&] { upstream->SetRateLimit(kRateLimit); });
      return [this, upstream] {
        OnIoThread([&] { upstream->SetRateLimit(std::nullopt); });
      };
    }
  }
  return nullptr;
}

std::function<void()> SoakRun::BeginStoreFault(StoreFault fault) {
  if (std::exchange(m_store_in_use, true)) {
    return nullptr;
  }
  OnIoThread([&] { m_store->SetFault(fault); });
  return
      [this] { OnIoThread([this] { m_store->SetFault(StoreFault::kNone); }); };
}

std::function<void()> SoakRun::BeginStoreRestore() {
  if (std::exchange(m_store_in_use, true)) {
    return nullptr;
  }
  OnIoThread([this] {
    // More is lost than is written again afterwards, so that later changes get
    // versions that were given out before.
    for (int i = 0; i < 3; ++i) {
      RenewUpstreams();
    }
  });
  Sleep(kPropagationTime);
  OnIoThread([this] { m_store->SetFault(StoreFault::kDown); });
  return [this] {
    OnIoThread([this] {
      m_store->RestoreCopy();
      m_store->SetFault(StoreFault::kNone);
    });
    Sleep(Milliseconds(
        static_cast<std::int64_t>(m_random.NextBelow(kMaxRewriteMs))));
    OnIoThread([this] {
      PublishConfiguration(m_version);
      RenewUpstreams();
      // Their rows lapse, as they aren't renewed.
      for (const std::unique_ptr<UpstreamStandIn>& upstream : m_retired) {
        upstream->Deregister();
      }
    });
  };
}

void SoakRun::RenewUpstreams() {
  for (const std::unique_ptr<UpstreamStandIn>& upstream : m_upstreams) {
    upstream->Renew();
  }
}

std::function<void()> SoakRun::BeginInstanceFault(SoakFault fault) {
  auto* taken = TakeInstance();
  if (taken == nullptr) {
    return nullptr;
  }
  const std::string name = taken->first;
  if (fault == SoakFault::kInstanceFrozen) {
    m_instances->Signal(name, InstanceSignal::kStop);
    return [this, name] { m_instances->Signal(name, InstanceSignal::kCont); };
  }
  if (fault == SoakFault::kInstanceKilled) {
    m_instances->Signal(name, InstanceSignal::kKill);
    return [this, name] { m_instances->Start(name); };
  }
  m_instances->Signal(name, InstanceSignal::kTerm);
  return [this, name] {
    m_instances->CheckEnd(name);
    m_instances->Start(name);
  };
}

std::function<void()> SoakRun::BeginStoreLinkFault(LinkFault fault) {
  auto* taken = TakeInstance();
  if (taken == nullptr) {
    return nullptr;
  }
  LinkProxy& link = *taken->second.store_link;
  OnIoThread([&] { link.SetFault(fault); });
  return
      [this, &link] { OnIoThread([&] { link.SetFault(LinkFault::kNone); }); };
}

std::function<void()> SoakRun::BeginUpstreamFault(SoakFault fault) {
  UpstreamStandIn* upstream = TakeUpstream();
  if (upstream == nullptr) {
    return nullptr;
  }
  OnIoThread([&] { upstream->Crash(); });
  std::string service = upstream->Settings().service;
  if (fault == SoakFault::kAddressReused) {
    service = service == "browse" ? "order" : "browse";
  }
  return [this, upstream, service] {
    OnIoThread([&] {
      upstream->Restart(absl::StrCat("i-", ++m_last_upstream), service);
    });
  };
}

std::function<void()> SoakRun::BeginUpstreamLinkFault(LinkFault fault) {
  UpstreamStandIn* upstream = TakeUpstream();
  if (upstream == nullptr) {
    return nullptr;
  }
  OnIoThread([&] { upstream->Link().SetFault(fault); });
  return [this, upstream] {
    OnIoThread([&] { upstream->Link().SetFault(LinkFault::kNone); });
  };
}

std::function<void()> SoakRun::BeginBrokenUploads() {
  const std::string service(FindSoakRoute(kUploads)->service);
  std::vector<UpstreamStandIn*> taken;
  for (const std::unique_ptr<UpstreamStandIn>& upstream : m_upstreams) {
    if (upstream->Settings().service == service &&
        m_upstreams_in_use.insert(upstream.get()).second) {
      taken.push_back(upstream.get());
    }
  }
  const auto set = [this, taken](LinkFault fault, double upload_share) {
    OnIoThread([&] {
      for (UpstreamStandIn* upstream : taken) {
        upstream->Link().SetFault(fault);
      }
      m_callers->SetUploadShare(upload_share);
    });
  };
  set(LinkFault::kBreaksOffUploads, kUploadShare);
  return [set] { set(LinkFault::kNone, 0); };
}

void SoakRun::PlayWork(SoakWork work) {
  LogInfo(LogLine("soak_work").Add("kind", ToString(work)));
  switch (work) {
    case SoakWork::kUpstreamReplaced:
      DrainAndReplace();
      return;
    case SoakWork::kConfigurationChanged:
      ChangeConfiguration();
      return;
    case SoakWork::kInstanceRestarted: {
      const std::vector<std::string> names = m_instances->Names();
      const std::string& name = names[m_random.NextBelow(names.size())];
      m_instances->Signal(name, InstanceSignal::kTerm);
      m_instances->CheckEnd(name);
      m_instances->Start(name);
      m_instances->WaitUntilReady(name);
      return;
    }
    case SoakWork::kUpstreamRateLimited:
      LimitRate();
      return;
  }
}

void SoakRun::LimitRate() {
  UpstreamStandIn& upstream =
      *m_upstreams[m_random.NextBelow(m_upstreams.size())];
  OnIoThread([&] { upstream.SetRateLimit(kRateLimit); });
  Sleep(SoakLedger::kContactTime + SoakLedger::kLimitWindow + Seconds(1));
  OnIoThread([&] { upstream.SetRateLimit(std::nullopt); });
}

void SoakRun::DrainAndReplace() {
  const std::size_t index = m_random.NextBelow(m_upstreams.size());
  OnIoThread([&] {
    const UpstreamStandInSettings& leaving = m_upstreams[index]->Settings();
    AddUpstream(leaving.service, leaving.zone);
    m_upstreams[index]->Drain();
  });
  Sleep(SoakLedger::kLeavingLimit + Seconds(2));
  OnIoThread([&] {
    m_upstreams[index]->Deregister();
    // What still runs is cut; callers of the last seconds use others.
    m_upstreams[index]->Crash();
    std::swap(m_upstreams[index], m_upstreams.back());
    m_retired.push_back(std::move(m_upstreams.back()));
    m_upstreams.pop_back();
  });
}

void SoakRun::ChangeConfiguration() {
  OnIoThread([&] { PublishConfiguration(++m_version); });
  Sleep(kConfigurationTime);
  for (const auto& [name, instance] : m_instances->All()) {
    const std::int32_t status =
        m_instances->Ask(SoakInstances::CallerAddress(instance), kHost,
                         absl::StrCat("/version/", m_version, "/"));
    if (status == kNotFound || status == 0) {
      m_instances->Report(absl::StrCat("version ", m_version,
                                       " isn't in force at ", name, ", status ",
                                       status));
    }
  }
}

void SoakRun::PlayStops() {
  PlannedStops stops(
      *m_instances, m_io, m_ledger,
      [this] { PublishConfiguration(++m_version); }, m_settings.stops,
      m_settings.seed + 2);
  for (int round = 0; round < m_settings.stop_rounds; ++round) {
    stops.Play();
    Sleep(SoakLedger::kContactTime);
  }
}

SoakReport SoakRun::Play() {
  const MonotonicTime begin = emulator::ReadMonotonicClock();
  OnIoThread([this] { m_store->KeepCopy(); });
  Sleep(Seconds(2));
  PlayStops();
  const int rounds = m_settings.script.empty()
                         ? m_settings.rounds
                         : static_cast<int>(m_settings.script.size());
  for (int round = 0; round < rounds; ++round) {
    const std::vector<SoakFault> faults =
        m_settings.script.empty()
            ? DrawFaults()
            : m_settings.script[static_cast<std::size_t>(round)];
    NoteDisturbance([&] { PlayFaults(faults); });
    m_instances->CheckProcesses();
    Sleep(SoakLedger::kContactTime);
    OnIoThread([this] { m_store->KeepCopy(); });
    PlayWork(static_cast<SoakWork>(
        m_random.NextBelow(EnumNames(SoakWork{}).size())));
    m_instances->CheckProcesses();
  }
  Sleep(SoakLedger::kContactTime);
  const MonotonicTime calm = emulator::ReadMonotonicClock();
  Sleep(Seconds(3));
  OnIoThread([this] { m_callers->Stop(); });
  const MonotonicTime limit = emulator::ReadMonotonicClock() + kCallerTime;
  std::size_t pending = 1;
  while (pending > 0 && emulator::ReadMonotonicClock() < limit) {
    Sleep(Milliseconds(100));
    OnIoThread([&] { pending = m_callers->Pending(); });
  }
  SoakReport report;
  OnIoThread([&] {
    report.store_calls = m_store->Calls();
    if (m_callers->Pending() > 0) {
      m_ledger.OnViolation(
          absl::StrCat(m_callers->Pending(), " requests never ended"));
    }
  });
  const MonotonicTime end = emulator::ReadMonotonicClock() + SoakLedger::kGrace;
  for (const std::string& name : m_instances->Names()) {
    m_instances->Signal(name, InstanceSignal::kTerm);
  }
  for (const std::string& name : m_instances->Names()) {
    m_instances->CheckEnd(
        name, std::max(end - emulator::ReadMonotonicClock(), Duration(0)));
  }
  OnIoThread([&] {
    report.late_sends = m_ledger.LateSends();
    report.violations = m_ledger.FindViolations();
    report.all = m_ledger.ShareSince(begin);
    report.calm = m_ledger.ShareSince(calm);
  });
  return report;
}

}  // namespace kumquatcove::stand_in
