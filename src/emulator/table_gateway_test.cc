#include "emulator/table_gateway.h"

#include <string>

#include <doctest/doctest.h>
#include <boost/json/parse.hpp>

#include "base/json_codec.h"

namespace kumquatcove::emulator {

TEST_CASE("Guards against a gateway that takes 64-bit integers in one form") {
  for (const std::string number : {R"("7")", "7"}) {
    const TableTransaction transaction = TransactionFromGateway(
        boost::json::parse(R"({"compare":[{"key":"aw==","target":"MOD",
          "result":"LESS","mod_revision":)" +
                           number + "}]}"));
    const TableCompare& compare = transaction.compares.at(0);
    CHECK(compare.key == "k");
    CHECK(compare.target == CompareTarget::kMod);
    CHECK(compare.result == CompareResult::kLess);
    CHECK(compare.number == 7);
  }
}

TEST_CASE("Guards against answers that the real gateway wouldn't give") {
  const TableTransactionResult result{
      false, {{TableRangeResult{{{"k", "", 2, 3, 1}}, 1}}, {TablePutResult{}}}};
  const boost::json::object json = TransactionToGateway(result, {2, 3});
  CHECK_FALSE(json.contains("succeeded"));
  const auto& range =
      json.at("responses").at(0).at("response_range").as_object();
  const auto& row = range.at("kvs").at(0).as_object();
  CHECK(row.at("key") == "aw==");
  CHECK(row.at("mod_revision") == "3");
  CHECK_FALSE(row.contains("value"));
  CHECK(range.at("count") == "1");
  CHECK(range.at("header").at("revision") == "3");
  CHECK(range.at("header").at("cluster_id") == "2");
}

TEST_CASE("Guards against requests that exhaust the stack or aren't base64") {
  std::string nested = "{}";
  for (int depth = 0; depth < 9; ++depth) {
    nested.insert(0, R"({"success":[{"request_txn":)");
    nested += "}]}";
  }
  CHECK_THROWS_AS(TransactionFromGateway(boost::json::parse(nested)),
                  JsonCodecError);
  CHECK_THROWS_AS(RangeFromGateway(boost::json::parse(R"({"key":"!"})")),
                  JsonCodecError);
  CHECK_THROWS_AS(TransactionFromGateway(boost::json::parse(
                      R"({"success":[{"request_lease":{}}]})")),
                  JsonCodecError);
}

}  // namespace kumquatcove::emulator
