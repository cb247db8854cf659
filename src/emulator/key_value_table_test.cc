#include "emulator/key_value_table.h"

#include <algorithm>
#include <array>
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "base/random.h"

namespace kumquatcove::emulator {
namespace {

constexpr std::array<const char*, 4> kKeys{"a", "b", "c", "d"};

/** Builds an operation in place; g++ 12 warns of members that it takes for
 * uninitialized if a temporary of the variant is moved. */
template <class Body>
TableOperation Make(Body body) {
  TableOperation operation;
  operation.body.emplace<Body>(std::move(body));
  return operation;
}

/** Naive table: a list of rows that is searched from end to end. */
class NaiveTable {
 public:
  std::int64_t Revision() const { return m_revision; }

  TableRow Row(const std::string& key) const {
    for (const TableRow& row : m_rows) {
      if (row.key == key) {
        return row;
      }
    }
    return {};
  }

  std::vector<TableRow> Range(const std::string& from,
                              const std::string& to) const {
    std::vector<TableRow> rows;
    for (const char* key : kKeys) {
      const TableRow row = Row(key);
      const bool inside = to.empty() ? key == from : key >= from && key < to;
      if (row.version > 0 && inside) {
        rows.push_back(row);
      }
    }
    return rows;
  }

  bool Run(const TableTransaction& transaction) {
    const NaiveTable before = *this;
    bool changed = false;
    const bool succeeded = Apply(transaction, before, changed);
    if (changed) {
      ++m_revision;
    }
    return succeeded;
  }

 private:
  bool Holds(const TableCompare& compare) const {
    const TableRow row = Row(compare.key);
    const std::int64_t actual =
        compare.target == CompareTarget::kVersion  ? row.version
        : compare.target == CompareTarget::kCreate ? row.create_revision
                                                   : row.mod_revision;
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

  bool Apply(const TableTransaction& transaction,
             const NaiveTable& before,
             bool& changed) {
    bool all = true;
    for (const TableCompare& compare : transaction.compares) {
      all = all && before.Holds(compare);
    }
    for (const TableOperation& operation :
         all ? transaction.success : transaction.failure) {
      if (const auto* put = std::get_if<TablePut>(&operation.body)) {
        TableRow row = Row(put->key);
        const bool is_new = row.version == 0;
        Erase(put->key);
        m_rows.push_back({put->key, put->value,
                          is_new ? m_revision + 1 : row.create_revision,
                          m_revision + 1, row.version + 1});
        changed = true;
      } else if (const auto* item = std::get_if<TableDelete>(&operation.body)) {
        for (const TableRow& row : Range(item->key, item->range_end)) {
          Erase(row.key);
          changed = true;
        }
      } else if (const auto* nested =
                     std::get_if<TableTransaction>(&operation.body)) {
        Apply(*nested, before, changed);
      }
    }
    return all;
  }

  void Erase(const std::string& key) {
    std::erase_if(m_rows, [&](const TableRow& row) { return row.key == key; });
  }

  std::vector<TableRow> m_rows;
  std::int64_t m_revision = 1;
};

TableTransaction RandomTransaction(Random& random, int depth) {
  TableTransaction transaction;
  const auto key = [&] {
    return std::string(kKeys[random.NextBelow(kKeys.size())]);
  };
  for (std::uint64_t i = random.NextBelow(3); i > 0; --i) {
    transaction.compares.push_back(
        {key(), static_cast<CompareTarget>(random.NextBelow(3)),
         static_cast<CompareResult>(random.NextBelow(4)),
         static_cast<std::int64_t>(random.NextBelow(6))});
  }
  for (auto* list : {&transaction.success, &transaction.failure}) {
    for (std::uint64_t i = random.NextBelow(4); i > 0; --i) {
      switch (random.NextBelow(depth > 0 ? 4 : 3)) {
        case 0:
          list->push_back(
              Make(TablePut{key(), std::to_string(random.NextBelow(9))}));
          break;
        case 1:
          list->push_back(Make(TableRange{key(), "", 0}));
          break;
        case 2:
          list->push_back(Make(TableDelete{
              key(), random.NextBelow(2) == 0 ? std::string() : key()}));
          break;
        default:
          list->push_back(Make(RandomTransaction(random, depth - 1)));
      }
    }
  }
  return transaction;
}

}  // namespace

TEST_CASE(
    "Guards against a table that commits, versions or numbers otherwise than a "
    "naive list of rows") {
  CHECK(rc::check([](std::uint64_t seed) {
    Random random(seed);
    KeyValueTable table;
    NaiveTable naive;
    for (int step = 0; step < 60; ++step) {
      const TableTransaction transaction = RandomTransaction(random, 2);
      const std::int64_t before = table.Revision();
      try {
        const bool succeeded = table.Run(transaction).succeeded;
        RC_ASSERT(succeeded == naive.Run(transaction));
      } catch (const TableError&) {
        RC_ASSERT(table.Revision() == before);
      }
      RC_ASSERT(table.Revision() == naive.Revision());
      RC_ASSERT(table.Range({"a", "e", 0}).rows == naive.Range("a", "e"));
      RC_ASSERT(table.Range({"b", "", 0}).rows == naive.Range("b", ""));
    }
  }));
}

TEST_CASE("Guards against a claim that two transactions both win") {
  KeyValueTable table;
  const TableTransaction claim{
      {{"claim", CompareTarget::kVersion, CompareResult::kEqual, 0}},
      {Make(TablePut{"claim", "first"})},
      {Make(TableRange{"claim", "", 0})}};
  CHECK(table.Run(claim).succeeded);
  const TableTransactionResult second = table.Run(claim);
  CHECK_FALSE(second.succeeded);
  const auto& rows = std::get<TableRangeResult>(second.results.at(0).body).rows;
  CHECK(rows.at(0).value == "first");
  CHECK(rows.at(0).version == 1);
}

TEST_CASE("Guards against a batch in which one conflict stops the others") {
  KeyValueTable table;
  table.Run({{}, {Make(TablePut{"x", "old"})}, {}});
  const auto claim = [](const std::string& key) {
    return Make(TableTransaction{
        {{key, CompareTarget::kVersion, CompareResult::kEqual, 0}},
        {Make(TablePut{key, "new"})},
        {}});
  };
  const TableTransactionResult result =
      table.Run({{}, {claim("x"), claim("y")}, {}});
  CHECK_FALSE(
      std::get<TableTransactionResult>(result.results.at(0).body).succeeded);
  CHECK(std::get<TableTransactionResult>(result.results.at(1).body).succeeded);
  CHECK(table.Range({"x", "", 0}).rows.at(0).value == "old");
}

TEST_CASE(
    "Guards against a transaction that puts a key twice and is accepted, which "
    "the real table refuses") {
  KeyValueTable table;
  const TableTransaction twice{
      {}, {Make(TablePut{"k", "1"}), Make(TablePut{"k", "2"})}, {}};
  CHECK_THROWS_AS(table.Run(twice), TableError);
  const TableTransaction deleted{
      {}, {Make(TableDelete{"a", "z"}), Make(TablePut{"k", "2"})}, {}};
  CHECK_THROWS_AS(table.Run(deleted), TableError);
  CHECK(table.Revision() == 1);
}

TEST_CASE("Guards against ranges that lose their limit or their open end") {
  KeyValueTable table;
  for (const char* key : kKeys) {
    table.Run({{}, {Make(TablePut{key, ""})}, {}});
  }
  const TableRangeResult limited = table.Range({"a", "d", 2});
  CHECK(limited.rows.size() == 2);
  CHECK(limited.count == 3);
  CHECK(table.Range({"c", std::string(1, '\0'), 0}).rows.size() == 2);
  CHECK(table.Range({"d", "a", 0}).rows.empty());
}

TEST_CASE(
    "Guards against a restore that keeps later changes, doesn't give their "
    "revisions out again, or can't be told from the table before") {
  KeyValueTable table;
  table.Run({{}, {Make(TablePut{"k", "1"})}, {}});
  const KeyValueTable copy = table;
  table.Run({{}, {Make(TablePut{"k", "2"}), Make(TablePut{"l", ""})}, {}});
  const std::int64_t lost = table.Revision();
  table.Restore(copy);
  CHECK(table.Range({"k", "", 0}).rows.at(0).value == "1");
  CHECK(table.Range({"l", "", 0}).rows.empty());
  CHECK(table.ClusterId() == copy.ClusterId() + 1);
  table.Run({{}, {Make(TablePut{"m", ""})}, {}});
  CHECK(table.Revision() == lost);
  table.Restore(copy);
  CHECK(table.ClusterId() == copy.ClusterId() + 2);
}

}  // namespace kumquatcove::emulator
