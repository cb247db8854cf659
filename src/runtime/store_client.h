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
 * Client of the platform: table, object store and list of instances.
 *
 * A connection without a reply by the timeout is closed together with all idle
 * ones, since they may have gone silent too; the next call opens a fresh one.
 * Thread safety: all functions but the constructor run on the IoThread.
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

  /** Runs an operation; exactly one StoreReplyArrived follows. */
  void Call(CallStore effect);

  /** Reads the list of instances; does nothing while an earlier read runs. */
  void FetchInstances();

 private:
  struct PlatformCall;

  void Start(std::unique_ptr<PlatformCall> call);
  void Connect(PlatformCall& call);
  void Write(std::uint64_t number);
  /** Ends a call; nothing if there was no answer. */
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
