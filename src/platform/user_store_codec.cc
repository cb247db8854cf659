#include "platform/user_store_codec.h"

#include <cassert>
#include <cstdint>
#include <exception>
#include <stdexcept>
#include <string_view>
#include <utility>

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>

#include "runtime/http_fields.h"
#include "runtime/log_line.h"

namespace kumquatcove {

namespace {

namespace json = boost::json;

constexpr std::string_view kEraHeader = "Store-Era";

constexpr std::int32_t kOk = 200;
constexpr std::int32_t kFirstRedirect = 300;
constexpr std::int32_t kNotFound = 404;
constexpr std::int32_t kGone = 410;
constexpr std::int32_t kPreconditionFailed = 412;
constexpr std::int32_t kTooManyRequests = 429;
constexpr std::int32_t kUnavailable = 503;
constexpr std::int64_t kMicrosecondsPerMillisecond = 1000;

/** A row's place in the store. */
struct TableKey {
  std::string table;
  std::string key;
};

TableKey SplitKey(const std::string& key) {
  const std::size_t slash = key.find('/');
  assert(slash != std::string::npos);
  return {key.substr(0, slash), key.substr(slash + 1)};
}

json::object RowAt(const std::string& product_key) {
  TableKey place = SplitKey(product_key);
  return {{"table", place.table}, {"part", ""}, {"key", place.key}};
}

HttpRequest MakeGet(std::string target) {
  HttpRequest request;
  request.method = "GET";
  request.target = std::move(target);
  return request;
}

/** Encodes each kind of operation. */
struct Writer {
  HttpRequest operator()(const StoreRead& read) const {
    assert(read.keys.size() == 1);
    const TableKey place = SplitKey(read.keys[0]);
    return MakeGet(
        absl::StrCat("/kumquatcove/rows-get?table=", EscapeQuery(place.table),
                     "&part=&from=", EscapeQuery(place.key), "&limit=1"));
  }

  HttpRequest operator()(const StoreScan& scan) const {
    std::string target =
        absl::StrCat("/kumquatcove/rows-get?table=",
                     EscapeQuery(SplitKey(scan.prefix).table), "&part=");
    if (!scan.after.empty()) {
      // The call's range includes its first key, which the reader leaves out.
      absl::StrAppend(&target, "&from=", EscapeQuery(SplitKey(scan.after).key));
    }
    return MakeGet(std::move(target));
  }

  HttpRequest operator()(const StoreWatch& watch) const {
    return MakeGet(absl::StrCat(
        "/kumquatcove/rows-feed?table=",
        EscapeQuery(SplitKey(watch.prefix).table), "&after=", watch.since,
        "&wait-ms=", watch.patience.count() / kMicrosecondsPerMillisecond));
  }

  HttpRequest operator()(const StoreWrite& write) const {
    json::array expected;
    json::array set;
    json::array removed;
    for (const StoreTransaction& transaction : write.transactions) {
      for (const StoreCondition& condition : transaction.conditions) {
        json::object row = RowAt(condition.key);
        row["ver"] = condition.version;
        expected.push_back(std::move(row));
      }
      for (const StoreMutation& mutation : transaction.mutations) {
        json::object row = RowAt(mutation.key);
        if (mutation.value) {
          row["value"] = absl::Base64Escape(*mutation.value);
          set.push_back(std::move(row));
        } else {
          removed.push_back(std::move(row));
        }
      }
    }
    HttpRequest request;
    request.method = "POST";
    request.target = "/kumquatcove/rows-tx";
    request.headers.push_back({"Content-Type", "application/json"});
    request.body =
        json::serialize(json::object{{"expected", std::move(expected)},
                                     {"set-keys", std::move(set)},
                                     {"delete-keys", std::move(removed)}});
    return request;
  }

  HttpRequest operator()(const ObjectGet& get) const {
    return MakeGet("/kumquatcove/blob-get/" + EscapeQuery(get.key));
  }

  HttpRequest operator()(const ObjectPut& put) const {
    HttpRequest request;
    request.method = "PUT";
    request.target = "/kumquatcove/blob-put/" + EscapeQuery(put.key);
    request.body = put.content;
    return request;
  }
};

StoreRow ReadRow(const json::value& value) {
  const json::object& row = value.as_object();
  StoreRow result;
  result.key = absl::StrCat(json::value_to<std::string>(row.at("table")), "/",
                            json::value_to<std::string>(row.at("key")));
  result.version = json::value_to<std::int64_t>(row.at("ver"));
  const json::value* deleted = row.if_contains("deleted");
  result.deleted =
      deleted != nullptr && deleted->is_bool() && deleted->get_bool();
  const json::value* bytes = row.if_contains("value");
  if (bytes != nullptr && bytes->is_string() &&
      !absl::Base64Unescape(json::value_to<std::string>(*bytes),
                            &result.value)) {
    throw std::runtime_error("not base64: " + result.key);
  }
  return result;
}

void ReadRows(const json::object& document, std::vector<StoreRow>& rows) {
  for (const json::value& row : document.at("rows").as_array()) {
    rows.push_back(ReadRow(row));
  }
}

/** Decodes the body of the answer to each kind of operation. */
struct Reader {
  const HttpAnswer& answer;
  StoreReply& reply;

  void operator()(const StoreRead& read) const {
    ReadRows(Parse(), reply.rows);
    if (reply.rows.empty() || reply.rows[0].key != read.keys[0]) {
      reply.rows = {StoreRow{read.keys[0], 0, ""}};
    }
  }

  void operator()(const StoreScan& scan) const {
    const json::object document = Parse();
    ReadRows(document, reply.rows);
    if (!reply.rows.empty() && reply.rows.front().key == scan.after) {
      reply.rows.erase(reply.rows.begin());
    }
    reply.more = document.at("has-more").as_bool();
    reply.version = json::value_to<std::int64_t>(document.at("ver"));
  }

  void operator()(const StoreWatch& /*watch*/) const {
    const json::object document = Parse();
    ReadRows(document, reply.rows);
    reply.version = json::value_to<std::int64_t>(document.at("ver"));
  }

  void operator()(const StoreWrite& write) const {
    StoreTransactionResult result;
    result.committed = answer.status == kOk;
    if (!result.committed) {
      ReadRows(Parse(), result.rows);
    }
    reply.results.assign(write.transactions.size(), result);
  }

  void operator()(const ObjectGet& /*get*/) const {
    if (answer.status != kNotFound) {
      reply.object = answer.body;
    }
  }

  void operator()(const ObjectPut& /*put*/) const {}

  json::object Parse() const {
    return json::parse(
               json::string_view(answer.body.data(), answer.body.size()))
        .as_object();
  }
};

std::int64_t ReadEra(const HttpAnswer& answer) {
  const std::string text = FindHeader(answer.headers, kEraHeader);
  std::int64_t era = 0;
  if (!text.empty() && (!absl::SimpleAtoi(text, &era) || era < 0)) {
    LogWarning(LogLine("store_era_unreadable").Add("value", text));
    return 0;
  }
  return era;
}

bool IsReply(const StoreOperation& operation, std::int32_t status) {
  const bool conflict = status == kPreconditionFailed &&
                        std::holds_alternative<StoreWrite>(operation);
  const bool absent =
      status == kNotFound && std::holds_alternative<ObjectGet>(operation);
  return (status >= kOk && status < kFirstRedirect) || conflict || absent;
}

}  // namespace

HttpRequest WriteUserStoreOperation(const StoreOperation& operation) {
  return std::visit(Writer{}, operation);
}

StoreReply ReadUserStoreReply(const StoreOperation& operation,
                              const HttpAnswer& answer) {
  StoreReply reply;
  reply.era = ReadEra(answer);
  if (answer.status == kUnavailable || answer.status == kTooManyRequests) {
    reply.status = StoreStatus::kRefused;
    return reply;
  }
  if (answer.status == kGone) {
    reply.status = StoreStatus::kHistoryLost;
    return reply;
  }
  if (!IsReply(operation, answer.status)) {
    LogWarning(LogLine("store_reply_unexpected").Add("status", answer.status));
    return reply;
  }
  try {
    std::visit(Reader{answer, reply}, operation);
    reply.status = StoreStatus::kOk;
    return reply;
  } catch (const std::exception& error) {
    LogWarning(LogLine("store_reply_invalid").Add("problem", error.what()));
    reply = StoreReply{};
    reply.era = ReadEra(answer);
    return reply;
  }
}

}  // namespace kumquatcove
