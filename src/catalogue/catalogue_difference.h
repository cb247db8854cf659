#ifndef CATALOGUE_CATALOGUE_DIFFERENCE_H_
#define CATALOGUE_CATALOGUE_DIFFERENCE_H_

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include <boost/describe/class.hpp>

#include "base/enum_table.h"
#include "catalogue/entry.h"

namespace kumquatcove {

enum class DifferenceKind { kAdded, kChanged, kRemoved };

constexpr auto EnumNames(DifferenceKind) {
  using Row = EnumName<DifferenceKind>;
  return std::array{Row{DifferenceKind::kAdded, "added"},
                    Row{DifferenceKind::kChanged, "changed"},
                    Row{DifferenceKind::kRemoved, "removed"}};
}

/** A value of an entry that differs. */
struct FieldDifference {
  /** Place of the value, such as `$.upstreams[caja-3].drained`; elements of
   * lists go by their id, name or prefix if they have one. */
  std::string path;
  /** The values as JSON; empty where there is none. */
  std::string before;
  std::string after;
  friend bool operator==(const FieldDifference&,
                         const FieldDifference&) = default;
};
BOOST_DESCRIBE_STRUCT(FieldDifference, (), (path, before, after))

/** An entry that differs. */
struct EntryDifference {
  std::string entry;
  DifferenceKind kind = DifferenceKind::kChanged;
  /** Revision of the entry in the snapshot, which an edit must expect; 0 for an
   * added one. */
  std::int64_t expected_revision = 0;
  /** What differs in a changed entry. */
  std::vector<FieldDifference> fields;
  friend bool operator==(const EntryDifference&,
                         const EntryDifference&) = default;
};
BOOST_DESCRIBE_STRUCT(EntryDifference,
                      (),
                      (entry, kind, expected_revision, fields))

/** Returns what turns the committed catalogue `before` into `after`, sorted by
 * entry; equal entries are left out. */
std::vector<EntryDifference> DiffCatalogue(const CatalogueSnapshot& before,
                                           const std::vector<EntryBody>& after);

}  // namespace kumquatcove

#endif  // CATALOGUE_CATALOGUE_DIFFERENCE_H_
