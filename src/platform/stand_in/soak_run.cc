#include "platform/stand_in/soak_run.h"

#include <chrono>
#include <exception>
#include <filesystem>
#include <fstream>
#include <future>
#include <iterator>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <utility>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <absl/strings/str_split.h>
#include <boost/asio/ip/address.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "deployment/loopback_network.h"
#include "emulator/steady_clock.h"
#include "runtime/log_line.h"

namespace kumquatcove::stand_in {
namespace {

namespace json = boost::json;

constexpr int kCallerPort = 28'548;
constexpr int kReadyPort = 28'542;
constexpr int kLookupPort = 28'546;
constexpr int kPeerPort = 28'540;
constexpr int kStorePort = 28'541;
constexpr int kStoreHost = 100;
constexpr int kUpstreamHost = 101;
constexpr int kStoreLinkHost = 102;
constexpr const char* kHost = "shop.example";

constexpr Duration kStartTimeout = Seconds(10);
constexpr Duration kAskTimeout = Seconds(2);
// The platform lets a process that got SIGTERM run this long.
constexpr Duration kGrace = Seconds(6);
// A configuration must be in force this long after the store has taken it.
constexpr Duration kConfigurationTime = Seconds(2);
// Callers end their requests within this time.
constexpr Duration kCallerTime = Seconds(5);

constexpr double kRouteTimeoutSeconds =
    std::chrono::duration<double>(SoakLedger::kRouteTimeout).count();

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

constexpr std::int32_t kOk = 200;
constexpr std::int32_t kNotFound = 404;

/** Availability zones, each with its region. */
const std::map<std::string, std::string>& Zones() {
  static const std::map<std::string, std::string> kZones = {
      {"lima-a", "lima"}, {"lima-b", "lima"}, {"arequipa-a", "arequipa"}};
  return kZones;
}

void Sleep(Duration time) {
  std::this_thread::sleep_for(time);
}

boost::asio::ip::tcp::endpoint Endpoint(const std::string& ip, int port) {
  return {boost::asio::ip::make_address(ip), static_cast<std::uint16_t>(port)};
}

json::object RouteJson(const std::string& prefix,
                       const std::string& service,
                       const std::string& kind) {
  return {{"name", "route" + prefix},
          {"host", kHost},
          {"prefix", prefix},
          {"service", service},
          {"kind", kind},
          {"max-attempts", 2},
          {"timeout-s", kRouteTimeoutSeconds},
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
    for (const auto& [zone, region] : Zones()) {
      for (const char* service : {"browse", "order"}) {
        AddUpstream(service, zone);
        AddUpstream(service, zone);
      }
    }
  });
  int host = 0;
  for (const auto& [zone, region] : Zones()) {
    for (int i = 1; i <= m_settings.instances_per_zone; ++i) {
      Instance& instance = m_instances[absl::StrCat(zone, "-", i)];
      instance.zone = zone;
      instance.ip = absl::StrCat(m_network, ++host);
    }
  }
  CallerStandInSettings callers;
  callers.zones = Zones();
  callers.host = kHost;
  callers.requests_per_second = m_settings.requests_per_second;
  for (auto& [name, instance] : m_instances) {
    std::unique_ptr<LinkProxy>& link = instance.store_link;
    OnIoThread([&] {
      link = std::make_unique<LinkProxy>(
          m_io.Context(), Endpoint(absl::StrCat(m_network, kStoreLinkHost), 0));
      link->Open(Endpoint(absl::StrCat(m_network, kStoreHost), kStorePort));
    });
    instance.settings_file = m_settings.work_folder + "/" + name + ".json";
    std::ofstream(instance.settings_file) << FillTemplate(name, instance);
    callers.lookup_addresses.push_back(
        absl::StrCat(instance.ip, ":", kLookupPort));
    StartInstance(name);
  }
  for (const auto& [name, instance] : m_instances) {
    WaitUntilReady(name);
  }
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
  m_instances.clear();
}

void SoakRun::OnIoThread(const std::function<void()>& work) {
  std::promise<void> done;
  m_io.Post([&] {
    try {
      work();
      done.set_value();
    } catch (...) {
      done.set_exception(std::current_exception());
    }
  });
  done.get_future().get();
}

std::string SoakRun::FillTemplate(const std::string& name,
                                  const Instance& instance) const {
  std::ostringstream text;
  text << std::ifstream(m_settings.template_file).rdbuf();
  json::object zones;
  for (const auto& [zone, region] : Zones()) {
    zones[zone] = region;
  }
  const auto at = [&](int port) {
    return absl::StrCat(instance.ip, ":", port);
  };
  return absl::StrReplaceAll(
      text.str(), {{"{{node}}", name},
                   {"{{region}}", Zones().at(instance.zone)},
                   {"{{zone}}", instance.zone},
                   {"{{ip}}", instance.ip},
                   {"{{listen.front}}", at(kCallerPort)},
                   {"{{listen.directory}}", at(kLookupPort)},
                   {"{{listen.ready}}", at(kReadyPort)},
                   {"{{internal-ports.0}}", std::to_string(kPeerPort)},
                   {"{{platform.address}}",
                    absl::StrCat(m_network, kStoreLinkHost, ":",
                                 instance.store_link->Endpoint().port())},
                   {"{{zones|json}}", json::serialize(zones)},
                   {"{{bounds.retry-budget-ratio}}", "0.2"},
                   {"{{bounds.budget-extra-tries}}", "62"},
                   {"{{bounds.budget-window-s}}", "10"},
                   {"{{bounds.grace-s}}", "6"},
                   {"{{bounds.ttl_max_s}}", "5"},
                   {"{{bounds.drain-s}}", "2"},
                   {"{{bounds.max-region-shift}}", "0.15"}});
}

void SoakRun::StartInstance(const std::string& name) {
  Instance& instance = m_instances.at(name);
  instance.process.emplace(
      m_settings.program,
      std::vector<std::string>{"--settings", instance.settings_file},
      absl::StrCat(m_settings.work_folder, "/", name, "-",
                   m_random.Next() % 1'000'000, ".log"));
}

std::int32_t SoakRun::Ask(const std::string& address,
                          const std::string& host,
                          const std::string& target) {
  const auto status = std::make_shared<std::promise<std::int32_t>>();
  auto connection = std::make_shared<std::unique_ptr<HttpConnection>>();
  const std::string attempt = absl::StrCat("probe-", ++m_last_probe);
  m_io.Post([=, this] {
    m_ledger.OnSent(attempt, /*idempotent=*/true,
                    emulator::ReadMonotonicClock());
    *connection = std::make_unique<HttpConnection>(m_io);
    (*connection)->Open(address, kAskTimeout, [=](bool opened) {
      if (!opened) {
        status->set_value(0);
        return;
      }
      HttpRequest request;
      request.method = "GET";
      request.target = target;
      request.headers = {{"Attempt-Id", attempt}, {"Deadline-Ms", "1000"}};
      (*connection)
          ->Send(request, host, kAskTimeout, nullptr,
                 [status](const std::optional<HttpResult>& result) {
                   status->set_value(result ? result->answer.status : 0);
                 });
    });
  });
  const std::int32_t found = status->get_future().get();
  OnIoThread([&] { connection->reset(); });
  return found;
}

void SoakRun::WaitUntilReady(const std::string& name) {
  const std::string address =
      absl::StrCat(m_instances.at(name).ip, ":", kReadyPort);
  const MonotonicTime end = emulator::ReadMonotonicClock() + kStartTimeout;
  while (Ask(address, address, "/kumquatcove/ready") != kOk) {
    if (emulator::ReadMonotonicClock() >= end) {
      throw DeploymentError("instance " + name + " doesn't get ready");
    }
    Sleep(Milliseconds(50));
  }
}

void SoakRun::PublishConfiguration(int version) {
  json::array routes{RouteJson("/browse/", "browse", "safe"),
                     RouteJson("/order/", "order", "unsafe")};
  // Each version has a route that no earlier one had.
  routes.push_back(
      RouteJson(absl::StrCat("/version/", version, "/"), "browse", "safe"));
  const json::object configuration{
      {"version", absl::StrCat("r", version)},
      {"routes", std::move(routes)},
      {"services", json::array{ServiceJson("browse"), ServiceJson("order")}},
      {"limits", json::object{{"max-header-bytes", 16'384},
                              {"max-body-bytes", 1'048'576},
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
  for (auto& [name, instance] : m_instances) {
    instance.in_use = false;
  }
  WaitUntilAllReady();
}

void SoakRun::WaitUntilAllReady() {
  for (const auto& [name, instance] : m_instances) {
    WaitUntilReady(name);
  }
}

std::pair<const std::string, SoakRun::Instance>* SoakRun::TakeInstance() {
  std::vector<std::pair<const std::string, Instance>*> free;
  for (auto& entry : m_instances) {
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
  ChildProcess& process = *taken->second.process;
  if (fault == SoakFault::kInstanceFrozen) {
    process.Freeze();
    return [&process] { process.Thaw(); };
  }
  if (fault == SoakFault::kInstanceKilled) {
    process.Kill();
    return [this, name] { StartInstance(name); };
  }
  process.Terminate();
  return [this, name] {
    CheckEnd(name);
    StartInstance(name);
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
      const std::string name =
          std::next(m_instances.begin(),
                    static_cast<std::ptrdiff_t>(
                        m_random.NextBelow(m_instances.size())))
              ->first;
      Stop(name);
      StartInstance(name);
      WaitUntilReady(name);
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
  for (const auto& [name, instance] : m_instances) {
    const std::int32_t status =
        Ask(absl::StrCat(instance.ip, ":", kCallerPort), kHost,
            absl::StrCat("/version/", m_version, "/"));
    if (status == kNotFound || status == 0) {
      OnIoThread([&, late = name] {
        m_ledger.OnViolation(absl::StrCat("version ", m_version,
                                          " isn't in force at ", late,
                                          ", status ", status));
      });
    }
  }
}

void SoakRun::Stop(const std::string& name) {
  m_instances.at(name).process->Terminate();
  CheckEnd(name);
}

void SoakRun::CheckEnd(const std::string& name) {
  ChildProcess& process = *m_instances.at(name).process;
  const bool ended = process.WaitForEnd(kGrace);
  if (!ended || process.ExitCode() != 0) {
    OnIoThread([&] {
      m_ledger.OnViolation(
          absl::StrCat("instance ", name, " didn't end in order"));
    });
  }
}

void SoakRun::CheckProcesses() {
  for (auto& [name, instance] : m_instances) {
    if (!instance.process->IsRunning()) {
      OnIoThread([&, failed = name] {
        m_ledger.OnViolation("instance " + failed + " ended by itself");
      });
      StartInstance(name);
      WaitUntilReady(name);
    }
  }
}

SoakReport SoakRun::Play() {
  const MonotonicTime begin = emulator::ReadMonotonicClock();
  OnIoThread([this] { m_store->KeepCopy(); });
  Sleep(Seconds(2));
  const int rounds = m_settings.script.empty()
                         ? m_settings.rounds
                         : static_cast<int>(m_settings.script.size());
  for (int round = 0; round < rounds; ++round) {
    const std::vector<SoakFault> faults =
        m_settings.script.empty()
            ? DrawFaults()
            : m_settings.script[static_cast<std::size_t>(round)];
    NoteDisturbance([&] { PlayFaults(faults); });
    CheckProcesses();
    Sleep(SoakLedger::kContactTime);
    OnIoThread([this] { m_store->KeepCopy(); });
    PlayWork(static_cast<SoakWork>(
        m_random.NextBelow(EnumNames(SoakWork{}).size())));
    CheckProcesses();
  }
  Sleep(SoakLedger::kContactTime);
  const MonotonicTime calm = emulator::ReadMonotonicClock();
  Sleep(Seconds(3));
  OnIoThread([this] { m_callers->Stop(); });
  Sleep(kCallerTime);
  SoakReport report;
  OnIoThread([&] {
    report.store_calls = m_store->Calls();
    if (m_callers->Pending() > 0) {
      m_ledger.OnViolation(
          absl::StrCat(m_callers->Pending(), " requests never ended"));
    }
  });
  for (const auto& [name, instance] : m_instances) {
    Stop(name);
  }
  OnIoThread([&] {
    report.violations = m_ledger.FindViolations();
    report.all = m_ledger.ShareSince(begin);
    report.calm = m_ledger.ShareSince(calm);
  });
  return report;
}

}  // namespace kumquatcove::stand_in
