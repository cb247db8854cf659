#include <cstdint>
#include <iostream>
#include <string>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/strings/str_split.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/json/serialize.hpp>

#include "emulator/network_address.h"
#include "emulator/program_usage.h"
#include "tools/load_generator.h"

ABSL_FLAG(std::string, lookup, "", "addresses of entry instances for look-ups");
ABSL_FLAG(
    std::string,
    mix,
    "",
    "services: NAME:rate=N[:long=SHARE][:scheme=host|path|code][:key],...");
ABSL_FLAG(std::string, direct, "", "addresses to use without look-ups");
ABSL_FLAG(std::string, clients, "", "IPv4 numbers of callers, one a region");
ABSL_FLAG(std::int32_t, callers, 32, "callers with look-ups of their own");
ABSL_FLAG(double, duration_s, 10, "how long requests are sent");
ABSL_FLAG(double, warm_up_s, 0, "first part that isn't reported");
ABSL_FLAG(std::int32_t,
          max_outstanding,
          10000,
          "requests that may be unanswered at one time");
ABSL_FLAG(std::int64_t,
          caller_delay_us,
          0,
          "delay between callers and entry instances in each direction");
ABSL_FLAG(std::int64_t, deadline_ms, 1000, "deadline of each request");
ABSL_FLAG(std::int32_t, max_attempts, 3, "entry instances tried for a request");
ABSL_FLAG(bool,
          resend,
          false,
          "send requests whose outcome is unknown again with the same key");
ABSL_FLAG(std::int32_t, answer_bytes, 0, "padding asked for in answers");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of arrivals and callers");
ABSL_FLAG(std::string, output, "text", "form of the report: text or json");

namespace kumquatcove {
namespace {

Duration FromSeconds(double seconds) {
  return Duration(static_cast<Duration::rep>(seconds * 1e6));
}

std::vector<std::string> ParseAddresses(const std::string& flag,
                                        const std::string& text) {
  std::vector<std::string> addresses =
      absl::StrSplit(text, ',', absl::SkipEmpty());
  for (const std::string& address : addresses) {
    if (!emulator::ParseAddress(address)) {
      std::string problem = flag;
      problem.append(": '").append(address).append(
          "' is not an IP number and port");
      throw LoadSettingsError(problem);
    }
  }
  return addresses;
}

LoadSettings ReadSettings() {
  LoadSettings settings;
  settings.lookup = ParseAddresses("--lookup", absl::GetFlag(FLAGS_lookup));
  settings.direct = ParseAddresses("--direct", absl::GetFlag(FLAGS_direct));
  settings.services = ParseMix(absl::GetFlag(FLAGS_mix));
  settings.clients =
      absl::StrSplit(absl::GetFlag(FLAGS_clients), ',', absl::SkipEmpty());
  settings.callers = absl::GetFlag(FLAGS_callers);
  settings.duration = FromSeconds(absl::GetFlag(FLAGS_duration_s));
  settings.warm_up = FromSeconds(absl::GetFlag(FLAGS_warm_up_s));
  settings.max_outstanding = absl::GetFlag(FLAGS_max_outstanding);
  settings.caller_delay = Duration(absl::GetFlag(FLAGS_caller_delay_us));
  settings.deadline = Milliseconds(absl::GetFlag(FLAGS_deadline_ms));
  settings.max_attempts = absl::GetFlag(FLAGS_max_attempts);
  settings.resend = absl::GetFlag(FLAGS_resend);
  settings.answer_bytes = absl::GetFlag(FLAGS_answer_bytes);
  settings.seed = absl::GetFlag(FLAGS_seed);
  return settings;
}

int Run() {
  const std::string output = absl::GetFlag(FLAGS_output);
  if (output != "text" && output != "json") {
    throw LoadSettingsError("--output: expected text or json");
  }
  boost::asio::io_context io(1);
  LoadGenerator generator(io, ReadSettings());
  boost::asio::signal_set signals(io, SIGINT, SIGTERM);
  signals.async_wait([&](boost::system::error_code error, int) {
    if (!error) {
      generator.Stop();
    }
  });
  generator.Start();
  // The signal handler alone would keep run() from returning.
  while (!generator.IsFinished()) {
    io.run_one();
  }
  const Duration measured = generator.Measured();
  if (output == "json") {
    std::cout << boost::json::serialize(generator.Report().ToJson(measured))
              << '\n';
  } else {
    std::cout << generator.Report().ToText(measured)
              << "look-ups: " << generator.Directory().Lookups() << ", failed "
              << generator.Directory().FailedLookups() << '\n';
  }
  return generator.Report().Mismatches() == 0 ? 0 : 2;
}

}  // namespace
}  // namespace kumquatcove

int main(int argc, char** argv) {
  kumquatcove::emulator::SetProgramUsage(
      "kumquatcove-load",
      "Sends requests as callers do and reports latencies and outcomes.\n"
      "Exit codes: 0 ok, 1 wrong use, 2 an answer was not the caller's own or "
      "not whole.");
  absl::ParseCommandLine(argc, argv);
  try {
    return kumquatcove::Run();
  } catch (const kumquatcove::LoadSettingsError& error) {
    std::cerr << "kumquatcove-load: " << error.what() << "\n";
    return 1;
  }
}
