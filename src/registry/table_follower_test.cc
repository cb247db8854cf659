#include "registry/table_follower.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "registry/fake_table.h"

namespace kumquatcove {
namespace {

/** A follower of the table `t/` of a fake store. */
class FollowerFixture {
 public:
  FollowerFixture()
      : context({InstanceId("e"), 1, RegionName("lima"), ZoneName("lima-a"),
                 "e", "e"},
                3) {
    AdvanceTime(Seconds(100));
    follower.Restart(context);
  }

  void AdvanceTime(Duration time) {
    m_now += time;
    context.SetNow({m_now, WallTime{1}});
  }

  /** Returns the reply to the pending call without delivering it. */
  std::optional<StoreReplyArrived> Fetch(
      StoreStatus status = StoreStatus::kOk) {
    table.Take(context.TakeEffects());
    return table.Reply(status);
  }

  /** Answers all calls that can be answered now. */
  void Run(Duration time) {
    for (Duration passed{0}; passed < time; passed += kTickInterval) {
      AdvanceTime(kTickInterval);
      follower.OnTick(context);
      while (const auto reply = Fetch()) {
        follower.OnReply(context, reply->id, reply->reply);
      }
    }
  }

  std::string ValueOf(const std::string& key) const {
    const auto found = follower.Rows().find(key);
    return found == follower.Rows().end() ? "" : found->second.value;
  }

  Context context;
  FakeTable table;
  TableFollower follower{"t/", Duration(0), Milliseconds(0)};

 private:
  MonotonicTime m_now;
};

}  // namespace

TEST_CASE("An answer from before a restore of the store is ignored") {
  FollowerFixture fixture;
  fixture.table.Put("t/a", "first");
  fixture.Run(Milliseconds(50));
  const FakeTableRows::Copy copy = fixture.table.rows->MakeCopy();
  fixture.table.rows->Restore(copy);
  fixture.table.Put("t/a", "second");
  fixture.Run(Milliseconds(50));
  REQUIRE(fixture.ValueOf("t/a") == "second");
  fixture.table.Put("t/a", "third");
  std::optional<StoreReplyArrived> reply = fixture.Fetch();
  REQUIRE(reply.has_value());
  reply->reply.era = 1;
  reply->reply.rows[0].value = "from before";
  fixture.follower.OnReply(fixture.context, reply->id, reply->reply);
  CHECK(fixture.ValueOf("t/a") == "second");
  fixture.Run(Milliseconds(50));
  CHECK(fixture.ValueOf("t/a") == "third");
}

TEST_CASE("A refusal tells of a new era of the store") {
  FollowerFixture fixture;
  fixture.table.Put("t/a", "first");
  fixture.Run(Milliseconds(50));
  const FakeTableRows::Copy copy = fixture.table.rows->MakeCopy();
  fixture.table.Put("t/a", "lost");
  fixture.Run(Milliseconds(50));
  fixture.table.rows->Restore(copy);
  const auto refusal = fixture.Fetch(StoreStatus::kRefused);
  REQUIRE(refusal.has_value());
  fixture.follower.OnReply(fixture.context, refusal->id, refusal->reply);
  fixture.table.Put("t/a", "second");
  fixture.Run(Seconds(1));
  CHECK(fixture.ValueOf("t/a") == "second");
}

TEST_CASE("Pages of different eras of the store aren't mixed") {
  FollowerFixture fixture;
  fixture.table.rows->page = 1;
  const FakeTableRows::Copy copy = fixture.table.rows->MakeCopy();
  fixture.table.Put("t/a", "lost");
  fixture.table.Put("t/b", "lost");
  const auto page = fixture.Fetch();
  REQUIRE(page.has_value());
  fixture.follower.OnReply(fixture.context, page->id, page->reply);
  fixture.table.rows->Restore(copy);
  fixture.table.Put("t/b", "kept");
  fixture.Run(Milliseconds(50));
  CHECK(fixture.follower.IsLoaded());
  CHECK(fixture.ValueOf("t/a").empty());
  CHECK(fixture.ValueOf("t/b") == "kept");
}

TEST_CASE("After a failure the first watch doesn't wait for a change") {
  FollowerFixture fixture;
  fixture.table.Put("t/a", "first");
  fixture.Run(Milliseconds(50));
  const FakeTableRows::Copy copy = fixture.table.rows->MakeCopy();
  fixture.table.Put("t/a", "lost");
  fixture.Run(Milliseconds(50));
  fixture.table.Put("u/other", "row");
  const auto failure = fixture.Fetch(StoreStatus::kUnknown);
  REQUIRE_FALSE(failure == std::nullopt);
  StoreReplyArrived lost = *failure;
  lost.reply.era = 0;
  fixture.follower.OnReply(fixture.context, lost.id, lost.reply);
  // The restored store has given out as many versions as before.
  fixture.table.rows->Restore(copy);
  fixture.table.Put("t/a", "second");
  fixture.table.Put("u/other", "row");
  fixture.Run(Seconds(1));
  CHECK(fixture.ValueOf("t/a") == "second");
}

}  // namespace kumquatcove
