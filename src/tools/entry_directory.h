#ifndef TOOLS_ENTRY_DIRECTORY_H_
#define TOOLS_ENTRY_DIRECTORY_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "base/clock_reading.h"
#include "tools/caller_connections.h"

namespace kumquatcove {

/** Who asks for which service. */
struct LookupKey {
  std::string service;
  /** IPv4 number; empty if unknown. */
  std::string client;
  friend auto operator<=>(const LookupKey&, const LookupKey&) = default;
};

/**
 * Look-up answers that callers use until their time to live has passed.
 *
 * Thread safety: none; used from the thread that runs the I/O context.
 */
class EntryDirectory {
 public:
  /** Gets the addresses in order of preference; empty if no entry instance
   * answered. */
  using Done = std::function<void(const std::vector<std::string>&)>;

  /** `lookup` are the addresses that are asked, in turn. */
  EntryDirectory(CallerConnections& connections,
                 std::vector<std::string> lookup,
                 Duration timeout);

  /** Calls `done`, at once if an answer is still valid, else when one has come.
   */
  void Find(const LookupKey& key, Done done);

  std::uint64_t Lookups() const { return m_lookups; }
  std::uint64_t FailedLookups() const { return m_failed_lookups; }

 private:
  struct Answer {
    std::vector<std::string> addresses;
    MonotonicTime valid_until;
    bool is_asking = false;
    std::vector<Done> waiting;
  };

  void Ask(const LookupKey& key, std::size_t attempt);
  bool Take(const LookupKey& key, const HttpResult& result);
  void Deliver(const LookupKey& key);

  CallerConnections& m_connections;
  std::vector<std::string> m_lookup;
  Duration m_timeout;
  std::map<LookupKey, Answer> m_answers;
  std::size_t m_next_lookup = 0;
  std::uint64_t m_lookups = 0;
  std::uint64_t m_failed_lookups = 0;
};

}  // namespace kumquatcove

#endif  // TOOLS_ENTRY_DIRECTORY_H_
