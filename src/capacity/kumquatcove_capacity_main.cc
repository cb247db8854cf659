#include <array>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <string>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include "capacity/capacity.h"
#include "capacity/resource_meter.h"

ABSL_FLAG(std::string, page, "", "file to write docs/CAPACITY.md to");
ABSL_FLAG(std::string, json, "", "file to write all figures to");

namespace kumquatcove {
namespace {

struct Stage {
  const char* name;
  void (*measure)(FigureTable&);
};

constexpr std::array kStages = {
    Stage{"gossip", MeasureGossip},
    Stage{"look-ups", MeasureLookups},
    Stage{"catalogue", MeasureCatalogue},
    Stage{"slot home", MeasureSlotHome},
    Stage{"claims", MeasureClaims},
    Stage{"budget shares", MeasureBudgets},
    Stage{"quarantine and timeline", MeasureMemoryTables},
    Stage{"whole node", MeasureNode},
};

void PrintFigures(const FigureTable& figures) {
  for (const auto& [name, figure] : figures.Fits()) {
    std::printf("%-32s slope %.4g %s per %s, intercept %.4g, residual %.3g\n",
                name.c_str(), figure.fit.slope, figure.y_unit.c_str(),
                figure.x_unit.c_str(), figure.fit.intercept,
                figure.fit.residual);
    for (const FitSample& sample : figure.samples) {
      std::printf("    %10.0f  %.6g\n", sample.x, sample.y);
    }
  }
  for (const auto& [name, value] : figures.Values()) {
    std::printf("%-32s %.6g\n", name.c_str(), value);
  }
}

bool WriteFile(const std::string& path, const std::string& text) {
  if (path.empty()) {
    return true;
  }
  std::ofstream file(path);
  file << text;
  return file.good();
}

int Run() {
  FigureTable figures;
  for (const Stage& stage : kStages) {
    const double before = ProcessCpuSeconds();
    stage.measure(figures);
    std::fprintf(stderr, "%s: %.1f s\n", stage.name,
                 ProcessCpuSeconds() - before);
  }
  const ExpectedSize size;
  ComputeRoles(size, figures);
  PrintFigures(figures);
  const std::string page = MakeCapacityPage(figures);
  if (!WriteFile(absl::GetFlag(FLAGS_page), page) ||
      !WriteFile(absl::GetFlag(FLAGS_json), figures.ToJsonText())) {
    std::cerr << "cannot write a file\n";
    return 1;
  }
  return 0;
}

}  // namespace
}  // namespace kumquatcove

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  return kumquatcove::Run();
}
