#ifndef CATALOGUE_CATALOGUE_VALIDATOR_H_
#define CATALOGUE_CATALOGUE_VALIDATOR_H_

#include <string>
#include <vector>

#include "catalogue/catalogue_problem.h"
#include "catalogue/entry.h"

namespace kumquatcove {

/** Place of an entry in a file. */
struct EntryLocation {
  std::string file;
  /** JSON path of the entry. */
  std::string path;
};

/** An entry and where it was declared. */
struct LocatedEntry {
  EntryLocation location;
  EntryBody body;
};

/**
 * Checks a whole catalogue: ranges of all values, names that occur twice, and
 * references to regions and availability zones that don't exist.
 *
 * Returns all problems, none if the catalogue is valid. An empty catalogue is
 * valid.
 */
std::vector<CatalogueProblem> ValidateCatalogue(
    const std::vector<LocatedEntry>& entries);

/** As above, with paths that start at the entry's name. */
std::vector<CatalogueProblem> ValidateCatalogue(
    const std::vector<EntryBody>& bodies);

}  // namespace kumquatcove

#endif  // CATALOGUE_CATALOGUE_VALIDATOR_H_
