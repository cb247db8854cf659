#ifndef REGISTRY_FAKE_TABLE_H_
#define REGISTRY_FAKE_TABLE_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "protocol/effect.h"
#include "protocol/event.h"
#include "registry/fake_table_rows.h"

namespace kumquatcove {

/**
 * Fake of one instance's access to the platform's store: versioned rows,
 * watches that are answered on request, and outages.
 */
class FakeTable {
 public:
  explicit FakeTable(std::shared_ptr<FakeTableRows> shared_rows =
                         std::make_shared<FakeTableRows>())
      : rows(std::move(shared_rows)) {}

  void Put(const std::string& key, const std::string& value) {
    rows->Put(key, value);
  }
  void Remove(const std::string& key) { rows->Remove(key); }
  void Compact() { rows->Compact(); }

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
      std::optional<StoreReply> reply = rows->ReplyTo(call->operation, status);
      if (reply) {
        StoreReplyArrived arrived{call->id, *reply};
        m_calls.erase(call);
        return arrived;
      }
    }
    return std::nullopt;
  }

  std::shared_ptr<FakeTableRows> rows;
  /** Number of calls so far. */
  std::size_t calls = 0;
  /** Number of calls that requested a fresh connection. */
  std::size_t fresh_connections = 0;

 private:
  std::vector<CallStore> m_calls;
};

}  // namespace kumquatcove

#endif  // REGISTRY_FAKE_TABLE_H_
