#ifndef REGISTRY_FAKE_TABLE_H_
#define REGISTRY_FAKE_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "protocol/context.h"
#include "protocol/effect.h"
#include "protocol/event.h"

namespace kumquatcove {

/**
 * Fake of the platform's store for tests: versioned rows, watches that are
 * answered on request, and outages.
 */
class FakeTable {
 public:
  void Put(const std::string& key, const std::string& value) {
    Change({key, ++m_version, value, false});
  }
  void Remove(const std::string& key) { Change({key, ++m_version, "", true}); }
  /** Discards the history of changes up to now. */
  void Compact() { m_history.clear(), m_compacted = m_version; }

  /** Drops the pending calls, as a stalled connection does. */
  void DropCalls() { m_calls.clear(); }

  /** Queues the store calls among the effects. */
  void Take(const std::vector<Effect>& effects) {
    for (const Effect& effect : effects) {
      if (const auto* call = std::get_if<CallStore>(&effect)) {
        m_calls.push_back(*call);
        ++calls;
        fresh_connections += call->fresh_connection ? 1 : 0;
      }
    }
  }

  /** Returns the reply to the first pending call that can be answered now, or
   * nullopt if there is none. If `status` isn't kOk, every call fails with it.
   */
  std::optional<StoreReplyArrived> Reply(
      StoreStatus status = StoreStatus::kOk) {
    for (auto call = m_calls.begin(); call != m_calls.end(); ++call) {
      std::optional<StoreReply> reply = ReplyTo(call->operation, status);
      if (reply) {
        StoreReplyArrived arrived{call->id, *reply};
        m_calls.erase(call);
        return arrived;
      }
    }
    return std::nullopt;
  }

  /** Number of calls so far. */
  std::size_t calls = 0;
  /** Number of calls that requested a fresh connection. */
  std::size_t fresh_connections = 0;
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

  std::optional<StoreReply> ReplyTo(const StoreOperation& operation,
                                    StoreStatus status) {
    StoreReply reply;
    reply.status = status;
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
      if (watch->since < m_compacted) {
        reply.status = StoreStatus::kHistoryLost;
        return reply;
      }
      for (const StoreRow& row : m_history) {
        if (row.key.starts_with(watch->prefix) && row.version > watch->since) {
          reply.rows.push_back(row);
        }
      }
      return reply.rows.empty() ? std::nullopt : std::optional(reply);
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

  std::map<std::string, StoreRow> m_rows;
  std::vector<StoreRow> m_history;
  std::vector<CallStore> m_calls;
  std::int64_t m_version = 0;
  std::int64_t m_compacted = 0;
};

}  // namespace kumquatcove

#endif  // REGISTRY_FAKE_TABLE_H_
