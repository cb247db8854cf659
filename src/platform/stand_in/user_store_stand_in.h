#ifndef PLATFORM_STAND_IN_USER_STORE_STAND_IN_H_
#define PLATFORM_STAND_IN_USER_STORE_STAND_IN_H_

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>

#include "base/random.h"
#include "emulator/http_server.h"

namespace kumquatcove::stand_in {

/** What the store does instead of its work. */
enum class StoreFault {
  kNone,
  /** Resets connections and refuses new ones. */
  kDown,
  /** Leaves connections open and answers nothing. */
  kSilent,
  /** Answers that it has done nothing. */
  kBusy,
  /** Does what it is asked, but answers only some calls. */
  kLosesReplies,
};

/**
 * The platform's store: tables of rows with versions, atomic writes, and a feed
 * of changes.
 *
 * Thread safety: none; used from the thread that runs the I/O context.
 */
class UserStoreStandIn {
 public:
  /** Throws boost::system::system_error if the address is taken. */
  UserStoreStandIn(boost::asio::io_context& io,
                   const boost::asio::ip::tcp::endpoint& endpoint,
                   std::uint64_t seed);

  /** Writes or removes a row as the operator or an upstream does. */
  void Put(const std::string& table,
           const std::string& key,
           const std::string& value);
  void Remove(const std::string& table, const std::string& key);

  /** Forgets the history, so that feeds must be started anew. */
  void Compact();

  /** Keeps a copy of the present rows, from which they can be restored. */
  void KeepCopy();
  /** Loses all that was written since the last KeepCopy(), and gives its
   * versions out again in a new era. */
  void RestoreCopy();

  void SetFault(StoreFault fault);

  /** Returns the number of calls so far. */
  std::size_t Calls() const { return m_calls; }
  std::uint16_t Port() const { return m_server.Port(); }

 private:
  using Session = std::shared_ptr<emulator::HttpSession>;
  using RowKey = std::pair<std::string, std::string>;

  struct Row {
    std::string value;
    std::int64_t version = 0;
  };
  struct Change {
    RowKey key;
    std::string value;
    std::int64_t version = 0;
    bool deleted = false;
  };
  struct Feed {
    Session session;
    std::string table;
    std::int64_t after = 0;
    std::unique_ptr<boost::asio::steady_timer> timer;
  };

  /** What RestoreCopy() restores. */
  struct Copy {
    std::map<RowKey, Row> rows;
    std::vector<Change> history;
    std::int64_t version = 0;
  };

  void Handle(const Session& session);
  HttpAnswer Get(const std::string& target) const;
  void StartFeed(const Session& session);
  HttpAnswer Write(const std::string& body);
  /** Returns the changes of a feed; empty if there are none yet. */
  boost::json::array ChangesOf(const Feed& feed) const;
  void Apply(Change change);
  void AnswerFeeds();
  /** Sends an answer with the era of the store. */
  void Send(const Session& session, HttpAnswer answer) const;
  /** Sends an answer, unless it is lost by a fault. */
  void Respond(const Session& session, const HttpAnswer& answer);
  boost::json::object MakeReply() const;

  boost::asio::io_context& m_io;
  std::map<RowKey, Row> m_rows;
  std::vector<Change> m_history;
  std::list<Feed> m_feeds;
  std::int64_t m_version = 0;
  /** Changes up to this version are forgotten. */
  std::int64_t m_compacted = 0;
  Copy m_copy;
  std::int64_t m_era = 1;
  StoreFault m_fault = StoreFault::kNone;
  Random m_random;
  std::size_t m_calls = 0;
  emulator::HttpServer m_server;
};

}  // namespace kumquatcove::stand_in

#endif  // PLATFORM_STAND_IN_USER_STORE_STAND_IN_H_
