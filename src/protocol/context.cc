#include "protocol/context.h"

#include <cassert>
#include <utility>

#include "base/hash.h"

namespace kumquatcove {
namespace {

// A unique number consists of a hash of instance and incarnation, followed by a
// counter of this many bits.
constexpr unsigned kUniqueCounterBits = 28;

}  // namespace

Context::Context(Identity identity, std::uint64_t seed)
    : m_identity(std::move(identity)),
      m_random(seed),
      m_catalogue(std::make_shared<const CatalogueIndex>()),
      m_unique_base(StableHash({m_identity.instance.Text(),
                                std::to_string(m_identity.incarnation)})
                    << kUniqueCounterBits) {}

void Context::RaiseIncarnation(std::int64_t incarnation) {
  assert(incarnation >= m_identity.incarnation);
  m_identity.incarnation = incarnation;
}

void Context::SetCatalogue(std::shared_ptr<const CatalogueIndex> catalogue) {
  assert(catalogue != nullptr);
  assert(catalogue->Revision() >= m_catalogue->Revision());
  m_catalogue = std::move(catalogue);
}

void Context::SendTo(const InstanceId& instance,
                     const std::string& address,
                     PeerMessage message) {
  Emit(SendPeer{instance, address, m_clock.Next(m_now.wall),
                std::move(message)});
}

StoreRequestId Context::CallStoreFor(StoreClientModule module,
                                     StoreOperation operation,
                                     Duration timeout,
                                     bool fresh_connection) {
  const StoreRequestId id{++m_store_count};
  m_store_calls.emplace(id, module);
  Emit(CallStore{id, std::move(operation), timeout, fresh_connection});
  return id;
}

bool Context::TakeStoreCall(StoreRequestId id, StoreClientModule& module) {
  const auto found = m_store_calls.find(id);
  if (found == m_store_calls.end()) {
    return false;
  }
  module = found->second;
  m_store_calls.erase(found);
  return true;
}

void Context::Record(std::string event,
                     std::string subject,
                     std::vector<TimelineField> fields) {
  Emit(RecordTimeline{TimelineEvent{m_clock.Next(m_now.wall),
                                    m_identity.instance, std::move(event),
                                    std::move(subject), std::move(fields)}});
}

std::uint64_t Context::NextUniqueNumber() {
  return m_unique_base + ++m_unique_count;
}

std::vector<Effect> Context::TakeEffects() {
  return std::exchange(m_effects, {});
}

}  // namespace kumquatcove
