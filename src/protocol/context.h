#ifndef PROTOCOL_CONTEXT_H_
#define PROTOCOL_CONTEXT_H_

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "base/clock_reading.h"
#include "base/enum_table.h"
#include "base/hybrid_clock.h"
#include "base/name.h"
#include "base/random.h"
#include "catalogue/catalogue_index.h"
#include "protocol/effect.h"
#include "protocol/ids.h"

namespace kumquatcove {

/** Identity of this instance, taken from its settings. Constant at run time
 * except for `incarnation`. */
struct Identity {
  InstanceId instance;
  /** Start time in wall-clock microseconds. Membership raises it above any
   * other value received for this instance. */
  std::int64_t incarnation = 0;
  RegionName region;
  ZoneName zone;
  std::string caller_address;
  std::string peer_address;
};

/** Module that sent an operation to the store and receives its reply. */
enum class StoreClientModule {
  kConfiguration,
  kClaims,
  kLimits,
  kRegistry,
  kPresence,
};

constexpr auto EnumNames(StoreClientModule) {
  using Row = EnumName<StoreClientModule>;
  return std::array{Row{StoreClientModule::kConfiguration, "configuration"},
                    Row{StoreClientModule::kClaims, "claims"},
                    Row{StoreClientModule::kLimits, "limits"},
                    Row{StoreClientModule::kRegistry, "registry"},
                    Row{StoreClientModule::kPresence, "presence"}};
}

/**
 * State shared by the modules of one node: time, identity, random numbers, the
 * active catalogue and the list of effects.
 *
 * The reducer owns the context and calls SetNow before each event. Thread
 * safety: none; must be used by one reducer only.
 */
class Context {
 public:
  Context(Identity identity, std::uint64_t seed);

  const Identity& Self() const { return m_identity; }
  /** Raises this instance's incarnation. Precondition: `incarnation` is not
   * less than the current one. */
  void RaiseIncarnation(std::int64_t incarnation);

  MonotonicTime Now() const { return m_now.monotonic; }
  WallTime Wall() const { return m_now.wall; }
  void SetNow(ClockReading now) { m_now = now; }

  Random& RandomNumbers() { return m_random; }

  const CatalogueIndex& Catalogue() const { return *m_catalogue; }
  std::shared_ptr<const CatalogueIndex> SharedCatalogue() const {
    return m_catalogue;
  }
  void SetCatalogue(std::shared_ptr<const CatalogueIndex> catalogue);

  /** Appends an effect. Effects are executed in the order of the calls. */
  void Emit(Effect effect) { m_effects.push_back(std::move(effect)); }

  /** Sends `message` to an instance at its peer address, with a timestamp of
   * the hybrid clock. */
  void SendTo(const InstanceId& instance,
              const std::string& address,
              PeerMessage message);

  /** Sends an operation to the store and returns its id; the reply is passed to
   * `module`. For `fresh_connection` see CallStore. */
  StoreRequestId CallStoreFor(StoreClientModule module,
                              StoreOperation operation,
                              Duration timeout,
                              bool fresh_connection = false);

  /** Sets `module` to the module that waits for the reply and removes the call.
   * Returns false if the reply is unexpected (late or repeated). */
  bool TakeStoreCall(StoreRequestId id, StoreClientModule& module);

  /** Records a timeline event with a timestamp of the hybrid clock. */
  void Record(std::string event,
              std::string subject,
              std::vector<TimelineField> fields = {});

  /** Merges the timestamp of a received message into the hybrid clock. */
  void MergeTimestamp(HybridTimestamp remote) {
    m_clock.Merge(remote, m_now.wall);
  }

  /** Returns a number that, barring a hash collision, is not used by any other
   * instance or earlier incarnation of this one. */
  std::uint64_t NextUniqueNumber();

  /** Returns the effects emitted since the last call and clears them. */
  std::vector<Effect> TakeEffects();

 private:
  Identity m_identity;
  ClockReading m_now;
  HybridClock m_clock;
  Random m_random;
  std::shared_ptr<const CatalogueIndex> m_catalogue;
  std::vector<Effect> m_effects;
  absl::flat_hash_map<StoreRequestId, StoreClientModule> m_store_calls;
  std::uint64_t m_unique_base = 0;
  std::uint64_t m_unique_count = 0;
  std::uint64_t m_store_count = 0;
};

}  // namespace kumquatcove

#endif  // PROTOCOL_CONTEXT_H_
