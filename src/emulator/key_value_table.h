#ifndef EMULATOR_KEY_VALUE_TABLE_H_
#define EMULATOR_KEY_VALUE_TABLE_H_

#include <array>
#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <variant>
#include <vector>

#include "base/enum_table.h"

namespace kumquatcove::emulator {

/** A row with the revisions that the table keeps of it; all are 0 if there is
 * no row. */
struct TableRow {
  std::string key;
  std::string value;
  std::int64_t create_revision = 0;
  std::int64_t mod_revision = 0;
  std::int64_t version = 0;
  friend bool operator==(const TableRow&, const TableRow&) = default;
};

/** What a comparison looks at. */
enum class CompareTarget { kVersion, kCreate, kMod };

constexpr auto EnumNames(CompareTarget) {
  using Row = EnumName<CompareTarget>;
  return std::array{Row{CompareTarget::kVersion, "VERSION"},
                    Row{CompareTarget::kCreate, "CREATE"},
                    Row{CompareTarget::kMod, "MOD"}};
}

enum class CompareResult { kEqual, kGreater, kLess, kNotEqual };

constexpr auto EnumNames(CompareResult) {
  using Row = EnumName<CompareResult>;
  return std::array{Row{CompareResult::kEqual, "EQUAL"},
                    Row{CompareResult::kGreater, "GREATER"},
                    Row{CompareResult::kLess, "LESS"},
                    Row{CompareResult::kNotEqual, "NOT_EQUAL"}};
}

struct TableCompare {
  std::string key;
  CompareTarget target = CompareTarget::kVersion;
  CompareResult result = CompareResult::kEqual;
  std::int64_t number = 0;
};

/** Reads the row `key`, or, with a `range_end`, all rows from `key` to before
 * `range_end`; a `range_end` of one zero byte has no upper limit. */
struct TableRange {
  std::string key;
  std::string range_end;
  /** Greatest number of rows returned; 0 means all. */
  std::int64_t limit = 0;
};

struct TablePut {
  std::string key;
  std::string value;
};

/** Deletes the rows that a TableRange of the same members reads. */
struct TableDelete {
  std::string key;
  std::string range_end;
};

struct TableOperation;

/** Runs `success` if all comparisons hold, else `failure`. */
struct TableTransaction {
  std::vector<TableCompare> compares;
  std::vector<TableOperation> success;
  std::vector<TableOperation> failure;
};

struct TableOperation {
  std::variant<TableRange, TablePut, TableDelete, TableTransaction> body;
};

struct TableRangeResult {
  std::vector<TableRow> rows;
  /** Number of rows in the range, also those beyond the limit. */
  std::int64_t count = 0;
};

struct TablePutResult {};

struct TableDeleteResult {
  std::int64_t deleted = 0;
};

struct TableOperationResult;

struct TableTransactionResult {
  bool succeeded = false;
  std::vector<TableOperationResult> results;
};

struct TableOperationResult {
  std::variant<TableRangeResult,
               TablePutResult,
               TableDeleteResult,
               TableTransactionResult>
      body;
};

/** A transaction that the table can't run, such as one that puts a key twice.
 */
class TableError : public std::runtime_error {
  using std::runtime_error::runtime_error;
};

/**
 * Transactional table with the semantics of the etcd v3 key-value API.
 *
 * All changes of one transaction share one revision. The comparisons of nested
 * transactions look at the state before the outermost one. Thread safety: none.
 */
class KeyValueTable {
 public:
  /** Returns the revision of the last change; 1 for an empty table. */
  std::int64_t Revision() const { return m_revision; }

  /** Returns the id that distinguishes the table from the one that it was
   * restored from. As in etcd, a restore changes it; here it rises. */
  std::int64_t ClusterId() const { return m_cluster_id; }

  /** Replaces all rows and the revision by those of `copy`, an earlier state of
   * this table. Changes that were made since are lost, and their revisions are
   * given out again. */
  void Restore(const KeyValueTable& copy);

  TableRangeResult Range(const TableRange& range) const;

  /** Runs a transaction as a whole. Throws TableError, without any change, if
   * a key would be changed twice. */
  TableTransactionResult Run(const TableTransaction& transaction);

 private:
  using Rows = std::map<std::string, TableRow>;
  struct Plan;

  Rows::const_iterator RangeBegin(const std::string& key,
                                  const std::string& end) const;
  Rows::const_iterator RangeEnd(const std::string& key,
                                const std::string& end) const;
  bool Holds(const TableCompare& compare) const;
  Plan MakePlan(const TableTransaction& transaction) const;
  TableTransactionResult Execute(const Plan& plan);
  TableOperationResult ExecuteOperation(const TableOperation& operation,
                                        const Plan* nested);
  TableDeleteResult Delete(const TableDelete& operation);
  void Put(const TablePut& operation);

  Rows m_rows;
  std::int64_t m_revision = 1;
  std::int64_t m_cluster_id = 1;
};

/** Returns whether a transaction could change the table. */
bool IsWrite(const TableTransaction& transaction);

}  // namespace kumquatcove::emulator

#endif  // EMULATOR_KEY_VALUE_TABLE_H_
