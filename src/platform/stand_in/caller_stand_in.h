#ifndef PLATFORM_STAND_IN_CALLER_STAND_IN_H_
#define PLATFORM_STAND_IN_CALLER_STAND_IN_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/clock_reading.h"
#include "base/random.h"
#include "platform/stand_in/paced_connection.h"
#include "platform/stand_in/soak_ledger.h"
#include "platform/stand_in/soak_route.h"
#include "runtime/http_connection.h"
#include "runtime/io_thread.h"

namespace kumquatcove::stand_in {

/** Callers of the stand-in. */
struct CallerStandInSettings {
  /** Availability zones with their regions. */
  std::map<std::string, std::string> zones;
  /** Look-up addresses of all entry instances. */
  std::vector<std::string> lookup_addresses;
  std::string host;
  double requests_per_second = 60;
};

/**
 * Callers of all zones: ask where to connect, send idempotent requests on new
 * and kept connections and others on new ones, write some bodies and read some
 * answers slowly, and repeat once what may be repeated.
 *
 * Thread safety: all functions but the constructor run on the IoThread.
 */
class CallerStandIn {
 public:
  /** The references must outlive this object. */
  CallerStandIn(IoThread& io,
                SoakLedger& ledger,
                CallerStandInSettings settings,
                std::uint64_t seed);

  void Start();
  /** Sends nothing new; what is under way goes on. */
  void Stop() { m_stopped = true; }
  /** Sets the share of requests that are uploads of LinkProxy::kUploadBytes. */
  void SetUploadShare(double share) { m_upload_share = share; }
  /** Returns the number of requests under way. */
  std::size_t Pending() const { return m_calls.size(); }

 private:
  struct Call {
    std::shared_ptr<PacedConnection> connection;
    std::string zone;
    std::string address;
    const SoakRoute* route = nullptr;
    std::string target;
    std::string body;
    ExchangePace pace;
    bool is_kept = false;
    std::string attempt;
    int attempts = 0;
    MonotonicTime started;
  };
  /** Where the callers of a zone connect. */
  struct Directory {
    std::vector<std::string> addresses;
    MonotonicTime expires;
    std::unique_ptr<HttpConnection> lookup;
  };

  void SendNext();
  void LookUp(const std::string& zone);
  void OnLookedUp(const std::string& zone,
                  const std::optional<HttpResult>& result);
  void Try(std::uint64_t number);
  void OnOpened(std::uint64_t number, bool opened);
  void OnAnswered(std::uint64_t number, const ExchangeResult& result);
  void End(std::uint64_t number, bool served);
  /** Keeps the connection of a call that has ended, if it is open. */
  void Keep(Call& call);
  /** Returns the open kept connections to an address. */
  std::vector<std::shared_ptr<PacedConnection>>& IdleAt(
      const std::string& address);
  /** Returns a kept connection to an address, or null. */
  std::shared_ptr<PacedConnection> TakeIdle(const std::string& address);
  /** Returns a kept connection to any address, which it sets, or null. */
  std::shared_ptr<PacedConnection> TakeAnyIdle(std::string& address);
  /** Draws what a call sends and at which pace. */
  void DrawRequest(Call& call);
  /** Makes a call an upload to the service of `route`. */
  void MakeUpload(const SoakRoute& route, Call& call);
  /** Notes a send of a call and returns what it sends. */
  HttpRequest BeginSend(Call& call);
  void Discard(std::unique_ptr<HttpConnection> connection);
  std::string Pick(const std::vector<std::string>& addresses);

  IoThread& m_io;
  SoakLedger& m_ledger;
  CallerStandInSettings m_settings;
  Random m_random;
  std::map<std::string, Directory> m_directories;
  std::map<std::uint64_t, Call> m_calls;
  /** Kept connections by address; they are used until the instance is gone,
   * whatever a later look-up says. */
  std::map<std::string, std::vector<std::shared_ptr<PacedConnection>>> m_idle;
  std::uint64_t m_last_call = 0;
  std::uint64_t m_last_attempt = 0;
  double m_upload_share = 0;
  bool m_stopped = false;
};

}  // namespace kumquatcove::stand_in

#endif  // PLATFORM_STAND_IN_CALLER_STAND_IN_H_
