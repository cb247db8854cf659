#ifndef PROTOCOL_STORE_OPERATION_H_
#define PROTOCOL_STORE_OPERATION_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <boost/describe/class.hpp>

#include "base/clock_reading.h"
#include "base/enum_table.h"

namespace kumquatcove {

/** Row of the platform's table. `version` increases with each change of the
 * row; a row that does not exist has version 0. */
struct StoreRow {
  std::string key;
  std::int64_t version = 0;
  std::string value;
  /** The row was deleted; `version` is that of its deletion. Set in replies to
   * StoreWatch only. */
  bool deleted = false;
  friend bool operator==(const StoreRow&, const StoreRow&) = default;
};
BOOST_DESCRIBE_STRUCT(StoreRow, (), (key, version, value, deleted))

/** Requires that the row has `version`; 0 requires that it does not exist. */
struct StoreCondition {
  std::string key;
  std::int64_t version = 0;
  friend bool operator==(const StoreCondition&,
                         const StoreCondition&) = default;
};
BOOST_DESCRIBE_STRUCT(StoreCondition, (), (key, version))

/** Sets a row, or deletes it if there is no value. */
struct StoreMutation {
  std::string key;
  std::optional<std::string> value;
  friend bool operator==(const StoreMutation&, const StoreMutation&) = default;
};
BOOST_DESCRIBE_STRUCT(StoreMutation, (), (key, value))

/** Applies all mutations if all conditions are met, otherwise none. The rows of
 * the conditions are returned on a conflict. */
struct StoreTransaction {
  std::vector<StoreCondition> conditions;
  std::vector<StoreMutation> mutations;
  friend bool operator==(const StoreTransaction&,
                         const StoreTransaction&) = default;
};
BOOST_DESCRIBE_STRUCT(StoreTransaction, (), (conditions, mutations))

/** Reads rows by key; absent rows are returned with version 0. */
struct StoreRead {
  static constexpr std::string_view kName = "read";
  std::vector<std::string> keys;
  friend bool operator==(const StoreRead&, const StoreRead&) = default;
};
BOOST_DESCRIBE_STRUCT(StoreRead, (), (keys))

/** Reads the rows whose key starts with `prefix` and is greater than `after`.
 * If `after` is empty, reads all rows with the prefix. */
struct StoreScan {
  static constexpr std::string_view kName = "scan";
  std::string prefix;
  std::string after;
  friend bool operator==(const StoreScan&, const StoreScan&) = default;
};
BOOST_DESCRIBE_STRUCT(StoreScan, (), (prefix, after))

/** Waits until a row whose key starts with `prefix` has changed since version
 * `since`, for at most `patience`. */
struct StoreWatch {
  static constexpr std::string_view kName = "watch";
  std::string prefix;
  std::int64_t since = 0;
  Duration patience{0};
  friend bool operator==(const StoreWatch&, const StoreWatch&) = default;
};
BOOST_DESCRIBE_STRUCT(StoreWatch, (), (prefix, since, patience))

/** Executes independent transactions in one write; each commits or conflicts
 * separately. */
struct StoreWrite {
  static constexpr std::string_view kName = "write";
  std::vector<StoreTransaction> transactions;
  friend bool operator==(const StoreWrite&, const StoreWrite&) = default;
};
BOOST_DESCRIBE_STRUCT(StoreWrite, (), (transactions))

/** Reads an object of the object store. */
struct ObjectGet {
  static constexpr std::string_view kName = "object_get";
  std::string key;
  friend bool operator==(const ObjectGet&, const ObjectGet&) = default;
};
BOOST_DESCRIBE_STRUCT(ObjectGet, (), (key))

/** Writes an object of the object store. */
struct ObjectPut {
  static constexpr std::string_view kName = "object_put";
  std::string key;
  std::string content;
  friend bool operator==(const ObjectPut&, const ObjectPut&) = default;
};
BOOST_DESCRIBE_STRUCT(ObjectPut, (), (key, content))

using StoreOperation = std::
    variant<StoreRead, StoreScan, StoreWatch, StoreWrite, ObjectGet, ObjectPut>;

/** Result of an operation, as far as this instance can determine it. */
enum class StoreStatus {
  kOk,
  /** The store refused the operation; it has no effect. */
  kRefused,
  /** No reply: the operation may have taken effect, or may take effect later.
   */
  kUnknown,
  /** The changes requested by a StoreWatch are no longer available; the rows
   * must be read again. */
  kHistoryLost,
};

constexpr auto EnumNames(StoreStatus) {
  return std::array{
      EnumName<StoreStatus>{StoreStatus::kOk, "ok"},
      EnumName<StoreStatus>{StoreStatus::kRefused, "refused"},
      EnumName<StoreStatus>{StoreStatus::kUnknown, "unknown"},
      EnumName<StoreStatus>{StoreStatus::kHistoryLost, "history-lost"}};
}

/** Result of one transaction; `rows` contains the current rows of its
 * conditions if it conflicted. */
struct StoreTransactionResult {
  bool committed = false;
  std::vector<StoreRow> rows;
  friend bool operator==(const StoreTransactionResult&,
                         const StoreTransactionResult&) = default;
};
BOOST_DESCRIBE_STRUCT(StoreTransactionResult, (), (committed, rows))

/** Reply of the store. The operation determines which members are set; all but
 * `era` are empty unless the status is kOk. */
struct StoreReply {
  StoreStatus status = StoreStatus::kUnknown;
  /** Set for StoreRead in the requested order, for StoreScan sorted by key, and
   * for StoreWatch in the order of the changes. */
  std::vector<StoreRow> rows;
  /** Set for StoreWrite, in the order of its transactions. */
  std::vector<StoreTransactionResult> results;
  /** Set for ObjectGet; `std::nullopt` if the object does not exist. */
  std::optional<std::string> object;
  /** Whether a StoreScan has further rows after the last one of `rows`. */
  bool more = false;
  /** Newest version that the rows of a StoreScan or StoreWatch reflect. */
  std::int64_t version = 0;
  /** Era of the store, set for any status; it rises each time the store is
   * restored from an older copy. Versions order changes within one era only,
   * since a restored store gives them out again. 0 if the store has no eras. */
  std::int64_t era = 0;
  friend bool operator==(const StoreReply&, const StoreReply&) = default;
};
BOOST_DESCRIBE_STRUCT(StoreReply,
                      (),
                      (status, rows, results, object, more, version, era))

}  // namespace kumquatcove

#endif  // PROTOCOL_STORE_OPERATION_H_
