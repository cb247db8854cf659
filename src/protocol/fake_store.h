#ifndef PROTOCOL_FAKE_STORE_H_
#define PROTOCOL_FAKE_STORE_H_

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "base/clock_reading.h"
#include "base/enum_table.h"
#include "base/random.h"
#include "protocol/effect.h"
#include "protocol/ids.h"
#include "protocol/store_operation.h"

namespace kumquatcove {

/** How a FakeStore handles subsequent operations. */
enum class StoreFault {
  kNone,
  /** Refuses each operation immediately. */
  kRefused,
  /** Has no effect and sends no reply. */
  kDown,
  /** Takes effect, but the reply is lost. */
  kReplyLost,
  /** Sends no reply, and takes effect seconds after the timeout. */
  kLateEffect,
  /** Takes about as long as the timeout; operations may be reordered. */
  kSlow,
  /** One of the other faults, selected at random for each operation. */
  kMixed,
};

constexpr auto EnumNames(StoreFault) {
  using Row = EnumName<StoreFault>;
  return std::array{Row{StoreFault::kNone, "none"},
                    Row{StoreFault::kRefused, "refused"},
                    Row{StoreFault::kDown, "down"},
                    Row{StoreFault::kReplyLost, "reply-lost"},
                    Row{StoreFault::kLateEffect, "late-effect"},
                    Row{StoreFault::kSlow, "slow"},
                    Row{StoreFault::kMixed, "mixed"}};
}

/**
 * In-memory fake of the platform's table for tests of modules that call the
 * store. Simulates the faults of StoreFault, and restores from an older copy.
 * Versions are never reused within one era.
 *
 * Thread safety: none.
 */
class FakeStore {
 public:
  /** Reply to one client; the test assigns the client numbers. */
  struct Delivery {
    int client = 0;
    StoreRequestId id;
    StoreReply reply;
  };

  explicit FakeStore(std::uint64_t seed) : m_random(seed) {}

  void SetFault(StoreFault fault) { m_fault = fault; }

  /** Sets a fault for one client, which applies unless SetFault has set one for
   * all. Simulates a broken path to the store. */
  void SetClientFault(int client, StoreFault fault) {
    m_client_faults[client] = fault;
  }

  /** Accepts a call at `now`; Advance returns its reply. */
  void Call(int client, const CallStore& call, MonotonicTime now) {
    ++m_calls;
    StoreFault fault = m_fault;
    const auto found = m_client_faults.find(client);
    if (fault == StoreFault::kNone && found != m_client_faults.end()) {
      fault = found->second;
    }
    if (fault == StoreFault::kMixed) {
      fault = static_cast<StoreFault>(m_random.NextBelow(6));
    }
    Pending pending{client, call, StoreReply{}, false};
    const MonotonicTime timeout = now + call.timeout;
    const Duration there = Latency(latency_ms);
    switch (fault) {
      case StoreFault::kNone:
      case StoreFault::kMixed:
        Apply(now + there, now + there + Latency(latency_ms), timeout, pending);
        break;
      case StoreFault::kRefused:
        pending.reply.status = StoreStatus::kRefused;
        m_replies.emplace(now + there, pending);
        break;
      case StoreFault::kDown:
        m_replies.emplace(timeout, pending);
        break;
      case StoreFault::kReplyLost:
        Apply(now + there, timeout + Seconds(3600), timeout, pending);
        break;
      case StoreFault::kLateEffect:
        Apply(timeout + Latency(8000), timeout + Seconds(3600), timeout,
              pending);
        break;
      case StoreFault::kSlow: {
        const Duration slow = Latency(2 * call.timeout.count() / 1000);
        Apply(now + slow, now + slow + Latency(200), timeout, pending);
        break;
      }
    }
  }

  /** Executes all operations due up to `now` and returns the due replies in
   * order. */
  std::vector<Delivery> Advance(MonotonicTime now) {
    std::vector<Delivery> deliveries;
    while (true) {
      const bool apply = !m_applications.empty() &&
                         m_applications.begin()->first <= now &&
                         (m_replies.empty() || m_applications.begin()->first <=
                                                   m_replies.begin()->first);
      if (apply) {
        const Application next = m_applications.begin()->second;
        m_applications.erase(m_applications.begin());
        Pending done = next.pending;
        done.reply = Run(done.call.operation);
        done.reply.era = m_era;
        if (next.in_time) {
          m_replies.emplace(next.reply_at, done);
        }
      } else if (!m_replies.empty() && m_replies.begin()->first <= now) {
        const Pending& due = m_replies.begin()->second;
        deliveries.push_back({due.client, due.call.id, due.reply});
        m_replies.erase(m_replies.begin());
      } else {
        return deliveries;
      }
    }
  }

  /** Executes an operation immediately, without a fault. */
  StoreReply Run(const StoreOperation& operation) {
    return std::visit([this](const auto& typed) { return RunTyped(typed); },
                      operation);
  }

  /** Copies the rows, for a later RestoreCopy. */
  void TakeCopy() { m_copy = {m_rows, m_revision}; }

  /** Begins a new era with the rows and versions of the last copy; without any,
   * with an empty table. */
  void RestoreCopy() {
    m_rows = m_copy.rows;
    m_revision = m_copy.revision;
    ++m_era;
  }

  /** Sets a row to arbitrary text, for example to simulate corruption. */
  void Put(const std::string& key, std::string value) {
    m_rows[key] = {key, ++m_revision, std::move(value)};
  }
  void Erase(const std::string& key) { m_rows.erase(key); }
  /** Maximum one-way latency in milliseconds. */
  std::int64_t latency_ms = 5;

  const std::map<std::string, StoreRow>& Rows() const { return m_rows; }
  std::size_t Calls() const { return m_calls; }

 private:
  struct Pending {
    int client = 0;
    CallStore call;
    StoreReply reply;
    bool applied = false;
  };
  struct Copy {
    std::map<std::string, StoreRow> rows;
    std::int64_t revision = 0;
  };
  struct Application {
    Pending pending;
    MonotonicTime reply_at;
    bool in_time = false;
  };

  Duration Latency(std::int64_t milliseconds) {
    return Duration(1 + static_cast<std::int64_t>(m_random.NextBelow(
                            static_cast<std::uint64_t>(milliseconds) * 1000)));
  }

  void Apply(MonotonicTime apply_at,
             MonotonicTime reply_at,
             MonotonicTime timeout,
             const Pending& pending) {
    const bool in_time = reply_at < timeout;
    m_applications.emplace(apply_at, Application{pending, reply_at, in_time});
    if (!in_time) {
      m_replies.emplace(timeout, pending);
    }
  }

  StoreRow Row(const std::string& key) const {
    const auto found = m_rows.find(key);
    return found == m_rows.end() ? StoreRow{key, 0, ""} : found->second;
  }

  StoreReply RunTyped(const StoreRead& read) const {
    StoreReply reply{StoreStatus::kOk, {}, {}, {}};
    for (const std::string& key : read.keys) {
      reply.rows.push_back(Row(key));
    }
    return reply;
  }
  StoreReply RunTyped(const StoreScan& scan) const {
    StoreReply reply{StoreStatus::kOk, {}, {}, {}};
    for (auto row = m_rows.lower_bound(scan.prefix);
         row != m_rows.end() && row->first.starts_with(scan.prefix); ++row) {
      reply.rows.push_back(row->second);
    }
    return reply;
  }
  /** A watch returns all rows immediately. */
  StoreReply RunTyped(const StoreWatch& watch) const {
    return RunTyped(StoreScan{watch.prefix, ""});
  }
  StoreReply RunTyped(const StoreWrite& write) {
    StoreReply reply{StoreStatus::kOk, {}, {}, {}};
    for (const StoreTransaction& transaction : write.transactions) {
      reply.results.push_back(RunTransaction(transaction));
    }
    return reply;
  }
  StoreReply RunTyped(const ObjectGet&) const {
    return {StoreStatus::kOk, {}, {}, {}};
  }
  StoreReply RunTyped(const ObjectPut&) const {
    return {StoreStatus::kOk, {}, {}, {}};
  }

  StoreTransactionResult RunTransaction(const StoreTransaction& transaction) {
    StoreTransactionResult result{true, {}};
    for (const StoreCondition& condition : transaction.conditions) {
      result.rows.push_back(Row(condition.key));
      result.committed =
          result.committed && result.rows.back().version == condition.version;
    }
    if (!result.committed) {
      return result;
    }
    result.rows.clear();
    for (const StoreMutation& mutation : transaction.mutations) {
      if (mutation.value) {
        Put(mutation.key, *mutation.value);
      } else {
        m_rows.erase(mutation.key);
      }
    }
    return result;
  }

  Random m_random;
  StoreFault m_fault = StoreFault::kNone;
  std::map<int, StoreFault> m_client_faults;
  std::map<std::string, StoreRow> m_rows;
  std::int64_t m_revision = 0;
  std::int64_t m_era = 1;
  Copy m_copy;
  std::size_t m_calls = 0;
  std::multimap<MonotonicTime, Application> m_applications;
  std::multimap<MonotonicTime, Pending> m_replies;
};

}  // namespace kumquatcove

#endif  // PROTOCOL_FAKE_STORE_H_
