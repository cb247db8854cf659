#ifndef EMULATOR_PLATFORM_H_
#define EMULATOR_PLATFORM_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>

#include "base/random.h"
#include "emulator/http_session.h"
#include "emulator/instance_list.h"
#include "emulator/key_value_table.h"
#include "emulator/platform_settings.h"
#include "emulator/table_gateway.h"
#include "emulator/token_bucket.h"

namespace kumquatcove::emulator {

/**
 * The emulated platform: table, objects, instance list and fault switches.
 *
 * Thread safety: none; used from the thread that runs the I/O context.
 */
class Platform {
 public:
  Platform(boost::asio::io_context& io, const PlatformSettings& settings);

  /** Handles one request; the answer may come later or, with a fault switched
   * on, never. */
  void Handle(const std::shared_ptr<HttpSession>& session);

  const PlatformFaults& Faults() const { return m_faults; }
  const PlatformCounters& Counters() const { return m_counters; }

 private:
  using Request = HttpSession::Request;

  HttpAnswer Control(const Request& request);
  /** Takes a copy of the table, or restores the last one. */
  HttpAnswer Backup(const std::string& path);
  TableHeader Header() const {
    return {m_table.ClusterId(), m_table.Revision()};
  }
  HttpAnswer Instances(const Request& request);
  HttpAnswer Execute(const Request& request);
  HttpAnswer Range(const Request& request);
  HttpAnswer Transaction(const Request& request);
  HttpAnswer Object(const Request& request, const std::string& key);
  void HandleStore(const std::shared_ptr<HttpSession>& session);
  void Finish(const std::shared_ptr<HttpSession>& session);
  bool AllowRead();
  bool AllowWrite();
  void After(std::int64_t milliseconds, std::function<void()> action);

  boost::asio::io_context& m_io;
  KeyValueTable m_table;
  std::optional<KeyValueTable> m_copy;
  std::map<std::string, std::string> m_objects;
  InstanceList m_instances;
  TokenBucket m_reads;
  TokenBucket m_writes;
  PlatformFaults m_faults;
  PlatformCounters m_counters;
  Random m_random;
};

}  // namespace kumquatcove::emulator

#endif  // EMULATOR_PLATFORM_H_
