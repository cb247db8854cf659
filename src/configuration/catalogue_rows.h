#ifndef CONFIGURATION_CATALOGUE_ROWS_H_
#define CONFIGURATION_CATALOGUE_ROWS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/describe/class.hpp>

#include "base/name.h"
#include "catalogue/entry.h"
#include "protocol/operator_command.h"
#include "protocol/store_operation.h"

namespace kumquatcove {

inline constexpr std::string_view kHeadKey = "catalogue/head";
inline constexpr std::string_view kEntryPrefix = "catalogue/entry/";
inline constexpr std::string_view kEditPrefix = "catalogue/edit/";

/** Returns the key of the row of an entry. */
std::string EntryKey(std::string_view entry_name);
/** Returns the key of the row of an edit. */
std::string EditKey(const EditId& edit);

/** Content of the row `catalogue/head`. */
struct HeadRow {
  std::int64_t revision = 0;
  /** Digest of the whole catalogue at `revision`. */
  std::uint64_t digest = 0;
  friend bool operator==(const HeadRow&, const HeadRow&) = default;
};
BOOST_DESCRIBE_STRUCT(HeadRow, (), (revision, digest))

/** Content of a row `catalogue/edit/<edit id>`: the record of a committed edit.
 */
struct EditRow {
  EditId edit;
  /** Revision that the edit created. */
  std::int64_t revision = 0;
  OperatorName operator_name;
  /** Entry instance that committed it. */
  InstanceId instance;
  WallTime committed;
  /** Names of the entries that the edit changed. */
  std::vector<std::string> entries;
  /** Hash of the edits in the command; detects an edit id that is reused for
   * another edit. */
  std::uint64_t content_hash = 0;
  friend bool operator==(const EditRow&, const EditRow&) = default;
};
BOOST_DESCRIBE_STRUCT(
    EditRow,
    (),
    (edit, revision, operator_name, instance, committed, entries, content_hash))

/** Returns the content of the head row: a default HeadRow if the row doesn't
 * exist, or std::nullopt if it is damaged. */
std::optional<HeadRow> DecodeHeadRow(const StoreRow& row);

/** Returns the content of an edit's row, or std::nullopt if it is absent or
 * damaged.
 */
std::optional<EditRow> DecodeEditRow(const StoreRow& row);

/**
 * Returns the catalogue that consists of all rows under kEntryPrefix, or
 * std::nullopt if one of them is damaged.
 *
 * Its revision is the highest revision of its entries, because each edit sets
 * the revision of the entries that it changes, and entries are never deleted.
 * One scan is therefore sufficient to read a consistent catalogue, without the
 * head row.
 */
std::optional<CatalogueSnapshot> DecodeCatalogue(
    const std::vector<StoreRow>& rows);

/** Returns the row value of `content`. */
std::string EncodeRow(const HeadRow& content);
std::string EncodeRow(const EditRow& content);
std::string EncodeRow(const CatalogueEntry& content);

/** Returns a hash of the edits of `command`. */
std::uint64_t ContentHash(const ApplyCommand& command);

}  // namespace kumquatcove

#endif  // CONFIGURATION_CATALOGUE_ROWS_H_
