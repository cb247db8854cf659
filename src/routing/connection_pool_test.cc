#include "routing/connection_pool.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace kumquatcove {
namespace {

// 8 connections to an upstream, shared by 2 instances.
constexpr std::size_t kShare = 4;

UpstreamId Upstream(int number) {
  return UpstreamId("u" + std::to_string(number));
}

/** A pool whose effects are applied to a naive set of open connections. */
class PoolBench {
 public:
  PoolBench()
      : context({InstanceId("e"), 1, RegionName("lima"), ZoneName("lima-a"),
                 "e", "e"},
                3) {
    Declare(2, "u:1");
    Pass(Seconds(100));
  }

  void Declare(int upstreams, const std::string& address) {
    TopologyEntry topology;
    topology.regions = {{RegionName("lima"), {ZoneName("lima-a")}}};
    topology.max_instances = 2;
    ServiceEntry entry;
    entry.service = ServiceName("vitrina");
    entry.limits.slots_per_upstream = 3;
    entry.limits.connections_per_upstream = 2 * kShare;
    for (int number = 0; number < upstreams; ++number) {
      entry.upstreams.push_back(
          {Upstream(number), ZoneName("lima-a"), address, false});
    }
    const std::int64_t revision = context.Catalogue().Revision() + 1;
    context.SetCatalogue(
        std::make_shared<const CatalogueIndex>(CatalogueSnapshot{
            revision, {{revision, {}, topology}, {revision, {}, entry}}}));
  }

  std::optional<AcquiredConnection> Acquire(int upstream,
                                            std::uint64_t ticket,
                                            bool fresh = false) {
    const auto acquired =
        pool.Acquire(context, Upstream(upstream), TicketId{ticket}, fresh);
    Apply();
    return acquired;
  }

  /** Acquires a connection and opens it if it is new. */
  ConnectionId Use(int upstream, std::uint64_t ticket) {
    const auto acquired = Acquire(upstream, ticket);
    REQUIRE(acquired.has_value());
    if (!acquired->ready) {
      const auto event = pool.OnOpened(context, acquired->connection);
      REQUIRE(event.has_value());
      CHECK(event->kind == PoolEventKind::kReady);
      CHECK(event->ticket == TicketId{ticket});
    }
    return acquired->connection;
  }

  std::optional<TicketId> Answer(ConnectionId connection,
                                 bool keep_alive = true) {
    const auto ticket = pool.OnAnswered(context, connection, keep_alive);
    Apply();
    return ticket;
  }

  void Pass(Duration duration) {
    now += duration;
    context.SetNow({now, {}});
    pool.OnTick(context);
    Apply();
  }

  void Apply() {
    for (const Effect& effect : context.TakeEffects()) {
      if (const auto* opened = std::get_if<OpenConnection>(&effect)) {
        open[opened->connection] = opened->upstream;
      } else if (const auto* closed = std::get_if<CloseConnection>(&effect)) {
        open.erase(closed->connection);
      }
    }
  }

  Context context;
  ConnectionPool pool;
  MonotonicTime now = MonotonicTime(Seconds(100));
  std::map<ConnectionId, UpstreamId> open;
};

void RunRandomSequence() {
  PoolBench bench;
  std::map<ConnectionId, std::uint64_t> busy;
  std::set<ConnectionId> opening;
  for (std::uint64_t step = 1; step < 150; ++step) {
    const int action = *rc::gen::inRange(0, 8);
    if (action < 4) {
      const int upstream = *rc::gen::inRange(0, 2);
      const bool fresh = *rc::gen::inRange(0, 5) == 0;
      const auto acquired = bench.Acquire(upstream, step, fresh);
      if (acquired) {
        RC_ASSERT(!busy.contains(acquired->connection));
        RC_ASSERT(!fresh || !acquired->ready);
        RC_ASSERT(bench.open.at(acquired->connection) == Upstream(upstream));
        busy[acquired->connection] = step;
        if (!acquired->ready) {
          opening.insert(acquired->connection);
        }
      }
    } else if (!busy.empty()) {
      const auto [id, ticket] =
          *std::next(busy.begin(),
                     *rc::gen::inRange<int>(0, static_cast<int>(busy.size())));
      if (opening.erase(id) > 0 && action < 7) {
        const auto event = bench.pool.OnOpened(bench.context, id);
        RC_ASSERT(event && event->ticket == TicketId{ticket});
        continue;
      }
      busy.erase(id);
      if (action == 4) {
        RC_ASSERT(bench.Answer(id) == TicketId{ticket});
      } else if (action == 5) {
        RC_ASSERT(bench.Answer(id, false) == TicketId{ticket});
      } else if (action == 6) {
        const auto event = bench.pool.OnLost(bench.context, id);
        RC_ASSERT(event && event->ticket == TicketId{ticket});
        bench.open.erase(id);
      } else {
        bench.pool.Abandon(bench.context, id);
        bench.Apply();
        RC_ASSERT(!bench.open.contains(id));
      }
    }
    RC_ASSERT(bench.pool.Size() == bench.open.size());
    for (int upstream = 0; upstream < 2; ++upstream) {
      std::size_t count = 0;
      for (const auto& [id, owner] : bench.open) {
        count += owner == Upstream(upstream) ? 1 : 0;
      }
      RC_ASSERT(count <= kShare);
    }
  }
}

}  // namespace

TEST_CASE(
    "Random sequences never give a connection to two attempts, mix up tickets, "
    "leak a connection or exceed the share") {
  CHECK(rc::check(RunRandomSequence));
}

TEST_CASE("A connection is reused only after a whole answer") {
  PoolBench bench;
  const ConnectionId first = bench.Use(0, 1);
  CHECK(bench.Answer(first) == TicketId{1});
  CHECK(bench.Use(0, 2) == first);
  bench.pool.Abandon(bench.context, first);
  bench.Apply();
  CHECK_FALSE(bench.open.contains(first));
  // The late answer has no receiver.
  CHECK_FALSE(bench.Answer(first).has_value());
  const ConnectionId second = bench.Use(0, 3);
  CHECK(second != first);
  CHECK(bench.Answer(second, false) == TicketId{3});
  CHECK_FALSE(bench.open.contains(second));
}

TEST_CASE("A fresh connection is opened even if idle ones fill the share") {
  PoolBench bench;
  std::vector<ConnectionId> used;
  for (std::uint64_t ticket = 1; ticket <= kShare; ++ticket) {
    used.push_back(bench.Use(0, ticket));
  }
  CHECK_FALSE(bench.Acquire(0, 9).has_value());
  for (const ConnectionId connection : used) {
    bench.Answer(connection);
  }
  const auto fresh = bench.Acquire(0, 10, true);
  REQUIRE(fresh.has_value());
  CHECK_FALSE(fresh->ready);
  CHECK(bench.pool.Size() == kShare);
}

TEST_CASE("A failure to open is told from a connection that broke") {
  PoolBench bench;
  const auto opening = bench.Acquire(0, 1);
  const auto failed = bench.pool.OnLost(bench.context, opening->connection);
  REQUIRE(failed.has_value());
  CHECK(failed->kind == PoolEventKind::kOpenFailed);
  const ConnectionId used = bench.Use(0, 2);
  const auto broken = bench.pool.OnLost(bench.context, used);
  REQUIRE(broken.has_value());
  CHECK(broken->kind == PoolEventKind::kBroken);
  CHECK(broken->upstream == Upstream(0));
  const ConnectionId idle = bench.Use(0, 3);
  bench.Answer(idle);
  CHECK_FALSE(bench.pool.OnLost(bench.context, idle).has_value());
  CHECK(bench.pool.Size() == 0);
}

TEST_CASE(
    "Idle connections as old as a silent one are closed, newer ones and those "
    "of other upstreams are kept") {
  PoolBench bench;
  const ConnectionId old_idle = bench.Use(0, 1);
  const ConnectionId silent = bench.Use(0, 2);
  const ConnectionId other = bench.Use(1, 3);
  const ConnectionId newer = bench.Use(0, 4);
  bench.Answer(old_idle);
  bench.Answer(other);
  bench.Answer(newer);
  bench.pool.Abandon(bench.context, silent);
  bench.pool.CloseStalledConnections(bench.context, silent);
  bench.Apply();
  CHECK_FALSE(bench.open.contains(old_idle));
  CHECK(bench.open.contains(newer));
  CHECK(bench.open.contains(other));
}

TEST_CASE("Connections that are idle too long or belong to no upstream close") {
  PoolBench bench;
  const ConnectionId idle = bench.Use(0, 1);
  const ConnectionId busy = bench.Use(1, 2);
  bench.Answer(idle);
  bench.Pass(Seconds(29));
  CHECK(bench.open.contains(idle));
  bench.Pass(Seconds(2));
  CHECK_FALSE(bench.open.contains(idle));
  CHECK(bench.open.contains(busy));
  const ConnectionId moved = bench.Use(0, 3);
  bench.Answer(moved);
  bench.Declare(1, "u:2");
  CHECK_FALSE(bench.Acquire(1, 4).has_value());
  CHECK_FALSE(bench.Acquire(0, 5)->ready);
  bench.Pass(Seconds(2));
  CHECK_FALSE(bench.open.contains(moved));
  CHECK(bench.Answer(busy) == TicketId{2});
  CHECK_FALSE(bench.open.contains(busy));
}

}  // namespace kumquatcove
