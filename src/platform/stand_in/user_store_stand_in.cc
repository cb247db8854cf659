#include "platform/stand_in/user_store_stand_in.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <exception>
#include <utility>

#include <absl/strings/escaping.h>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>

#include "emulator/steady_clock.h"
#include "runtime/http_fields.h"

namespace kumquatcove::stand_in {
namespace {

namespace json = boost::json;

constexpr std::size_t kMaxRows = 500;
constexpr std::int32_t kOk = 200;
constexpr std::int32_t kBadRequest = 400;
constexpr std::int32_t kForbidden = 403;
constexpr std::int32_t kNotFound = 404;
constexpr std::int32_t kGone = 410;
constexpr std::int32_t kConflict = 412;
constexpr std::int32_t kUnavailable = 503;
/** Share of calls that are answered while replies are lost. */
constexpr double kAnsweredShare = 0.6;

std::int64_t NumberOf(const std::string& text) {
  std::int64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

json::object RowJson(const std::pair<std::string, std::string>& key,
                     const std::string& value,
                     std::int64_t version) {
  return {{"table", key.first},
          {"part", ""},
          {"key", key.second},
          {"value", absl::Base64Escape(value)},
          {"ver", version}};
}

std::pair<std::string, std::string> KeyOf(const json::value& row) {
  const json::object& object = row.as_object();
  return {json::value_to<std::string>(object.at("table")),
          json::value_to<std::string>(object.at("key"))};
}

HttpAnswer Reply(std::int32_t status, const json::object& body) {
  return MakeJsonAnswer(status, json::serialize(body));
}

}  // namespace

UserStoreStandIn::UserStoreStandIn(
    boost::asio::io_context& io,
    const boost::asio::ip::tcp::endpoint& endpoint,
    std::uint64_t seed)
    : m_io(io),
      m_random(seed),
      m_server(io, endpoint, [this](const Session& session) {
        Handle(session);
      }) {
  m_server.Open();
}

void UserStoreStandIn::Put(const std::string& table,
                           const std::string& key,
                           const std::string& value) {
  Apply({{table, key}, value, ++m_version, false});
  AnswerFeeds();
}

void UserStoreStandIn::Remove(const std::string& table,
                              const std::string& key) {
  if (m_rows.contains({table, key})) {
    Apply({{table, key}, "", ++m_version, true});
    AnswerFeeds();
  }
}

void UserStoreStandIn::Compact() {
  m_history.clear();
  m_compacted = m_version;
}

void UserStoreStandIn::KeepCopy() {
  m_copy = {m_rows, m_history, m_version};
}

void UserStoreStandIn::RestoreCopy() {
  m_rows = m_copy.rows;
  m_history = m_copy.history;
  m_version = m_copy.version;
  ++m_era;
  m_feeds.clear();
}

void UserStoreStandIn::SetFault(StoreFault fault) {
  if (m_fault == StoreFault::kDown && fault != StoreFault::kDown) {
    m_server.Open();
  }
  m_fault = fault;
  if (fault == StoreFault::kDown) {
    m_feeds.clear();
    m_server.StopListening();
    m_server.ResetConnections();
  } else if (fault == StoreFault::kSilent) {
    m_feeds.clear();
    m_server.SilenceConnections();
  }
}

void UserStoreStandIn::Apply(Change change) {
  if (change.deleted) {
    m_rows.erase(change.key);
  } else {
    m_rows[change.key] = {change.value, change.version};
  }
  m_history.push_back(std::move(change));
}

void UserStoreStandIn::Handle(const Session& session) {
  ++m_calls;
  if (m_fault == StoreFault::kSilent) {
    session->Silence();
    return;
  }
  if (m_fault == StoreFault::kBusy) {
    Send(session, MakeErrorAnswer(kUnavailable, "busy"));
    return;
  }
  const std::string target(session->GetRequest().target());
  const std::string_view path = PathOfTarget(target);
  try {
    if (path == "/kumquatcove/rows-get") {
      Respond(session, Get(target));
    } else if (path == "/kumquatcove/rows-feed") {
      StartFeed(session);
    } else if (path == "/kumquatcove/rows-tx") {
      Respond(session, Write(session->GetRequest().body()));
      AnswerFeeds();
    } else {
      Send(session, MakeErrorAnswer(kNotFound, "no such call"));
    }
  } catch (const std::exception& error) {
    Send(session, MakeErrorAnswer(kBadRequest, error.what()));
  }
}

void UserStoreStandIn::Respond(const Session& session,
                               const HttpAnswer& answer) {
  if (m_fault == StoreFault::kLosesReplies &&
      m_random.NextFraction() > kAnsweredShare) {
    session->Reset();
  } else {
    Send(session, answer);
  }
}

void UserStoreStandIn::Send(const Session& session, HttpAnswer answer) const {
  answer.headers.push_back({"Store-Era", std::to_string(m_era)});
  session->Respond(answer);
}

json::object UserStoreStandIn::MakeReply() const {
  const double now =
      static_cast<double>(
          emulator::ReadMonotonicClock().time_since_epoch().count()) /
      1'000'000;
  return {{"ver", m_version}, {"now-s", now}};
}

HttpAnswer UserStoreStandIn::Get(const std::string& target) const {
  const std::string table = FindQueryParameter(target, "table");
  const std::string from = FindQueryParameter(target, "from");
  const std::string end = FindQueryParameter(target, "target");
  const std::int64_t asked = NumberOf(FindQueryParameter(target, "limit"));
  const std::size_t limit =
      asked > 0 ? std::min(static_cast<std::size_t>(asked), kMaxRows)
                : kMaxRows;
  json::array rows;
  bool more = false;
  for (auto row = m_rows.lower_bound({table, from});
       row != m_rows.end() && row->first.first == table &&
       (end.empty() || row->first.second < end);
       ++row) {
    if (rows.size() == limit) {
      more = true;
      break;
    }
    rows.push_back(RowJson(row->first, row->second.value, row->second.version));
  }
  json::object reply = MakeReply();
  reply["rows"] = std::move(rows);
  reply["has-more"] = more;
  return Reply(kOk, reply);
}

void UserStoreStandIn::StartFeed(const Session& session) {
  const std::string target(session->GetRequest().target());
  Feed feed;
  feed.session = session;
  feed.table = FindQueryParameter(target, "table");
  feed.after = NumberOf(FindQueryParameter(target, "after"));
  if (feed.after < m_compacted || feed.after > m_version) {
    Respond(session, MakeErrorAnswer(kGone, "history is gone"));
    return;
  }
  feed.timer = std::make_unique<boost::asio::steady_timer>(
      m_io, std::chrono::milliseconds(
                NumberOf(FindQueryParameter(target, "wait-ms"))));
  m_feeds.push_back(std::move(feed));
  const auto place = std::prev(m_feeds.end());
  place->timer->async_wait([this, session](boost::system::error_code error) {
    const auto ended =
        std::find_if(m_feeds.begin(), m_feeds.end(),
                     [&](const Feed& f) { return f.session == session; });
    if (error || ended == m_feeds.end()) {
      return;
    }
    m_feeds.erase(ended);
    json::object reply = MakeReply();
    reply["rows"] = json::array();
    Respond(session, Reply(kOk, reply));
  });
  AnswerFeeds();
}

json::array UserStoreStandIn::ChangesOf(const Feed& feed) const {
  json::array rows;
  for (const Change& change : m_history) {
    if (change.version > feed.after && change.key.first == feed.table) {
      json::object row = RowJson(change.key, change.value, change.version);
      if (change.deleted) {
        row["deleted"] = true;
      }
      rows.push_back(std::move(row));
    }
  }
  return rows;
}

void UserStoreStandIn::AnswerFeeds() {
  for (auto feed = m_feeds.begin(); feed != m_feeds.end();) {
    json::array rows = ChangesOf(*feed);
    if (rows.empty()) {
      ++feed;
      continue;
    }
    const Session session = feed->session;
    feed = m_feeds.erase(feed);
    json::object reply = MakeReply();
    reply["rows"] = std::move(rows);
    Respond(session, Reply(kOk, reply));
  }
}

HttpAnswer UserStoreStandIn::Write(const std::string& body) {
  const json::object call = json::parse(body).as_object();
  json::array present;
  bool holds = true;
  for (const json::value& row : call.at("expected").as_array()) {
    const RowKey key = KeyOf(row);
    const auto found = m_rows.find(key);
    const std::int64_t version =
        found == m_rows.end() ? 0 : found->second.version;
    holds = holds &&
            version == json::value_to<std::int64_t>(row.as_object().at("ver"));
    if (found != m_rows.end()) {
      present.push_back(RowJson(key, found->second.value, version));
    }
  }
  json::object reply = MakeReply();
  if (!holds) {
    reply["rows"] = std::move(present);
    return Reply(kConflict, reply);
  }
  std::vector<Change> changes;
  for (const json::value& row : call.at("set-keys").as_array()) {
    Change change{KeyOf(row), "", m_version + 1, false};
    if (!absl::Base64Unescape(
            json::value_to<std::string>(row.as_object().at("value")),
            &change.value)) {
      return MakeErrorAnswer(kBadRequest, "not base64");
    }
    changes.push_back(std::move(change));
  }
  for (const json::value& row : call.at("delete-keys").as_array()) {
    changes.push_back({KeyOf(row), "", m_version + 1, true});
  }
  const bool foreign =
      std::any_of(changes.begin(), changes.end(), [](const Change& change) {
        return change.key.first == "op" || change.key.first == "servers";
      });
  if (foreign) {
    return MakeErrorAnswer(kForbidden, "not the system's table");
  }
  ++m_version;
  for (Change& change : changes) {
    Apply(std::move(change));
  }
  reply["ver"] = m_version;
  return Reply(kOk, reply);
}

}  // namespace kumquatcove::stand_in
