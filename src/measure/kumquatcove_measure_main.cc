#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <stdexcept>
#include <string>
#include <thread>

#include <stdlib.h>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "deployment/child_process.h"
#include "emulator/program_usage.h"
#include "measure/measurement.h"
#include "measure/page_report.h"
#include "measure/svg_plot.h"
#include "measure/target_check.h"
#include "measure/text_report.h"

ABSL_FLAG(std::string,
          deployment,
          "all",
          "tintorera, honey-exchange or both, with commas");
ABSL_FLAG(std::string,
          scenario,
          "all",
          "healthy, slowed, long-work, drain, headroom, cost, with commas");
ABSL_FLAG(std::string,
          contender,
          "",
          "system, random, two-choices-reported, two-choices-own, with commas");
ABSL_FLAG(std::int32_t, repeat, 0, "runs with different seeds; 0: 3, or 1");
ABSL_FLAG(double, duration_s, 0, "measured part of a scenario; 0: default");
ABSL_FLAG(std::uint64_t, seed, 1, "first seed");
ABSL_FLAG(std::string,
          program_folder,
          "",
          "folder of the programs; by default that of this one");
ABSL_FLAG(std::string, catalogue_folder, "catalogues", "folder of catalogues");
ABSL_FLAG(std::string,
          work_folder,
          "",
          "folder for logs and reports; by default a temporary one");
ABSL_FLAG(std::int32_t, first_port, 30000, "first of 2,000 loopback ports");
ABSL_FLAG(bool, quick, false, "one short run against one baseline");
ABSL_FLAG(std::string, json, "", "file for all figures as JSON");
ABSL_FLAG(std::string, page, "", "file for the Markdown page");
ABSL_FLAG(std::string, plot, "", "file for the SVG plot");

namespace kumquatcove::measure {
namespace {

MeasureArguments ReadArguments(const std::string& program) {
  MeasureArguments arguments;
  arguments.deployment = absl::GetFlag(FLAGS_deployment);
  arguments.scenario = absl::GetFlag(FLAGS_scenario);
  arguments.contender = absl::GetFlag(FLAGS_contender);
  arguments.repeat = absl::GetFlag(FLAGS_repeat);
  arguments.duration_s = absl::GetFlag(FLAGS_duration_s);
  arguments.seed = absl::GetFlag(FLAGS_seed);
  arguments.program_folder = absl::GetFlag(FLAGS_program_folder);
  arguments.catalogue_folder = absl::GetFlag(FLAGS_catalogue_folder);
  arguments.work_folder = absl::GetFlag(FLAGS_work_folder);
  arguments.first_port = absl::GetFlag(FLAGS_first_port);
  arguments.quick = absl::GetFlag(FLAGS_quick);
  if (arguments.program_folder.empty()) {
    arguments.program_folder =
        std::filesystem::absolute(program).parent_path().string();
  }
  if (arguments.work_folder.empty()) {
    arguments.work_folder =
        (std::filesystem::temp_directory_path() /
         ("kumquatcove-measure-" + std::to_string(arguments.first_port)))
            .string();
  }
  return arguments;
}

PageCircumstances CircumstancesOf(const MeasureSettings& settings) {
  PageCircumstances circumstances;
  circumstances.repeat = settings.repeat;
  circumstances.duration_s = settings.duration_s;
  circumstances.warm_up_s = settings.warm_up_s;
  circumstances.seed = settings.seed;
  circumstances.cores = std::thread::hardware_concurrency();
  if (::getloadavg(&circumstances.load_average, 1) != 1) {
    circumstances.load_average = 0;
  }
  const std::filesystem::path plot = absl::GetFlag(FLAGS_plot);
  circumstances.plot = plot.filename().string();
  return circumstances;
}

void WriteFile(const std::string& path, const std::string& text) {
  if (path.empty()) {
    return;
  }
  std::ofstream file(path);
  file << text;
  if (!file.flush()) {
    throw MeasureSettingsError("can't write " + path);
  }
}

std::string JsonReport(const FigureTable& figures) {
  boost::json::array targets;
  for (const TargetResult& result : CheckTargets(figures)) {
    targets.push_back(
        boost::json::object{{"deployment", ToString(result.deployment)},
                            {"target", result.target},
                            {"rule", ToString(result.rule)},
                            {"limit", result.limit},
                            {"measured", result.measured},
                            {"met", result.IsMet()}});
  }
  return boost::json::serialize(boost::json::object{
             {"figures", figures.ToJson()}, {"targets", std::move(targets)}}) +
         "\n";
}

void Run(const std::string& program) {
  const MeasureSettings settings = CheckArguments(ReadArguments(program));
  const PageCircumstances circumstances = CircumstancesOf(settings);
  Measurement measurement(settings, [](const std::string& step) {
    std::cerr << "measuring " << step << std::endl;
  });
  const FigureTable figures = measurement.Run();
  std::cout << TextReport(figures);
  WriteFile(absl::GetFlag(FLAGS_json), JsonReport(figures));
  WriteFile(absl::GetFlag(FLAGS_page), PageReport(figures, circumstances));
  WriteFile(absl::GetFlag(FLAGS_plot), PlotLatencies(figures));
}

}  // namespace
}  // namespace kumquatcove::measure

int main(int argc, char** argv) {
  kumquatcove::emulator::SetProgramUsage(
      "kumquatcove-measure",
      "Measures the system and its baselines in local deployments.\n"
      "Exit codes: 0 measured (whether or not targets are met), 1 wrong use, 2 "
      "a deployment failed.");
  absl::ParseCommandLine(argc, argv);
  try {
    kumquatcove::measure::Run(argv[0]);
    return 0;
  } catch (const kumquatcove::measure::MeasureSettingsError& error) {
    std::cerr << "kumquatcove-measure: " << error.what() << "\n";
    return 1;
  } catch (const std::exception& error) {
    std::cerr << "kumquatcove-measure: " << error.what() << "\n";
    return 2;
  }
}
