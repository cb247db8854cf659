#include "emulator/key_value_table.h"

#include <algorithm>
#include <memory>
#include <set>
#include <string_view>
#include <utility>

namespace kumquatcove::emulator {
namespace {

/** End of a range without an upper limit: one zero byte. */
constexpr std::string_view kNoUpperLimit("\0", 1);

struct KeyInterval {
  std::string begin;
  std::string end;
};

/** Keys that a list of operations puts and ranges that it deletes. */
struct ChangedKeys {
  std::set<std::string> puts;
  std::vector<KeyInterval> deletes;
};

bool Contains(const KeyInterval& interval, const std::string& key) {
  if (interval.end.empty()) {
    return key == interval.begin;
  }
  return key >= interval.begin &&
         (interval.end == kNoUpperLimit || key < interval.end);
}

bool Conflict(const ChangedKeys& a, const ChangedKeys& b) {
  return std::any_of(
      a.deletes.begin(), a.deletes.end(), [&](const KeyInterval& interval) {
        return std::any_of(
            b.puts.begin(), b.puts.end(),
            [&](const std::string& key) { return Contains(interval, key); });
      });
}

void Merge(ChangedKeys& into, ChangedKeys from) {
  into.puts.merge(from.puts);
  into.deletes.insert(into.deletes.end(), from.deletes.begin(),
                      from.deletes.end());
}

ChangedKeys CheckList(const std::vector<TableOperation>& operations);

struct ChangeVisitor {
  ChangedKeys operator()(const TableRange&) const { return {}; }
  ChangedKeys operator()(const TablePut& put) const { return {{put.key}, {}}; }
  ChangedKeys operator()(const TableDelete& operation) const {
    return {{}, {{operation.key, operation.range_end}}};
  }
  ChangedKeys operator()(const TableTransaction& nested) const {
    ChangedKeys changed = CheckList(nested.success);
    Merge(changed, CheckList(nested.failure));
    return changed;
  }
};

ChangedKeys CheckList(const std::vector<TableOperation>& operations) {
  ChangedKeys all;
  for (const TableOperation& operation : operations) {
    ChangedKeys changed = std::visit(ChangeVisitor{}, operation.body);
    for (const std::string& key : changed.puts) {
      if (all.puts.count(key) != 0) {
        throw TableError("duplicate key given in txn request");
      }
    }
    if (Conflict(all, changed) || Conflict(changed, all)) {
      throw TableError("duplicate key given in txn request");
    }
    Merge(all, std::move(changed));
  }
  return all;
}

bool IsWriteList(const std::vector<TableOperation>& operations) {
  return std::any_of(
      operations.begin(), operations.end(), [](const TableOperation& item) {
        if (const auto* nested = std::get_if<TableTransaction>(&item.body)) {
          return IsWrite(*nested);
        }
        return !std::holds_alternative<TableRange>(item.body);
      });
}

std::int64_t TargetOf(const TableRow& row, CompareTarget target) {
  switch (target) {
    case CompareTarget::kVersion:
      return row.version;
    case CompareTarget::kCreate:
      return row.create_revision;
    case CompareTarget::kMod:
      return row.mod_revision;
  }
  return 0;
}

}  // namespace

/** The branch of a transaction that its comparisons chose, with the plans of
 * the nested ones; null for other operations. */
struct KeyValueTable::Plan {
  bool succeeded = false;
  const std::vector<TableOperation>* operations = nullptr;
  std::vector<std::unique_ptr<Plan>> nested;
};

KeyValueTable::Rows::const_iterator KeyValueTable::RangeBegin(
    const std::string& key,
    const std::string& end) const {
  return end.empty() ? m_rows.find(key) : m_rows.lower_bound(key);
}

KeyValueTable::Rows::const_iterator KeyValueTable::RangeEnd(
    const std::string& key,
    const std::string& end) const {
  if (end.empty()) {
    const auto found = m_rows.find(key);
    return found == m_rows.end() ? found : std::next(found);
  }
  if (end == kNoUpperLimit) {
    return m_rows.end();
  }
  return m_rows.lower_bound(std::max(key, end));
}

TableRangeResult KeyValueTable::Range(const TableRange& range) const {
  TableRangeResult result;
  const auto end = RangeEnd(range.key, range.range_end);
  for (auto row = RangeBegin(range.key, range.range_end); row != end; ++row) {
    if (range.limit == 0 || result.count < range.limit) {
      result.rows.push_back(row->second);
    }
    ++result.count;
  }
  return result;
}

TableTransactionResult KeyValueTable::Run(const TableTransaction& transaction) {
  CheckList(transaction.success);
  CheckList(transaction.failure);
  const Plan plan = MakePlan(transaction);
  // Changes are stamped with the next revision, which is kept only if there was
  // a change.
  const std::int64_t before = m_revision;
  const auto changed_by = [&](const Plan& part, const auto& recurse) -> bool {
    for (std::size_t i = 0; i < part.operations->size(); ++i) {
      const auto& body = (*part.operations)[i].body;
      if (std::holds_alternative<TablePut>(body) ||
          (part.nested[i] != nullptr && recurse(*part.nested[i], recurse))) {
        return true;
      }
      if (const auto* item = std::get_if<TableDelete>(&body)) {
        if (Range({item->key, item->range_end, 0}).count > 0) {
          return true;
        }
      }
    }
    return false;
  };
  if (changed_by(plan, changed_by)) {
    m_revision = before + 1;
  }
  return Execute(plan);
}

void KeyValueTable::Restore(const KeyValueTable& copy) {
  m_rows = copy.m_rows;
  m_revision = copy.m_revision;
  ++m_cluster_id;
}

bool KeyValueTable::Holds(const TableCompare& compare) const {
  const auto found = m_rows.find(compare.key);
  const std::int64_t actual = TargetOf(
      found == m_rows.end() ? TableRow{} : found->second, compare.target);
  switch (compare.result) {
    case CompareResult::kEqual:
      return actual == compare.number;
    case CompareResult::kGreater:
      return actual > compare.number;
    case CompareResult::kLess:
      return actual < compare.number;
    case CompareResult::kNotEqual:
      return actual != compare.number;
  }
  return false;
}

KeyValueTable::Plan KeyValueTable::MakePlan(
    const TableTransaction& transaction) const {
  Plan plan;
  plan.succeeded = std::all_of(
      transaction.compares.begin(), transaction.compares.end(),
      [this](const TableCompare& compare) { return Holds(compare); });
  plan.operations =
      plan.succeeded ? &transaction.success : &transaction.failure;
  for (const TableOperation& operation : *plan.operations) {
    const auto* nested = std::get_if<TableTransaction>(&operation.body);
    plan.nested.push_back(nested == nullptr
                              ? nullptr
                              : std::make_unique<Plan>(MakePlan(*nested)));
  }
  return plan;
}

TableTransactionResult KeyValueTable::Execute(const Plan& plan) {
  TableTransactionResult result;
  result.succeeded = plan.succeeded;
  for (std::size_t i = 0; i < plan.operations->size(); ++i) {
    result.results.push_back(
        ExecuteOperation((*plan.operations)[i], plan.nested[i].get()));
  }
  return result;
}

TableOperationResult KeyValueTable::ExecuteOperation(
    const TableOperation& operation,
    const Plan* nested) {
  if (nested != nullptr) {
    return {Execute(*nested)};
  }
  if (const auto* put = std::get_if<TablePut>(&operation.body)) {
    Put(*put);
    return {TablePutResult{}};
  }
  if (const auto* item = std::get_if<TableDelete>(&operation.body)) {
    return {Delete(*item)};
  }
  return {Range(std::get<TableRange>(operation.body))};
}

TableDeleteResult KeyValueTable::Delete(const TableDelete& operation) {
  const auto begin = RangeBegin(operation.key, operation.range_end);
  const auto end = RangeEnd(operation.key, operation.range_end);
  const TableDeleteResult result{std::distance(begin, end)};
  m_rows.erase(begin, end);
  return result;
}

void KeyValueTable::Put(const TablePut& operation) {
  TableRow& row = m_rows[operation.key];
  if (row.version == 0) {
    row.key = operation.key;
    row.create_revision = m_revision;
  }
  row.value = operation.value;
  row.mod_revision = m_revision;
  ++row.version;
}

bool IsWrite(const TableTransaction& transaction) {
  return IsWriteList(transaction.success) || IsWriteList(transaction.failure);
}

}  // namespace kumquatcove::emulator
