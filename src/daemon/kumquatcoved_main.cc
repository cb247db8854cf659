#include <csignal>
#include <cstdlib>
#include <iostream>
#include <optional>
#include <string>
#include <utility>

#include <unistd.h>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <glog/logging.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "base/hash.h"
#include "dispatch/dispatch_reducer.h"
#include "node/node_reducer.h"
#include "platform/user_platform_dialect.h"
#include "platform/user_registry_codec.h"
#include "runtime/daemon.h"
#include "runtime/log_line.h"
#include "runtime/log_output.h"
#include "runtime/settings.h"
#include "runtime/settings_watch.h"
#include "runtime/system_clock.h"

ABSL_FLAG(std::string, settings, "", "JSON file with the settings");
ABSL_FLAG(bool, check, false, "check the settings and exit");

namespace {

constexpr int kUsageStatus = 2;

kumquatcove::NodeSettings ToNodeSettings(const kumquatcove::Settings& settings,
                                         std::int64_t incarnation) {
  kumquatcove::NodeSettings node;
  node.identity = {settings.instance,       incarnation,
                   settings.region,         settings.zone,
                   settings.caller_address, settings.peer_address};
  node.routing = settings.routing.value_or(kumquatcove::RoutingSettings{});
  node.seed = kumquatcove::StableHash(
      {settings.instance.Text(), std::to_string(incarnation)});
  return node;
}

void PostChange(kumquatcove::SettingsWatch& watch,
                kumquatcove::EventSink& events,
                bool signalled) {
  try {
    const auto settings = watch.Read(signalled);
    if (settings && settings->registered) {
      events.Post(kumquatcove::SettingsReloaded{settings->registered->limits});
    }
  } catch (const kumquatcove::SettingsError& error) {
    kumquatcove::LogError(
        kumquatcove::LogLine("reload_failed").Add("problem", error.what()));
  }
}

/** Keeps signals from ending the process while it exits, as the daemon's own
 * handlers are removed with it. */
void KeepSignalsHandled() {
  static auto& context = *new boost::asio::io_context;
  static auto& signals =
      *new boost::asio::signal_set(context, SIGTERM, SIGINT, SIGHUP);
  (void)signals;
}

int RunWith(const kumquatcove::Settings& settings,
            std::int64_t incarnation,
            const std::string& file,
            kumquatcove::ReduceFunction reduce,
            const kumquatcove::PlatformDialect& dialect) {
  // Outlives the daemon, whose thread uses it.
  kumquatcove::SettingsWatch watch(file);
  kumquatcove::Daemon daemon(settings, incarnation, std::move(reduce), dialect);
  daemon.SetReload([&watch](kumquatcove::EventSink& events, bool signalled) {
    PostChange(watch, events, signalled);
  });
  kumquatcove::LogInfo(kumquatcove::LogLine("started")
                           .Add("instance", settings.instance.Text())
                           .Add("callers", settings.caller_address)
                           .Add("operators", settings.operator_address)
                           .Add("peers", settings.peer_address));
  const int status = daemon.Run();
  KeepSignalsHandled();
  kumquatcove::LogInfo(kumquatcove::LogLine("exited").Add("status", status));
  return status;
}

int RunDaemon(const kumquatcove::Settings& settings, const std::string& file) {
  const std::int64_t incarnation =
      kumquatcove::ReadSystemClock().wall.microseconds;
  const kumquatcove::NodeSettings node = ToNodeSettings(settings, incarnation);
  if (!settings.registered) {
    kumquatcove::NodeReducer reducer(node);
    return RunWith(
        settings, incarnation, file,
        [&reducer](const kumquatcove::Event& event,
                   kumquatcove::ClockReading now) {
          return reducer.Reduce(event, now);
        },
        kumquatcove::MakeNativeDialect());
  }
  const kumquatcove::UserRegistryCodec codec;
  kumquatcove::DispatchReducer reducer(
      {node.identity, settings.registered->limits, node.seed}, codec);
  return RunWith(
      settings, incarnation, file,
      [&reducer](const kumquatcove::Event& event,
                 kumquatcove::ClockReading now) {
        return reducer.Reduce(event, now);
      },
      kumquatcove::MakeUserPlatformDialect());
}

void ParseFlags(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "entry instance of the kumquatcove traffic steering system\n"
      "usage: kumquatcoved --settings FILE [--check]");
  absl::FlagsUsageConfig usage;
  usage.version_string = [] { return std::string("kumquatcoved 0.1.0\n"); };
  absl::SetFlagsUsageConfig(usage);
  absl::ParseCommandLine(argc, argv);
}

}  // namespace

int main(int argc, char** argv) {
  ParseFlags(argc, argv);
  FLAGS_logtostderr = true;
  google::InitGoogleLogging("kumquatcoved");
  const std::string file = absl::GetFlag(FLAGS_settings);
  if (file.empty()) {
    std::cerr << "kumquatcoved: --settings FILE is missing\n";
    return kUsageStatus;
  }
  // An error that ends the process is still written to it.
  std::optional<kumquatcove::LogOutput> output;
  try {
    const kumquatcove::Settings settings = kumquatcove::ReadSettingsFile(file);
    if (absl::GetFlag(FLAGS_check)) {
      std::cout << file << ": valid\n";
      return EXIT_SUCCESS;
    }
    const kumquatcove::LogLevel level =
        settings.log_level.value_or(kumquatcove::LogLevel::kInfo);
    FLAGS_minloglevel = static_cast<int>(level);
    // The platform keeps what processes write to standard output.
    output.emplace(settings.registered ? STDOUT_FILENO : STDERR_FILENO);
    output->Install();
    return RunDaemon(settings, file);
  } catch (const kumquatcove::SettingsError& error) {
    std::cerr << "kumquatcoved: " << error.what() << '\n';
    return kUsageStatus;
  } catch (const std::exception& error) {
    kumquatcove::LogError(
        kumquatcove::LogLine("start_failed").Add("problem", error.what()));
    return EXIT_FAILURE;
  }
}
