#ifndef REGISTRY_FAKE_TABLE_ROWS_H_
#define REGISTRY_FAKE_TABLE_ROWS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "protocol/store_operation.h"

namespace kumquatcove {

/** Versioned rows of a fake store, which several instances may share. */
class FakeTableRows {
 public:
  /** State of the rows at a moment, from which they can be restored. */
  struct Copy {
    std::map<std::string, StoreRow> rows;
    std::vector<StoreRow> history;
    std::int64_t version = 0;
  };

  bool Has(const std::string& key) const { return m_rows.contains(key); }

  Copy MakeCopy() const { return {m_rows, m_history, m_version}; }
  /** Loses all changes since a copy and begins a new era, in which their
   * versions are given out again. */
  void Restore(const Copy& copy) {
    m_rows = copy.rows;
    m_history = copy.history;
    m_version = copy.version;
    ++m_era;
  }

  void Put(const std::string& key, const std::string& value) {
    Change({key, ++m_version, value, false});
  }
  void Remove(const std::string& key) { Change({key, ++m_version, "", true}); }
  /** Discards the history of changes up to now. */
  void Compact() { m_history.clear(), m_compacted = m_version; }

  /** Returns the reply to an operation; `std::nullopt` for a watch without a
   * change. If `status` isn't kOk, every operation fails with it. */
  std::optional<StoreReply> ReplyTo(const StoreOperation& operation,
                                    StoreStatus status) {
    StoreReply reply;
    reply.status = status;
    reply.era = m_era;
    if (status != StoreStatus::kOk) {
      return reply;
    }
    reply.version = m_version;
    if (const auto* scan = std::get_if<StoreScan>(&operation)) {
      for (const auto& [key, row] : m_rows) {
        if (key.starts_with(scan->prefix) && key > scan->after) {
          reply.more = reply.rows.size() == page;
          if (reply.more) {
            break;
          }
          reply.rows.push_back(row);
        }
      }
      return reply;
    }
    if (const auto* watch = std::get_if<StoreWatch>(&operation)) {
      if (watch->since < m_compacted || watch->since > m_version) {
        reply.status = StoreStatus::kHistoryLost;
        return reply;
      }
      for (const StoreRow& row : m_history) {
        if (row.key.starts_with(watch->prefix) && row.version > watch->since) {
          reply.rows.push_back(row);
        }
      }
      const bool waits =
          reply.rows.empty() && watch->patience > Duration::zero();
      return waits ? std::nullopt : std::optional(reply);
    }
    if (const auto* write = std::get_if<StoreWrite>(&operation)) {
      for (const StoreTransaction& transaction : write->transactions) {
        for (const StoreMutation& mutation : transaction.mutations) {
          mutation.value ? Put(mutation.key, *mutation.value)
                         : Remove(mutation.key);
        }
      }
      reply.results.assign(write->transactions.size(), {true, {}});
    }
    return reply;
  }

  /** Maximum number of rows that one scan returns. */
  std::size_t page = 100;

 private:
  void Change(const StoreRow& row) {
    if (row.deleted) {
      m_rows.erase(row.key);
    } else {
      m_rows[row.key] = row;
    }
    m_history.push_back(row);
  }

  std::map<std::string, StoreRow> m_rows;
  std::vector<StoreRow> m_history;
  std::int64_t m_version = 0;
  std::int64_t m_compacted = 0;
  std::int64_t m_era = 1;
};

}  // namespace kumquatcove

#endif  // REGISTRY_FAKE_TABLE_ROWS_H_
