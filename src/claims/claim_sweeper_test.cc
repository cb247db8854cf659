#include "claims/claim_sweeper.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>

#include "claims/claim_row.h"
#include "protocol/fake_store.h"

namespace kumquatcove {
namespace {

constexpr std::int64_t kHour = 3'600'000'000;
constexpr std::int64_t kStart = 500'000 * kHour;

// A sweeper with a store without faults and a simulated wall clock.
class SweepWorld {
 public:
  explicit SweepWorld(int retention_hours) : m_store(1), m_context({}, 1) {
    ServiceEntry service;
    service.service = ServiceName("caja");
    service.request_class = RequestClass::kNonIdempotent;
    service.limits.claim_retention_s = retention_hours * 3600;
    m_context.SetCatalogue(std::make_shared<const CatalogueIndex>(
        CatalogueSnapshot{1, {{1, {}, service}}}));
    Advance(0);
  }

  void Claim(const std::string& key) {
    ClaimRow row;
    row.created = m_context.Wall();
    const std::string row_key = ClaimRowKey({ServiceName("caja"), key});
    m_store.Put(row_key, EncodeClaimRow(row));
    m_store.Run(
        StoreWrite{{m_sweeper.MakeLogTransaction(m_context, {row_key})}});
  }

  // Advances the time by `duration` microseconds with one tick per minute.
  void Advance(std::int64_t duration) {
    const std::int64_t end = m_elapsed + duration;
    do {
      m_context.SetNow({MonotonicTime(Duration(m_elapsed)),
                        WallTime{kStart + m_elapsed + jump}});
      m_sweeper.OnTick(m_context);
      while (m_sweeper.NextStep() != ClaimStep::kNone) {
        m_sweeper.OnReply(m_context,
                          m_store.Run(m_sweeper.TakeCall(m_context)));
      }
      m_elapsed += kHour / 60;
    } while (m_elapsed <= end);
  }

  std::size_t Rows() const { return m_store.Rows().size(); }

  std::int64_t jump = 0;

 private:
  FakeStore m_store;
  Context m_context;
  ClaimSweeper m_sweeper;
  std::int64_t m_elapsed = 0;
};

}  // namespace

TEST_CASE(
    "Claims are removed after their retention and not before, so that the "
    "table doesn't grow and no key is sent again within its retention") {
  SweepWorld world(24);
  for (int key = 0; key < 20; ++key) {
    world.Claim(std::to_string(key));
  }
  world.Advance(24 * kHour);
  CHECK(world.Rows() == 40);
  // A later claim of the same key has its own retention.
  world.Claim("0");
  world.Advance(23 * kHour);
  CHECK(world.Rows() >= 2);
  world.Advance(100 * kHour);
  CHECK(world.Rows() < 4);
}

TEST_CASE("An instance whose wall clock jumps removes nothing") {
  SweepWorld world(24);
  world.Claim("1");
  world.Advance(kHour);
  world.jump = 25 * kHour;
  world.Advance(23 * kHour);
  CHECK(world.Rows() == 2);
}

}  // namespace kumquatcove
