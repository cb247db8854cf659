#ifndef PLATFORM_STAND_IN_UPSTREAM_STAND_IN_H_
#define PLATFORM_STAND_IN_UPSTREAM_STAND_IN_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include <boost/asio/io_context.hpp>

#include "base/clock_reading.h"
#include "base/random.h"
#include "emulator/http_server.h"
#include "platform/stand_in/link_proxy.h"
#include "platform/stand_in/soak_ledger.h"
#include "platform/stand_in/user_store_stand_in.h"

namespace kumquatcove::stand_in {

/** What an upstream of the stand-in is. */
struct UpstreamStandInSettings {
  std::string id;
  std::string service;
  std::string zone;
  /** Where entry instances connect; with port 0 any port will do. */
  boost::asio::ip::tcp::endpoint endpoint;
  std::size_t slots = 3;
  Duration mean_work = Milliseconds(40);
};

/**
 * An upstream that registers itself in the store and speaks the platform's
 * form.
 *
 * It works on as many requests as it has slots, queues a few, sheds the rest,
 * answers requests for another incarnation with 421, and tells the ledger what
 * it runs. Thread safety: none; used from the thread that runs the I/O context,
 * which it must outlive.
 */
class UpstreamStandIn {
 public:
  /** Starts to serve and registers. The references must outlive this object.
   * Throws boost::system::system_error if the port is taken. */
  UpstreamStandIn(boost::asio::io_context& io,
                  UserStoreStandIn& store,
                  SoakLedger& ledger,
                  UpstreamStandInSettings settings,
                  std::uint64_t seed);

  /** Announces that it leaves; it goes on to serve what comes. */
  void Drain();
  /** Writes the row again, as after a restore of the store. */
  void Renew();
  /** Removes the row of an upstream that has drained. */
  void Deregister();
  /** Ends without a word: connections break, nothing is answered. */
  void Crash();
  /** Starts again at the same address as another incarnation, perhaps of
   * another service. Precondition: it has crashed. */
  void Restart(const std::string& id, const std::string& service);

  /** States a rate limit in each answer from now on, or none any more. */
  void SetRateLimit(std::optional<double> rate);

  /** Returns the link between the entry instances and this upstream. */
  LinkProxy& Link() { return m_link; }

  const UpstreamStandInSettings& Settings() const { return m_settings; }

 private:
  using Session = std::shared_ptr<emulator::HttpSession>;

  void Open();
  void Register(bool draining);
  void Handle(const Session& session);
  void StartWaiting();
  void Run(const Session& session);
  void Finish(const Session& session);
  void NoteRunEnd(const Session& session, RunEnd end);
  HttpAnswer MakeAnswer(std::int32_t status, std::string body) const;

  boost::asio::io_context& m_io;
  UserStoreStandIn& m_store;
  SoakLedger& m_ledger;
  UpstreamStandInSettings m_settings;
  Random m_random;
  std::set<Session> m_running;
  std::deque<Session> m_waiting;
  std::optional<MonotonicTime> m_left;
  std::optional<double> m_rate_limit;
  std::int64_t m_sequence = 0;
  std::int64_t m_started_ms;
  /** Grows at each end, so that work of an earlier incarnation is dropped. */
  std::uint64_t m_incarnation = 0;
  emulator::HttpServer m_server;
  LinkProxy m_link;
};

/** Returns the body that an upstream answers to a request. */
std::string UpstreamAnswerBody(const std::string& attempt,
                               const std::string& target);

}  // namespace kumquatcove::stand_in

#endif  // PLATFORM_STAND_IN_UPSTREAM_STAND_IN_H_
