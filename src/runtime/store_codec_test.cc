#include "runtime/store_codec.h"

#include <doctest/doctest.h>

#include <boost/json/parse.hpp>

#include "base/random.h"

namespace kumquatcove {
namespace {

HttpAnswer Answer(std::int32_t status, std::string body) {
  return {status, {}, std::move(body)};
}

StoreWrite MakeWrite() {
  return StoreWrite{{{{{"k", 0}, {"m", 7}}, {{"k", "v"}, {"m", {}}}}}};
}

}  // namespace

TEST_CASE(
    "A write is encoded as nested transactions with the conditions that the "
    "gateway checks") {
  const HttpRequest request = EncodeStoreOperation(MakeWrite());
  CHECK(request.method == "POST");
  CHECK(request.target == "/v3/kv/txn");
  CHECK(boost::json::parse(request.body) == boost::json::parse(R"({"success":[
    {"request_txn":{
      "compare":[
        {"key":"aw==","result":"EQUAL","target":"CREATE","create_revision":"0"},
        {"key":"bQ==","result":"EQUAL","target":"MOD","mod_revision":"7"}],
      "success":[
        {"request_put":{"key":"aw==","value":"dg=="}},
        {"request_delete_range":{"key":"bQ=="}}],
      "failure":[
        {"request_range":{"key":"aw=="}},
        {"request_range":{"key":"bQ=="}}]}}]})"));
}

TEST_CASE("The range of a scan ends after the last key with the prefix") {
  const auto body = [](const std::string& prefix) {
    return boost::json::parse(EncodeStoreOperation(StoreScan{prefix}).body);
  };
  CHECK(body("a/") ==
        boost::json::parse(R"({"key":"YS8=","range_end":"YTA="})"));
  CHECK(body("a\xff") ==
        boost::json::parse(R"({"key":"Yf8=","range_end":"Yg=="})"));
  CHECK(body("") == boost::json::parse(R"({"key":"AA==","range_end":"AA=="})"));
}

TEST_CASE(
    "Object keys are escaped so that they cannot alter the request path") {
  CHECK(EncodeStoreOperation(ObjectGet{"a/b c?x=1"}).target ==
        "/objects/a/b%20c%3Fx%3D1");
}

TEST_CASE(
    "A conflict returns the rows of the conditions, absent ones with "
    "version 0") {
  const StoreReply reply = DecodeStoreReply(
      MakeWrite(),
      Answer(200, R"({"succeeded":true,"responses":[{"response_txn":{
        "responses":[{"response_range":{}},{"response_range":{"kvs":[
          {"key":"bQ==","mod_revision":"9","value":"eA=="}]}}]}}]})"));
  CHECK(reply.status == StoreStatus::kOk);
  REQUIRE(reply.results.size() == 1);
  CHECK_FALSE(reply.results[0].committed);
  CHECK(reply.results[0].rows ==
        std::vector<StoreRow>{{"k", 0, ""}, {"m", 9, "x"}});
}

TEST_CASE("Reads keep the requested order and scans are sorted by key") {
  const StoreReply read =
      DecodeStoreReply(StoreRead{{"b", "a"}},
                       Answer(200, R"({"responses":[{"response_range":{"kvs":[
        {"key":"Yg==","mod_revision":"2","value":"MQ=="}]}},
        {"response_range":{}}]})"));
  CHECK(read.rows == std::vector<StoreRow>{{"b", 2, "1"}, {"a", 0, ""}});
  const StoreReply scan =
      DecodeStoreReply(StoreScan{""}, Answer(200, R"({"kvs":[
        {"key":"Yg==","mod_revision":"2"},{"key":"YQ==","mod_revision":"1"}]})"));
  CHECK(scan.rows == std::vector<StoreRow>{{"a", 1, ""}, {"b", 2, ""}});
}

TEST_CASE(
    "Only status 503 is decoded as refused; every other invalid answer is "
    "unknown, since the write may have taken effect") {
  CHECK(DecodeStoreReply(MakeWrite(), Answer(503, "")).status ==
        StoreStatus::kRefused);
  for (const char* body :
       {"", "{", "[]", "{}", R"({"responses":3})", R"({"responses":[{}]})",
        R"({"responses":[{"response_txn":{"succeeded":false}}]})",
        R"({"responses":[{"response_txn":{"responses":[{"response_range":
          {"kvs":[{"key":"aw==","mod_revision":"x"}]}},{}]}}]})"}) {
    CHECK(DecodeStoreReply(MakeWrite(), Answer(200, body)).status ==
          StoreStatus::kUnknown);
  }
  CHECK(DecodeStoreReply(ObjectPut{"k", "c"}, Answer(500, "")).status ==
        StoreStatus::kUnknown);
  CHECK(DecodeStoreReply(MakeWrite(), Answer(500, "{}")).status ==
        StoreStatus::kUnknown);
  CHECK(DecodeStoreReply(StoreRead{{"a"}},
                         Answer(200, R"({"responses":[{"response_range":{"kvs":
                           [{"key":"Yg==","mod_revision":"2"}]}}]})"))
            .status == StoreStatus::kUnknown);
}

TEST_CASE("A missing object is an answer, not a failure") {
  const StoreReply missing = DecodeStoreReply(ObjectGet{"k"}, Answer(404, ""));
  CHECK(missing.status == StoreStatus::kOk);
  CHECK_FALSE(missing.object.has_value());
  CHECK(DecodeStoreReply(ObjectGet{"k"}, Answer(200, "x")).object == "x");
}

TEST_CASE("Damaged replies do not throw") {
  const std::string valid =
      R"({"succeeded":true,"responses":[{"response_txn":{"succeeded":true}}]})";
  Random random(20261204);
  for (int trial = 0; trial < 2000; ++trial) {
    std::string body = valid;
    body[random.NextBelow(body.size())] =
        static_cast<char>(random.NextBelow(256));
    CHECK_NOTHROW(DecodeStoreReply(MakeWrite(), Answer(200, body)));
  }
}

TEST_CASE("The era of the store is read from each kind of reply") {
  const StoreReply read = DecodeStoreReply(
      StoreRead{{}}, Answer(200, R"({"header":{"cluster_id":"3"}})"));
  const StoreReply scan = DecodeStoreReply(
      StoreScan{"a", ""}, Answer(200, R"({"header":{"cluster_id":4}})"));
  const StoreReply write = DecodeStoreReply(
      StoreWrite{}, Answer(200, R"({"header":{"cluster_id":"5"}})"));
  CHECK(read.era == 3);
  CHECK(scan.era == 4);
  CHECK(write.era == 5);
  CHECK(DecodeStoreReply(StoreRead{{}}, Answer(200, "{}")).era == 0);
}

}  // namespace kumquatcove
