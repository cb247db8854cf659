#include "runtime/store_codec.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <stdexcept>
#include <string_view>
#include <utility>

#include <absl/strings/escaping.h>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace kumquatcove {

namespace {

namespace json = boost::json;

constexpr std::int32_t kOk = 200;
constexpr std::int32_t kFirstRedirect = 300;
constexpr std::int32_t kNotFound = 404;
constexpr std::int32_t kServiceUnavailable = 503;
constexpr std::string_view kRangePath = "/v3/kv/range";
constexpr std::string_view kTransactionPath = "/v3/kv/txn";

/** The platform's reply does not conform to the etcd API. */
class ReplyError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

json::string EncodeBase64(const std::string& bytes) {
  return json::string(absl::Base64Escape(bytes));
}

std::string DecodeBase64(std::string_view text) {
  std::string bytes;
  if (!absl::Base64Unescape(std::string(text), &bytes)) {
    throw ReplyError("value is not valid base64");
  }
  return bytes;
}

json::object MakeKeyRange(const std::string& key) {
  return {{"key", EncodeBase64(key)}};
}

/** Returns the first key after all keys with `prefix`; etcd represents the end
 * of the key space as a zero byte. */
std::string EndOfPrefix(std::string prefix) {
  while (!prefix.empty() && prefix.back() == '\xff') {
    prefix.pop_back();
  }
  if (prefix.empty()) {
    return std::string(1, '\0');
  }
  prefix.back() = static_cast<char>(prefix.back() + 1);
  return prefix;
}

json::object EncodeCondition(const StoreCondition& condition) {
  json::object compare = {{"key", EncodeBase64(condition.key)},
                          {"result", "EQUAL"}};
  if (condition.version == 0) {
    compare["target"] = "CREATE";
    compare["create_revision"] = "0";
  } else {
    compare["target"] = "MOD";
    compare["mod_revision"] = std::to_string(condition.version);
  }
  return compare;
}

json::object EncodeMutation(const StoreMutation& mutation) {
  if (mutation.value) {
    return {{"request_put",
             {{"key", EncodeBase64(mutation.key)},
              {"value", EncodeBase64(*mutation.value)}}}};
  }
  return {{"request_delete_range", {{"key", EncodeBase64(mutation.key)}}}};
}

json::object EncodeTransaction(const StoreTransaction& transaction) {
  json::array compare;
  json::array success;
  json::array failure;
  for (const StoreCondition& condition : transaction.conditions) {
    compare.push_back(EncodeCondition(condition));
    failure.push_back(
        json::object{{"request_range", MakeKeyRange(condition.key)}});
  }
  for (const StoreMutation& mutation : transaction.mutations) {
    success.push_back(EncodeMutation(mutation));
  }
  return {{"compare", std::move(compare)},
          {"success", std::move(success)},
          {"failure", std::move(failure)}};
}

HttpRequest MakePost(std::string_view path, const json::object& body) {
  HttpRequest request;
  request.method = "POST";
  request.target = std::string(path);
  request.headers.push_back({"Content-Type", "application/json"});
  request.body = json::serialize(body);
  return request;
}

std::string ObjectTarget(const std::string& key) {
  static constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string target = "/objects/";
  for (const char c : key) {
    const bool plain = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                       (c >= '0' && c <= '9') || c == '-' || c == '_' ||
                       c == '.' || c == '/' || c == '~';
    if (plain) {
      target += c;
    } else {
      const auto byte = static_cast<unsigned char>(c);
      target += '%';
      target += kDigits[byte >> 4U];
      target += kDigits[byte & 0xfU];
    }
  }
  return target;
}

/** Encodes an operation as an HTTP request. */
struct Encoder {
  HttpRequest operator()(const StoreRead& read) const {
    json::array success;
    for (const std::string& key : read.keys) {
      success.push_back(json::object{{"request_range", MakeKeyRange(key)}});
    }
    return MakePost(kTransactionPath, {{"success", std::move(success)}});
  }

  HttpRequest operator()(const StoreScan& scan) const {
    const std::string first =
        scan.prefix.empty() ? std::string(1, '\0') : scan.prefix;
    return MakePost(kRangePath,
                    {{"key", EncodeBase64(first)},
                     {"range_end", EncodeBase64(EndOfPrefix(scan.prefix))}});
  }

  /** A watch is encoded as a scan, which is answered immediately, since the
   * emulated table has no history. */
  HttpRequest operator()(const StoreWatch& watch) const {
    return (*this)(StoreScan{watch.prefix, ""});
  }

  HttpRequest operator()(const StoreWrite& write) const {
    json::array success;
    for (const StoreTransaction& transaction : write.transactions) {
      success.push_back(
          json::object{{"request_txn", EncodeTransaction(transaction)}});
    }
    return MakePost(kTransactionPath, {{"success", std::move(success)}});
  }

  HttpRequest operator()(const ObjectGet& get) const {
    HttpRequest request;
    request.method = "GET";
    request.target = ObjectTarget(get.key);
    return request;
  }

  HttpRequest operator()(const ObjectPut& put) const {
    HttpRequest request;
    request.method = "PUT";
    request.target = ObjectTarget(put.key);
    request.body = put.content;
    return request;
  }
};

const json::object& ToObject(const json::value& value) {
  if (!value.is_object()) {
    throw ReplyError("expected an object");
  }
  return value.get_object();
}

/** Returns a required member. */
const json::value& Member(const json::object& object, std::string_view name) {
  const json::value* found =
      object.if_contains(json::string_view(name.data(), name.size()));
  if (found == nullptr) {
    throw ReplyError("member " + std::string(name) + " is missing");
  }
  return *found;
}

/** Returns an array member, or an empty array if it is absent, since the API
 * omits empty arrays. */
const json::array& ArrayMember(const json::object& object,
                               std::string_view name) {
  static const json::array kEmpty;
  const json::value* found =
      object.if_contains(json::string_view(name.data(), name.size()));
  if (found == nullptr || found->is_null()) {
    return kEmpty;
  }
  if (!found->is_array()) {
    throw ReplyError("expected an array");
  }
  return found->get_array();
}

std::string BytesMember(const json::object& object, std::string_view name) {
  const json::value* found =
      object.if_contains(json::string_view(name.data(), name.size()));
  if (found == nullptr) {
    return {};
  }
  if (!found->is_string()) {
    throw ReplyError("expected a string");
  }
  return DecodeBase64(std::string_view(found->get_string()));
}

/** Parses a 64-bit number, which the API encodes as a string. */
std::int64_t NumberMember(const json::object& object, std::string_view name) {
  const json::value& member = Member(object, name);
  if (member.is_int64()) {
    return member.get_int64();
  }
  if (!member.is_string()) {
    throw ReplyError("expected a number");
  }
  const std::string_view text = member.get_string();
  std::int64_t number = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size()) {
    throw ReplyError("string is not a number");
  }
  return number;
}

/** Returns the era of the store, which the API calls the id of its cluster; 0
 * if the reply doesn't tell it. */
std::int64_t DecodeEra(const json::object& document) {
  const json::value* header = document.if_contains("header");
  return header == nullptr || !ToObject(*header).contains("cluster_id")
             ? 0
             : NumberMember(ToObject(*header), "cluster_id");
}

/** Returns whether a transaction's conditions were met; the API omits the
 * member if it is false. */
bool Succeeded(const json::object& reply) {
  const json::value* found = reply.if_contains("succeeded");
  return found != nullptr && found->is_bool() && found->get_bool();
}

StoreRow DecodeRow(const json::value& value) {
  const json::object& row = ToObject(value);
  return {BytesMember(row, "key"), NumberMember(row, "mod_revision"),
          BytesMember(row, "value")};
}

/** Decodes the answer to a range request for one key. */
StoreRow DecodeSingleRow(const json::value& response, const std::string& key) {
  const json::object& range =
      ToObject(Member(ToObject(response), "response_range"));
  const json::array& rows = ArrayMember(range, "kvs");
  if (rows.empty()) {
    return {key, 0, ""};
  }
  StoreRow row = DecodeRow(rows[0]);
  if (rows.size() != 1 || row.key != key || row.version <= 0) {
    throw ReplyError("expected a single row with the requested key");
  }
  return row;
}

StoreTransactionResult DecodeTransaction(const StoreTransaction& transaction,
                                         const json::value& response) {
  const json::object& reply =
      ToObject(Member(ToObject(response), "response_txn"));
  StoreTransactionResult result;
  result.committed = Succeeded(reply);
  if (result.committed) {
    return result;
  }
  const json::array& rows = ArrayMember(reply, "responses");
  if (rows.size() != transaction.conditions.size()) {
    throw ReplyError("unexpected number of rows");
  }
  for (std::size_t i = 0; i < rows.size(); ++i) {
    result.rows.push_back(
        DecodeSingleRow(rows[i], transaction.conditions[i].key));
  }
  return result;
}

/** Decodes the answer to an operation into a StoreReply. */
struct Decoder {
  const HttpAnswer& answer;
  StoreReply& reply;

  void operator()(const StoreRead& read) const {
    const json::value document = Parse();
    reply.era = DecodeEra(ToObject(document));
    const json::array& rows = ArrayMember(ToObject(document), "responses");
    if (rows.size() != read.keys.size()) {
      throw ReplyError("unexpected number of rows");
    }
    for (std::size_t i = 0; i < rows.size(); ++i) {
      reply.rows.push_back(DecodeSingleRow(rows[i], read.keys[i]));
    }
  }

  void operator()(const StoreScan& scan) const {
    const json::value document = Parse();
    reply.era = DecodeEra(ToObject(document));
    for (const json::value& row : ArrayMember(ToObject(document), "kvs")) {
      reply.rows.push_back(DecodeRow(row));
      if (reply.rows.back().key.compare(0, scan.prefix.size(), scan.prefix) !=
          0) {
        throw ReplyError("row key does not have the requested prefix");
      }
    }
    std::sort(
        reply.rows.begin(), reply.rows.end(),
        [](const StoreRow& a, const StoreRow& b) { return a.key < b.key; });
  }

  void operator()(const StoreWatch& watch) const {
    (*this)(StoreScan{watch.prefix, ""});
  }

  void operator()(const StoreWrite& write) const {
    const json::value document = Parse();
    reply.era = DecodeEra(ToObject(document));
    const json::array& responses = ArrayMember(ToObject(document), "responses");
    if (responses.size() != write.transactions.size()) {
      throw ReplyError("unexpected number of transaction results");
    }
    for (std::size_t i = 0; i < responses.size(); ++i) {
      reply.results.push_back(
          DecodeTransaction(write.transactions[i], responses[i]));
    }
  }

  void operator()(const ObjectGet& /*get*/) const {
    if (answer.status != kNotFound) {
      reply.object = answer.body;
    }
  }

  void operator()(const ObjectPut& /*put*/) const {}

  json::value Parse() const {
    if (answer.status != kOk) {
      throw ReplyError("unexpected HTTP status " +
                       std::to_string(answer.status));
    }
    return json::parse(
        json::string_view(answer.body.data(), answer.body.size()));
  }
};

bool IsSuccess(const StoreOperation& operation, std::int32_t status) {
  return (status >= kOk && status < kFirstRedirect) ||
         (status == kNotFound && std::holds_alternative<ObjectGet>(operation));
}

}  // namespace

HttpRequest EncodeStoreOperation(const StoreOperation& operation) {
  return std::visit(Encoder{}, operation);
}

StoreReply DecodeStoreReply(const StoreOperation& operation,
                            const HttpAnswer& answer) {
  StoreReply reply;
  if (answer.status == kServiceUnavailable) {
    reply.status = StoreStatus::kRefused;
    return reply;
  }
  if (!IsSuccess(operation, answer.status)) {
    return reply;
  }
  try {
    std::visit(Decoder{answer, reply}, operation);
    reply.status = StoreStatus::kOk;
    return reply;
  } catch (const std::exception&) {
    return StoreReply{};
  }
}

}  // namespace kumquatcove
