#include "platform/stand_in/soak_instances.h"

#include <exception>
#include <fstream>
#include <future>
#include <sstream>
#include <thread>
#include <utility>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_replace.h>
#include <boost/asio/ip/address.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "emulator/steady_clock.h"
#include "runtime/http_connection.h"

namespace kumquatcove::stand_in {
namespace {

namespace json = boost::json;

constexpr int kCallerPort = 28'548;
constexpr int kReadyPort = 28'542;
constexpr int kLookupPort = 28'546;
constexpr int kPeerPort = 28'540;
constexpr int kStoreLinkHost = 102;

constexpr Duration kStartTimeout = Seconds(10);
constexpr Duration kAskTimeout = Seconds(2);
constexpr Duration kAskPause = Milliseconds(50);

constexpr std::int32_t kOk = 200;

}  // namespace

const std::map<std::string, std::string>& SoakZones() {
  static const std::map<std::string, std::string> kZones = {
      {"lima-a", "lima"}, {"lima-b", "lima"}, {"arequipa-a", "arequipa"}};
  return kZones;
}

void RunAndWait(IoThread& io, const std::function<void()>& work) {
  std::promise<void> done;
  io.Post([&] {
    try {
      work();
      done.set_value();
    } catch (...) {
      done.set_exception(std::current_exception());
    }
  });
  done.get_future().get();
}

SoakInstances::SoakInstances(IoThread& io,
                             SoakLedger& ledger,
                             Random& random,
                             SoakInstancesSettings settings)
    : m_io(io),
      m_ledger(ledger),
      m_random(random),
      m_settings(std::move(settings)) {
  int host = 0;
  for (const auto& [zone, region] : SoakZones()) {
    for (int i = 1; i <= m_settings.per_zone; ++i) {
      SoakInstance& instance = m_instances[absl::StrCat(zone, "-", i)];
      instance.zone = zone;
      instance.ip = absl::StrCat(m_settings.network, ++host);
    }
  }
  for (auto& [name, instance] : m_instances) {
    std::unique_ptr<LinkProxy>& link = instance.store_link;
    RunAndWait(m_io, [&] {
      const boost::asio::ip::tcp::endpoint listen(
          boost::asio::ip::make_address(
              absl::StrCat(m_settings.network, kStoreLinkHost)),
          0);
      link = std::make_unique<LinkProxy>(m_io.Context(), listen);
      link->Open(m_settings.store);
    });
    instance.settings_file = m_settings.work_folder + "/" + name + ".json";
    std::ofstream(instance.settings_file) << FillTemplate(name, instance);
    Start(name);
  }
  WaitUntilAllReady();
}

std::vector<std::string> SoakInstances::Names() const {
  std::vector<std::string> names;
  for (const auto& [name, instance] : m_instances) {
    names.push_back(name);
  }
  return names;
}

std::vector<std::string> SoakInstances::LookupAddresses() const {
  std::vector<std::string> addresses;
  for (const auto& [name, instance] : m_instances) {
    addresses.push_back(absl::StrCat(instance.ip, ":", kLookupPort));
  }
  return addresses;
}

std::string SoakInstances::CallerAddress(const SoakInstance& instance) {
  return absl::StrCat(instance.ip, ":", kCallerPort);
}

std::string SoakInstances::FillTemplate(const std::string& name,
                                        const SoakInstance& instance) const {
  std::ostringstream text;
  text << std::ifstream(m_settings.template_file).rdbuf();
  json::object zones;
  for (const auto& [zone, region] : SoakZones()) {
    zones[zone] = region;
  }
  const auto at = [&](int port) {
    return absl::StrCat(instance.ip, ":", port);
  };
  return absl::StrReplaceAll(
      text.str(), {{"{{node}}", name},
                   {"{{region}}", SoakZones().at(instance.zone)},
                   {"{{zone}}", instance.zone},
                   {"{{ip}}", instance.ip},
                   {"{{listen.front}}", at(kCallerPort)},
                   {"{{listen.directory}}", at(kLookupPort)},
                   {"{{listen.ready}}", at(kReadyPort)},
                   {"{{internal-ports.0}}", std::to_string(kPeerPort)},
                   {"{{platform.address}}",
                    absl::StrCat(m_settings.network, kStoreLinkHost, ":",
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

void SoakInstances::Start(const std::string& name) {
  SoakInstance& instance = m_instances.at(name);
  instance.process.emplace(
      m_settings.program,
      std::vector<std::string>{"--settings", instance.settings_file},
      absl::StrCat(m_settings.work_folder, "/", name, "-",
                   m_random.Next() % 1'000'000, ".log"));
  Note(name, InstanceSignal::kStarted);
}

void SoakInstances::Note(const std::string& name, InstanceSignal signal) {
  const MonotonicTime now = emulator::ReadMonotonicClock();
  RunAndWait(m_io, [&] {
    m_ledger.OnSignal(CallerAddress(m_instances.at(name)), name, signal, now);
  });
}

void SoakInstances::NoteEnd(const std::string& name) {
  Note(name, InstanceSignal::kEnded);
}

void SoakInstances::Signal(const std::string& name, InstanceSignal signal) {
  if (signal == InstanceSignal::kKill) {
    Note(name, signal);
  }
  ChildProcess& process = *m_instances.at(name).process;
  switch (signal) {
    case InstanceSignal::kTerm:
      process.Terminate();
      break;
    case InstanceSignal::kHup:
      process.Reload();
      break;
    case InstanceSignal::kStop:
      process.Freeze();
      break;
    case InstanceSignal::kCont:
      process.Thaw();
      break;
    case InstanceSignal::kKill:
      process.Kill();
      return;
    case InstanceSignal::kStarted:
    case InstanceSignal::kEnded:
      return;
  }
  Note(name, signal);
}

void SoakInstances::WaitUntilReady(const std::string& name) {
  const std::string address =
      absl::StrCat(m_instances.at(name).ip, ":", kReadyPort);
  const MonotonicTime end = emulator::ReadMonotonicClock() + kStartTimeout;
  while (Ask(address, address, "/kumquatcove/ready") != kOk) {
    if (emulator::ReadMonotonicClock() >= end) {
      throw DeploymentError("instance " + name + " doesn't get ready");
    }
    std::this_thread::sleep_for(kAskPause);
  }
}

void SoakInstances::WaitUntilAllReady() {
  for (const std::string& name : Names()) {
    WaitUntilReady(name);
  }
}

void SoakInstances::CheckEnd(const std::string& name, Duration timeout) {
  ChildProcess& process = *m_instances.at(name).process;
  const bool ended = process.WaitForEnd(timeout);
  NoteEnd(name);
  if (!ended || process.ExitCode() != 0) {
    Report(absl::StrCat("instance ", name, " didn't end in order"));
  }
}

void SoakInstances::CheckProcesses() {
  for (auto& [name, instance] : m_instances) {
    if (!instance.process->IsRunning()) {
      Report("instance " + name + " ended by itself");
      Start(name);
      WaitUntilReady(name);
    }
  }
}

std::int32_t SoakInstances::Ask(const std::string& address,
                                const std::string& host,
                                const std::string& target) {
  const auto status = std::make_shared<std::promise<std::int32_t>>();
  auto connection = std::make_shared<std::unique_ptr<HttpConnection>>();
  const std::string attempt = absl::StrCat("probe-", ++m_last_probe);
  m_io.Post([=, this] {
    SentRequest sent;
    sent.idempotent = true;
    sent.kind = target;
    m_ledger.OnSent(attempt, std::move(sent), emulator::ReadMonotonicClock());
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
  RunAndWait(m_io, [&] { connection->reset(); });
  return found;
}

void SoakInstances::Report(const std::string& violation) {
  RunAndWait(m_io, [&] { m_ledger.OnViolation(violation); });
}

}  // namespace kumquatcove::stand_in
