#ifndef CONFIGURATION_FAKE_STORE_H_
#define CONFIGURATION_FAKE_STORE_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/clock_reading.h"
#include "base/random.h"
#include "protocol/effect.h"
#include "protocol/store_operation.h"

namespace kumquatcove {

/**
 * Simulation of the platform's table with faults: unavailable, slow, reply lost
 * after the effect, effect after the timeout, restored from an older copy.
 *
 * Thread safety: none.
 */
class FakeStore {
 public:
  /** Faults that apply to subsequent calls. */
  struct Faults {
    bool down = false;
    std::int64_t lost_reply_permille = 0;
    std::int64_t late_effect_permille = 0;
    std::int64_t refused_permille = 0;
    /** Whether the three rates above apply to writes only. */
    bool writes_only = false;
    Duration max_delay = Milliseconds(5);
  };
  using Receiver = std::function<bool(std::size_t node,
                                      std::uint64_t process_number,
                                      StoreRequestId id,
                                      const StoreReply& reply)>;

  explicit FakeStore(std::uint64_t seed) : m_random(seed) {}

  void SetFaults(const Faults& faults) { m_faults = faults; }

  /** Accepts a call of process `process_number` of a node. */
  void Call(MonotonicTime now,
            std::size_t node,
            std::uint64_t process_number,
            const CallStore& call) {
    Pending pending{node, process_number, call, now + Delay(), now, {}, true};
    pending.reply_at = pending.effect_at + Delay();
    const bool exempt = m_faults.writes_only &&
                        !std::holds_alternative<StoreWrite>(call.operation);
    const auto draw =
        exempt ? 1000 : static_cast<std::int64_t>(m_random.NextBelow(1000));
    if (m_faults.down) {
      pending.has_effect = false;
      pending.reply_at = now + call.timeout;
    } else if (draw < m_faults.refused_permille) {
      pending.has_effect = false;
      pending.reply.status = StoreStatus::kRefused;
    } else if (draw <
               m_faults.refused_permille + m_faults.lost_reply_permille) {
      pending.reply_at = now + call.timeout;
      pending.is_lost = true;
    } else if (draw < m_faults.refused_permille + m_faults.lost_reply_permille +
                          m_faults.late_effect_permille) {
      pending.effect_at = now + call.timeout + Delay() * 100;
      pending.reply_at = now + call.timeout;
    }
    if (pending.reply_at > now + call.timeout) {
      pending.reply_at = now + call.timeout;
      pending.is_lost = true;
    }
    m_pending.push_back(std::move(pending));
  }

  /** Executes the operations and delivers the replies that are due at `now`.
   * `receiver` returns false if the process is frozen. */
  void Step(MonotonicTime now, const Receiver& receiver) {
    std::stable_sort(m_pending.begin(), m_pending.end(),
                     [](const Pending& a, const Pending& b) {
                       return a.effect_at < b.effect_at;
                     });
    for (Pending& pending : m_pending) {
      if (pending.has_effect && pending.effect_at <= now) {
        pending.has_effect = false;
        const StoreReply reply = Execute(pending.call.operation);
        if (!pending.is_lost && !pending.replied) {
          pending.reply = reply;
        }
      }
    }
    std::vector<Pending> due = std::exchange(m_pending, {});
    for (Pending& pending : due) {
      if (!pending.replied && pending.reply_at <= now) {
        pending.replied = receiver(pending.node, pending.process_number,
                                   pending.call.id, pending.reply);
      }
      if (!pending.replied || pending.has_effect) {
        m_pending.push_back(std::move(pending));
      }
    }
  }

  const std::map<std::string, StoreRow>& Rows() const { return m_rows; }

  /** Copies the rows, for a later RestoreCopy. */
  void TakeCopy() { m_copy = {m_rows, m_version}; }

  /** Replaces rows and versions by those of the last copy. */
  void RestoreCopy() {
    m_rows = m_copy.rows;
    m_version = m_copy.version;
  }

  void Overwrite(const std::string& key, const std::string& value) {
    m_rows[key] = {key, ++m_version, value};
  }

 private:
  struct Pending {
    std::size_t node = 0;
    std::uint64_t process_number = 0;
    CallStore call;
    MonotonicTime effect_at;
    MonotonicTime reply_at;
    StoreReply reply;
    bool has_effect = false;
    bool is_lost = false;
    bool replied = false;
  };

  struct Copy {
    std::map<std::string, StoreRow> rows;
    std::int64_t version = 0;
  };

  Duration Delay() {
    return Duration(m_random.NextBelow(
        static_cast<std::uint64_t>(m_faults.max_delay.count()) + 1));
  }

  StoreRow Row(const std::string& key) const {
    const auto found = m_rows.find(key);
    return found == m_rows.end() ? StoreRow{key, 0, ""} : found->second;
  }

  StoreTransactionResult Transact(const StoreTransaction& transaction) {
    StoreTransactionResult result{true, {}};
    for (const StoreCondition& condition : transaction.conditions) {
      result.rows.push_back(Row(condition.key));
      result.committed =
          result.committed && result.rows.back().version == condition.version;
    }
    if (result.committed) {
      result.rows.clear();
      for (const StoreMutation& mutation : transaction.mutations) {
        if (mutation.value) {
          Overwrite(mutation.key, *mutation.value);
        } else {
          m_rows.erase(mutation.key);
        }
      }
    }
    return result;
  }

  StoreReply Execute(const StoreOperation& operation) {
    StoreReply reply;
    reply.status = StoreStatus::kOk;
    if (const auto* read = std::get_if<StoreRead>(&operation)) {
      for (const std::string& key : read->keys) {
        reply.rows.push_back(Row(key));
      }
    } else if (const auto* scan = std::get_if<StoreScan>(&operation)) {
      for (const auto& [key, row] : m_rows) {
        if (key.compare(0, scan->prefix.size(), scan->prefix) == 0) {
          reply.rows.push_back(row);
        }
      }
    } else if (const auto* write = std::get_if<StoreWrite>(&operation)) {
      for (const StoreTransaction& transaction : write->transactions) {
        reply.results.push_back(Transact(transaction));
      }
    }
    return reply;
  }

  Random m_random;
  Faults m_faults;
  std::map<std::string, StoreRow> m_rows;
  std::int64_t m_version = 0;
  Copy m_copy;
  std::vector<Pending> m_pending;
};

}  // namespace kumquatcove

#endif  // CONFIGURATION_FAKE_STORE_H_
