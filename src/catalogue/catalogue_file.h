#ifndef CATALOGUE_CATALOGUE_FILE_H_
#define CATALOGUE_CATALOGUE_FILE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include <boost/outcome/result.hpp>

#include "catalogue/catalogue_problem.h"
#include "catalogue/entry.h"

namespace kumquatcove {

inline constexpr std::int64_t kCatalogueFormatVersion = 1;
inline constexpr std::size_t kMaxCatalogueFileBytes = 16U << 20U;

/** A file that was read. */
struct CatalogueFile {
  /** Name shown in problems. */
  std::string name;
  std::string content;
};

/** The entries of a valid catalogue, or why it is refused. */
using CatalogueResult =
    boost::outcome_v2::result<std::vector<EntryBody>,
                              std::vector<CatalogueProblem>,
                              boost::outcome_v2::policy::all_narrow>;

/**
 * Parses a catalogue that consists of one or several files and validates it as
 * a whole.
 *
 * Each file is a JSON object with the members `format_version` (1), `topology`
 * (in exactly one file) and `services` (optional). All problems that are found
 * are returned; cross references are checked only once all files parse.
 */
CatalogueResult ParseCatalogue(const std::vector<CatalogueFile>& files);

/** Returns the file content that ParseCatalogue reads as `bodies`. */
std::string FormatCatalogue(const std::vector<EntryBody>& bodies);

}  // namespace kumquatcove

#endif  // CATALOGUE_CATALOGUE_FILE_H_
