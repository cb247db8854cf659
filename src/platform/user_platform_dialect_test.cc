#include "platform/user_platform_dialect.h"

#include <doctest/doctest.h>

#include <string>
#include <utility>
#include <vector>

#include "platform/user_store_codec.h"
#include "runtime/http_fields.h"

namespace kumquatcove {
namespace {

const PlatformDialect& Dialect() {
  static const PlatformDialect kDialect = MakeUserPlatformDialect();
  return kDialect;
}

HttpAnswer Answer(std::int32_t status,
                  std::vector<HttpHeader> headers,
                  std::string body = "") {
  return {status, std::move(headers), std::move(body)};
}

AnswerCaller Refusal(Outcome outcome, RefusalReason reason) {
  AnswerCaller answer;
  answer.answer.outcome = outcome;
  answer.answer.reason = reason;
  return answer;
}

StoreReply ReadReply(const StoreOperation& operation,
                     std::int32_t status,
                     const std::string& body) {
  return ReadUserStoreReply(operation, Answer(status, {}, body));
}

}  // namespace

TEST_CASE("A caller's headers become deadline, attempt and object") {
  RequestArrived event;
  event.http.headers = {{"Host", "h.example"},
                        {"Attempt-Id", "9c"},
                        {"Cookie", "a=1; Affinity-Key=17; b=2"},
                        {"Deadline-Ms", "1200"},
                        {"Expect-Instance", "forged"},
                        {"X-Other", "kept"}};
  CHECK_FALSE(Dialect().callers.read_request(event).has_value());
  CHECK(event.http.host == "h.example");
  CHECK(event.http.deadline == Milliseconds(1200));
  CHECK(event.attempt == "9c");
  CHECK(event.object == "17");
  CHECK(FindHeader(event.http.headers, "Attempt-Id") == "9c");
  CHECK(FindHeader(event.http.headers, "X-Other") == "kept");
  CHECK(FindHeader(event.http.headers, "Expect-Instance").empty());
  CHECK(FindHeader(event.http.headers, "Deadline-Ms").empty());
}

// Guards against a header for one connection that steers the upstream.
TEST_CASE("Headers that concern one connection aren't forwarded") {
  RequestArrived event;
  event.http.headers = {{"Connection", "x-hop , close"},
                        {"connection", "Host,X-Other-Hop"},
                        {"Host", "h.example"},
                        {"X-Hop", "1"},
                        {"X-Other-Hop", "2"},
                        {"Keep-Alive", "timeout=5"},
                        {"Proxy-Connection", "close"},
                        {"TE", "trailers"},
                        {"Trailer", "T"},
                        {"Transfer-Encoding", "chunked"},
                        {"Upgrade", "h2c"},
                        {"X-Kept", "3"}};
  CHECK_FALSE(Dialect().callers.read_request(event).has_value());
  CHECK(event.http.host == "h.example");
  CHECK(event.http.headers == std::vector<HttpHeader>{{"X-Kept", "3"}});
}

TEST_CASE("A send names its deadline and the upstream that is expected") {
  SendUpstream effect;
  effect.patience = Milliseconds(700);
  effect.upstream = UpstreamId("i-1");
  HttpRequest request;
  Dialect().upstreams.write_request(effect, request);
  CHECK(FindHeader(request.headers, "Deadline-Ms") == "700");
  CHECK(FindHeader(request.headers, "Expect-Instance") == "i-1");
}

TEST_CASE("An answer is known by its attempt id") {
  const auto& belongs = Dialect().upstreams.belongs;
  CHECK(belongs("9c", Answer(200, {{"Attempt-Id", "9c"}})));
  CHECK_FALSE(belongs("9c", Answer(200, {{"Attempt-Id", "9d"}})));
  CHECK_FALSE(belongs("9c", Answer(200, {})));
  CHECK(belongs("9c", Answer(503, {})));
}

TEST_CASE("An answer tells what the upstream did, and its load") {
  const auto read = [](const HttpAnswer& answer) {
    UpstreamAnswered event;
    CHECK(Dialect().upstreams.read_answer(answer, event));
    return event;
  };
  CHECK(read(Answer(503, {{"Not-Executed", "1"}})).not_executed);
  CHECK_FALSE(read(Answer(503, {})).not_executed);
  CHECK(read(Answer(421, {})).wrong_upstream);
  const UpstreamAnswered answered =
      read(Answer(200, {{"Server-Seal", "s"},
                        {"Server-Load", "3, 1,8,250"},
                        {"Keep-Alive", "timeout=10, max=5"}}));
  REQUIRE(answered.load.has_value());
  CHECK(*answered.load == UpstreamLoadReport{3, 1, 8, 250});
  CHECK(answered.idle_limit == Seconds(10));
  CHECK(read(Answer(500, {{"Server-Load", "3,x,8"}})).load == std::nullopt);
}

TEST_CASE("An answer states the upstream's rate limit, or none") {
  const auto read = [](const std::string& limit) {
    UpstreamAnswered event;
    CHECK(Dialect().upstreams.read_answer(
        Answer(503, {{"Server-Limit", limit}}), event));
    return event;
  };
  CHECK(read("12.5").rate_limit == 12.5);
  CHECK(read("0").rate_limit == 0);
  for (const char* unreadable : {"-1", "many", "nan", "inf", "3,5"}) {
    CAPTURE(unreadable);
    CHECK_FALSE(read(unreadable).rate_limit.has_value());
    CHECK(read(unreadable).rate_limit_unreadable);
  }
  UpstreamAnswered event;
  CHECK(Dialect().upstreams.read_answer(Answer(503, {}), event));
  CHECK_FALSE(event.rate_limit.has_value());
  CHECK_FALSE(event.rate_limit_unreadable);
}

TEST_CASE("A success without a seal or with an encoding isn't passed on") {
  UpstreamAnswered event;
  const auto& read = Dialect().upstreams.read_answer;
  CHECK_FALSE(read(Answer(200, {}), event));
  CHECK_FALSE(
      read(Answer(200, {{"Server-Seal", "s"}, {"Content-Encoding", "gzip"}}),
           event));
  CHECK(read(Answer(500, {}), event));
}

TEST_CASE(
    "A refusal promises that the request has not run only if that is so") {
  const auto status = [](Outcome outcome, RefusalReason reason) {
    return Dialect().callers.write_refusal(Refusal(outcome, reason)).status;
  };
  CHECK(status(Outcome::kDidNotRun, RefusalReason::kQueueFull) == 503);
  CHECK(status(Outcome::kDidNotRun, RefusalReason::kDeadlineExpired) == 503);
  CHECK(status(Outcome::kDidNotRun, RefusalReason::kUnknownService) == 404);
  CHECK(status(Outcome::kUnknown, RefusalReason::kDeadlineExpired) == 504);
  CHECK(status(Outcome::kUnknown, RefusalReason::kUpstreamFailed) == 502);
  AnswerCaller refusal =
      Refusal(Outcome::kDidNotRun, RefusalReason::kQueueFull);
  refusal.retry_after = Milliseconds(250);
  CHECK(FindHeader(Dialect().callers.write_refusal(refusal).headers,
                   "Retry-After") == "0.25");
}

TEST_CASE("A look-up names the caller's place and gets addresses") {
  ServedRequest request;
  request.http.target =
      "/kumquatcove/resolve?name=h.example&region=lima&zone=lima-a";
  const auto lookup = Dialect().callers.read_lookup(request);
  REQUIRE(lookup.has_value());
  CHECK(lookup->zone == ZoneName("lima-a"));
  request.http.target = "/kumquatcove/other";
  CHECK_FALSE(Dialect().callers.read_lookup(request).has_value());
  LookupAnswer answer;
  answer.entries = {{InstanceId("e"), ZoneName("z"), "10.0.0.1:80"}};
  answer.time_to_live = Seconds(1);
  CHECK(Dialect().callers.write_lookup(answer).body ==
        R"({"addresses":["10.0.0.1:80"],"ttl-s":1E0})");
}

TEST_CASE("Store operations become the platform's calls") {
  CHECK(WriteUserStoreOperation(StoreScan{"servers/", ""}).target ==
        "/kumquatcove/rows-get?table=servers&part=");
  CHECK(WriteUserStoreOperation(StoreScan{"op/", "op/evacuate/a"}).target ==
        "/kumquatcove/rows-get?table=op&part=&from=evacuate%2Fa");
  CHECK(WriteUserStoreOperation(StoreWatch{"op/", 12, Seconds(25)}).target ==
        "/kumquatcove/rows-feed?table=op&after=12&wait-ms=25000");
  StoreTransaction transaction;
  transaction.conditions = {{"t/k", 3}};
  transaction.mutations = {{"t/k", "v"}, {"t/gone", std::nullopt}};
  CHECK(WriteUserStoreOperation(StoreWrite{{transaction}}).body ==
        R"({"expected":[{"table":"t","part":"","key":"k","ver":3}],)"
        R"("set-keys":[{"table":"t","part":"","key":"k","value":"dg=="}],)"
        R"("delete-keys":[{"table":"t","part":"","key":"gone"}]})");
}

TEST_CASE("Replies of the store are read, and broken ones tell nothing") {
  const StoreScan scan{"servers/", "servers/a"};
  const StoreReply rows = ReadReply(
      scan, 200,
      R"({"rows":[{"table":"servers","part":"","key":"a","value":"dg==","ver":4},
      {"table":"servers","part":"","key":"b","value":"dg==","ver":5}],
      "has-more":true,"ver":9,"now-s":1})");
  CHECK(rows.status == StoreStatus::kOk);
  REQUIRE(rows.rows.size() == 1);
  CHECK(rows.rows[0] == StoreRow{"servers/b", 5, "v", false});
  CHECK(rows.more);
  CHECK(rows.version == 9);
  const StoreWatch watch{"op/", 1, Seconds(1)};
  const StoreReply changes = ReadReply(
      watch, 200,
      R"({"rows":[{"table":"op","part":"","key":"x","ver":4,"deleted":true}],
      "ver":4,"now-s":1})");
  REQUIRE(changes.rows.size() == 1);
  CHECK(changes.rows[0].deleted);
  CHECK(ReadReply(watch, 410, "").status == StoreStatus::kHistoryLost);
  CHECK(ReadReply(watch, 429, "").status == StoreStatus::kRefused);
  CHECK(ReadReply(watch, 503, "").status == StoreStatus::kRefused);
  CHECK(ReadReply(watch, 200, "{").status == StoreStatus::kUnknown);
  CHECK(ReadReply(watch, 500, "").status == StoreStatus::kUnknown);
}

TEST_CASE("Each reply of the store has its era, also an error") {
  const StoreWatch watch{"op/", 1, Seconds(1)};
  const auto read = [&](std::int32_t status, const std::string& era) {
    return ReadUserStoreReply(
        watch, Answer(status, {{"Store-Era", era}}, R"({"rows":[],"ver":4})"));
  };
  CHECK(read(200, "3").era == 3);
  CHECK(read(410, "4").era == 4);
  CHECK(read(503, "4").era == 4);
  CHECK(read(500, "4").era == 4);
  CHECK(read(200, "").era == 0);
  CHECK(read(200, "-1").era == 0);
  CHECK(read(200, "new").era == 0);
  CHECK(read(200, "new").status == StoreStatus::kOk);
}

TEST_CASE("A condition that doesn't hold gives the rows as they are") {
  StoreTransaction transaction;
  transaction.conditions = {{"t/k", 3}};
  const StoreReply reply = ReadReply(
      StoreWrite{{transaction}}, 412,
      R"({"rows":[{"table":"t","part":"","key":"k","value":"dg==","ver":4}]})");
  CHECK(reply.status == StoreStatus::kOk);
  REQUIRE(reply.results.size() == 1);
  CHECK_FALSE(reply.results[0].committed);
  CHECK(reply.results[0].rows[0].version == 4);
}

}  // namespace kumquatcove
