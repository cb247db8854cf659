#ifndef RUNTIME_STORE_CLIENT_H_
#define RUNTIME_STORE_CLIENT_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>

#include <absl/container/flat_hash_map.h>

#include "protocol/effect.h"
#include "runtime/event_sink.h"
#include "runtime/http_connection.h"
#include "runtime/io_thread.h"
#include "runtime/link_delays.h"
#include "runtime/metrics.h"
#include "runtime/platform_dialect.h"

namespace kumquatcove {

/**
 * Client of the platform, which provides a table, an object store and the list
 * of instances.
 *
 * If a call times out, its connection and all idle connections are closed,
 * since they may have stalled too; the next call opens a new one. Thread
 * safety: all functions but the constructor run on the IoThread.
 */
class StoreClient {
 public:
  /** All references must outlive this object. */
  StoreClient(IoThread& io,
              EventSink& events,
              const LinkDelays& delays,
              Metrics& metrics,
              StoreDialect dialect,
              std::string platform_address);
  ~StoreClient();
  StoreClient(const StoreClient&) = delete;
  StoreClient& operator=(const StoreClient&) = delete;

  /** Executes an operation; exactly one StoreReplyArrived event follows. */
  void Call(CallStore effect);

  /** Reads the list of instances; does nothing while an earlier read is in
   * progress. */
  void FetchInstances();

 private:
  struct PlatformCall;

  void Start(std::unique_ptr<PlatformCall> call);
  void Connect(PlatformCall& call);
  void Write(std::uint64_t number);
  /** Completes a call; `result` is `std::nullopt` if there was no answer. */
  void Finish(std::uint64_t number, std::optional<HttpResult> result);
  void OnTimeout(std::uint64_t number);
  void DropClosedConnections();

  IoThread& m_io;
  EventSink& m_events;
  const LinkDelays& m_delays;
  Metrics& m_metrics;
  StoreDialect m_dialect;
  std::string m_address;
  absl::flat_hash_map<std::uint64_t, std::unique_ptr<PlatformCall>> m_calls;
  std::deque<std::unique_ptr<HttpConnection>> m_idle;
  std::uint64_t m_count = 0;
  bool m_fetching = false;
};

}  // namespace kumquatcove

#endif  // RUNTIME_STORE_CLIENT_H_
