#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <glog/logging.h>

#include "platform/stand_in/soak_run.h"

ABSL_FLAG(std::string, program, "build/bin/kumquatcoved", "entry instance");
ABSL_FLAG(std::string,
          template_file,
          "deploy/settings.json",
          "settings template of the deployment");
ABSL_FLAG(std::string, work_folder, "/tmp/kumquatcove-soak", "settings, logs");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of faults and load");
ABSL_FLAG(int, stop_rounds, 2, "rounds of planned stops, before the faults");
ABSL_FLAG(bool,
          repeated_signals,
          true,
          "instances that are stopping may get further SIGTERMs");
ABSL_FLAG(bool,
          changes,
          true,
          "SIGHUPs and new configurations beside planned stops");
ABSL_FLAG(bool,
          awkward_times,
          true,
          "SIGTERM also to frozen instances and to some that aren't ready");
ABSL_FLAG(int, rounds, 20, "rounds of faults, each with planned work after it");
ABSL_FLAG(std::string,
          faults,
          "",
          "faults to play instead of drawn ones: rounds separated by commas, "
          "the faults of a round by +");
ABSL_FLAG(int, instances_per_zone, 2, "entry instances in each of three zones");
ABSL_FLAG(double, rate, 60, "requests per second");

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage(
      "plays faults on entry instances before stand-ins of the users' platform "
      "and checks its rules\nusage: kumquatcove-soak [--seed N] [--rounds N]");
  absl::ParseCommandLine(argc, argv);
  FLAGS_logtostderr = true;
  google::InitGoogleLogging("kumquatcove-soak");
  kumquatcove::stand_in::SoakSettings settings;
  settings.program = absl::GetFlag(FLAGS_program);
  settings.template_file = absl::GetFlag(FLAGS_template_file);
  settings.work_folder = absl::GetFlag(FLAGS_work_folder);
  settings.seed = absl::GetFlag(FLAGS_seed);
  settings.stop_rounds = absl::GetFlag(FLAGS_stop_rounds);
  settings.stops.repeated_signals = absl::GetFlag(FLAGS_repeated_signals);
  settings.stops.changes = absl::GetFlag(FLAGS_changes);
  settings.stops.awkward_times = absl::GetFlag(FLAGS_awkward_times);
  settings.rounds = absl::GetFlag(FLAGS_rounds);
  settings.instances_per_zone = absl::GetFlag(FLAGS_instances_per_zone);
  settings.requests_per_second = absl::GetFlag(FLAGS_rate);
  try {
    settings.script =
        kumquatcove::stand_in::ParseSoakScript(absl::GetFlag(FLAGS_faults));
    kumquatcove::stand_in::SoakRun run(settings);
    const kumquatcove::stand_in::SoakReport report = run.Play();
    std::cout << "seed " << settings.seed << ": served " << report.all.served
              << " of " << report.all.requests << ", in calm "
              << report.calm.served << " of " << report.calm.requests
              << ", store calls " << report.store_calls << ", late in stops "
              << report.late_sends << '\n';
    for (const std::string& violation : report.violations) {
      std::cout << "violation: " << violation << '\n';
    }
    return report.violations.empty() ? EXIT_SUCCESS : EXIT_FAILURE;
  } catch (const std::exception& error) {
    std::cerr << "kumquatcove-soak: " << error.what() << '\n';
    return EXIT_FAILURE;
  }
}
