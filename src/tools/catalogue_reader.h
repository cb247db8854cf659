#ifndef TOOLS_CATALOGUE_READER_H_
#define TOOLS_CATALOGUE_READER_H_

#include <stdexcept>
#include <string>
#include <vector>

#include "catalogue/entry.h"

namespace kumquatcove {

/** A catalogue file can't be read or isn't a valid catalogue. */
class CatalogueFileError : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

/** Returns the entries that the files declare, which may be a part of a
 * catalogue. Throws CatalogueFileError. */
std::vector<EntryBody> ReadCatalogueFiles(
    const std::vector<std::string>& paths);

/** Returns the number of entries of a whole catalogue in files. Throws
 * CatalogueFileError with all problems that it has. */
std::size_t ValidateCatalogueFiles(const std::vector<std::string>& paths);

/** Throws CatalogueFileError with all problems of a whole catalogue, if it has
 * any. */
void CheckCatalogue(const std::vector<EntryBody>& entries);

}  // namespace kumquatcove

#endif  // TOOLS_CATALOGUE_READER_H_
