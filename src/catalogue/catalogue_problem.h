#ifndef CATALOGUE_CATALOGUE_PROBLEM_H_
#define CATALOGUE_CATALOGUE_PROBLEM_H_

#include <string>
#include <vector>

#include <boost/describe/class.hpp>

namespace kumquatcove {

/** One reason why a catalogue is refused. */
struct CatalogueProblem {
  /** File that holds the value; empty if the catalogue isn't read from files.
   */
  std::string file;
  /** Place of the value, such as `$.services[2].limits.headroom_permille`. */
  std::string path;
  /** The value as JSON; empty if there is none. */
  std::string value;
  /** What is wrong, with the permitted range where there is one. */
  std::string problem;
  friend bool operator==(const CatalogueProblem&,
                         const CatalogueProblem&) = default;
};
BOOST_DESCRIBE_STRUCT(CatalogueProblem, (), (file, path, value, problem))

/** Returns the problem as one line for an operator. */
std::string ToString(const CatalogueProblem& problem);

/** Returns all problems, one a line. */
std::string ToString(const std::vector<CatalogueProblem>& problems);

}  // namespace kumquatcove

#endif  // CATALOGUE_CATALOGUE_PROBLEM_H_
