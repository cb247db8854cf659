#include "catalogue/catalogue_problem.h"

namespace kumquatcove {

std::string ToString(const CatalogueProblem& problem) {
  std::string line = problem.file;
  if (!line.empty()) {
    line += ": ";
  }
  line += problem.path + ": ";
  if (!problem.value.empty()) {
    line += problem.value + ": ";
  }
  return line + problem.problem;
}

std::string ToString(const std::vector<CatalogueProblem>& problems) {
  std::string lines;
  for (const CatalogueProblem& problem : problems) {
    lines += lines.empty() ? "" : "\n";
    lines += ToString(problem);
  }
  return lines;
}

}  // namespace kumquatcove
