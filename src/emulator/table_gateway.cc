#include "emulator/table_gateway.h"

#include <charconv>
#include <string>
#include <string_view>
#include <utility>

#include <absl/strings/escaping.h>

#include "base/json_codec.h"

namespace kumquatcove::emulator {
namespace {

using boost::json::object;
using boost::json::value;

/** Greatest depth of nested transactions; deeper ones would let a request
 * exhaust the stack. */
constexpr int kMaxNesting = 8;

std::string Bytes(const object& json, std::string_view member) {
  const value* found = json.if_contains(member);
  if (found == nullptr) {
    return {};
  }
  const std::string text = detail::JsonToString(*found, std::string(member));
  std::string decoded;
  if (!absl::Base64Unescape(text, &decoded)) {
    throw JsonCodecError(std::string(member), "expected base64");
  }
  return decoded;
}

std::int64_t Integer(const object& json, std::string_view member) {
  const value* found = json.if_contains(member);
  if (found == nullptr) {
    return 0;
  }
  if (!found->is_string()) {
    return detail::JsonToSigned(*found, std::string(member));
  }
  const std::string_view text = found->get_string();
  std::int64_t number = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc{} || end != text.data() + text.size()) {
    throw JsonCodecError(std::string(member), "expected an integer");
  }
  return number;
}

template <class Enum>
Enum Choice(const object& json, std::string_view member) {
  const value* found = json.if_contains(member);
  return found == nullptr ? Enum{} : FromJson<Enum>(*found);
}

std::string_view NumberMember(CompareTarget target) {
  switch (target) {
    case CompareTarget::kVersion:
      return "version";
    case CompareTarget::kCreate:
      return "create_revision";
    case CompareTarget::kMod:
      return "mod_revision";
  }
  return "version";
}

TableCompare CompareFromGateway(const value& json) {
  const object& members = detail::JsonToObject(json, "compare");
  TableCompare compare;
  compare.key = Bytes(members, "key");
  compare.target = Choice<CompareTarget>(members, "target");
  compare.result = Choice<CompareResult>(members, "result");
  compare.number = Integer(members, NumberMember(compare.target));
  return compare;
}

TableTransaction ReadTransaction(const value& json, int depth);

TableOperation OperationFromGateway(const value& json, int depth) {
  const object& members = detail::JsonToObject(json, "request");
  if (members.size() != 1) {
    throw JsonCodecError("request", "expected one request");
  }
  const std::string_view kind = members.begin()->key();
  const value& body = members.begin()->value();
  const object& request = detail::JsonToObject(body, std::string(kind));
  if (kind == "request_range") {
    return {RangeFromGateway(body)};
  }
  if (kind == "request_put") {
    return {TablePut{Bytes(request, "key"), Bytes(request, "value")}};
  }
  if (kind == "request_delete_range") {
    return {TableDelete{Bytes(request, "key"), Bytes(request, "range_end")}};
  }
  if (kind == "request_txn") {
    return {ReadTransaction(body, depth + 1)};
  }
  throw JsonCodecError(std::string(kind), "unknown request");
}

template <class T, class Read>
std::vector<T> ListFromGateway(const object& json,
                               std::string_view member,
                               Read read) {
  std::vector<T> list;
  if (const value* found = json.if_contains(member)) {
    for (const value& item : detail::JsonToArray(*found, std::string(member))) {
      list.push_back(read(item));
    }
  }
  return list;
}

TableTransaction ReadTransaction(const value& json, int depth) {
  if (depth > kMaxNesting) {
    throw JsonCodecError("request_txn", "nested too deeply");
  }
  const object& members = detail::JsonToObject(json, "txn");
  const auto read = [depth](const value& item) {
    return OperationFromGateway(item, depth);
  };
  return {ListFromGateway<TableCompare>(members, "compare", CompareFromGateway),
          ListFromGateway<TableOperation>(members, "success", read),
          ListFromGateway<TableOperation>(members, "failure", read)};
}

object HeaderToGateway(const TableHeader& header) {
  return {{"cluster_id", std::to_string(header.cluster_id)},
          {"member_id", "1"},
          {"revision", std::to_string(header.revision)},
          {"raft_term", "1"}};
}

value RowToGateway(const TableRow& row) {
  object json{{"key", absl::Base64Escape(row.key)},
              {"create_revision", std::to_string(row.create_revision)},
              {"mod_revision", std::to_string(row.mod_revision)},
              {"version", std::to_string(row.version)}};
  if (!row.value.empty()) {
    json["value"] = absl::Base64Escape(row.value);
  }
  return json;
}

struct ResultVisitor {
  const TableHeader& header;

  object operator()(const TableRangeResult& result) const {
    return {{"response_range", RangeToGateway(result, header)}};
  }
  object operator()(const TablePutResult&) const {
    return {{"response_put", object{{"header", HeaderToGateway(header)}}}};
  }
  object operator()(const TableDeleteResult& result) const {
    object body{{"header", HeaderToGateway(header)}};
    if (result.deleted > 0) {
      body["deleted"] = std::to_string(result.deleted);
    }
    return {{"response_delete_range", std::move(body)}};
  }
  object operator()(const TableTransactionResult& result) const {
    return {{"response_txn", TransactionToGateway(result, header)}};
  }
};

}  // namespace

TableRange RangeFromGateway(const value& json) {
  const object& members = detail::JsonToObject(json, "range");
  return {Bytes(members, "key"), Bytes(members, "range_end"),
          Integer(members, "limit")};
}

TableTransaction TransactionFromGateway(const value& json) {
  return ReadTransaction(json, 0);
}

object RangeToGateway(const TableRangeResult& result,
                      const TableHeader& header) {
  object json{{"header", HeaderToGateway(header)}};
  if (!result.rows.empty()) {
    boost::json::array rows;
    for (const TableRow& row : result.rows) {
      rows.push_back(RowToGateway(row));
    }
    json["kvs"] = std::move(rows);
  }
  if (static_cast<std::int64_t>(result.rows.size()) < result.count) {
    json["more"] = true;
  }
  if (result.count > 0) {
    json["count"] = std::to_string(result.count);
  }
  return json;
}

object TransactionToGateway(const TableTransactionResult& result,
                            const TableHeader& header) {
  object json{{"header", HeaderToGateway(header)}};
  if (result.succeeded) {
    json["succeeded"] = true;
  }
  if (!result.results.empty()) {
    boost::json::array responses;
    for (const TableOperationResult& item : result.results) {
      responses.push_back(std::visit(ResultVisitor{header}, item.body));
    }
    json["responses"] = std::move(responses);
  }
  return json;
}

}  // namespace kumquatcove::emulator
