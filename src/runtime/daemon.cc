#include "runtime/daemon.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <functional>
#include <future>
#include <mutex>
#include <optional>
#include <shared_mutex>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include "runtime/caller_api.h"
#include "runtime/effect_dispatcher.h"
#include "runtime/io_thread.h"
#include "runtime/link_delays.h"
#include "runtime/log_line.h"
#include "runtime/message_guard.h"
#include "runtime/metrics.h"
#include "runtime/operator_api.h"
#include "runtime/peer_transport.h"
#include "runtime/readiness_api.h"
#include "runtime/request_server.h"
#include "runtime/store_client.h"
#include "runtime/system_clock.h"
#include "runtime/upstream_client.h"

namespace kumquatcove {

namespace {

/** Poll interval for the connections that an exit waits for. */
constexpr Duration kExitCheckInterval = Milliseconds(10);
/** Time for sending queued peer messages after the exit's own limit. */
constexpr Duration kPeerFlushLimit = Milliseconds(150);
constexpr Duration kMetricsInterval = Seconds(1);
/** Poll interval for the settings file, since the platform may change it
 * without sending a signal. */
constexpr Duration kSettingsInterval = Seconds(1);
constexpr int kInterruptedStatus = 130;
/** Margin added to the idle timeout that callers use, so that the server does
 * not close a connection that a caller is about to reuse. */
constexpr Duration kIdleMargin = Seconds(2);

/** Forwards events to a target while one is set; drops them otherwise. */
class DetachableEventSink : public EventSink {
 public:
  void SetTarget(EventSink* target) {
    const std::unique_lock lock(m_mutex);
    m_target = target;
  }

  void Post(Event event) override {
    const std::shared_lock lock(m_mutex);
    if (m_target != nullptr) {
      m_target->Post(std::move(event));
    }
  }

 private:
  std::shared_mutex m_mutex;
  EventSink* m_target = nullptr;
};

/** Converts peer messages to events and posts them after the emulated link
 * delay. */
class PeerEvents : public PeerReceiver {
 public:
  PeerEvents(IoThread& io, EventSink& events, const LinkDelays& delays)
      : m_io(io), m_events(events), m_delays(delays) {}

  void OnPeerMessage(PeerEnvelope envelope) override {
    const Duration delay = m_delays.ToZone(envelope.zone.Text());
    PeerMessageArrived event{std::move(envelope.sender), envelope.sent,
                             std::move(envelope.message)};
    if (delay == Duration::zero()) {
      m_events.Post(std::move(event));
      return;
    }
    m_io.PostAfter(delay, [this, event = std::move(event)]() mutable {
      m_events.Post(std::move(event));
    });
  }

 private:
  IoThread& m_io;
  EventSink& m_events;
  const LinkDelays& m_delays;
};

InstanceListArrived SeedsAsList(const std::vector<SeedSettings>& seeds) {
  InstanceListArrived list;
  for (const SeedSettings& seed : seeds) {
    list.instances.push_back({seed.instance, seed.region, seed.zone,
                              seed.caller_address, seed.peer_address, false});
  }
  return list;
}

PeerTransportSettings PeerSettings(const Settings& settings) {
  PeerTransportSettings result;
  result.instance = settings.instance;
  result.zone = settings.zone;
  result.address = settings.peer_address;
  result.flush_limit = kPeerFlushLimit;
  return result;
}

}  // namespace

class Daemon::Implementation {
 public:
  Implementation(const Settings& settings,
                 std::int64_t incarnation,
                 ReduceFunction reduce,
                 const PlatformDialect& dialect)
      : m_delays(settings.zone, settings.emulation),
        m_request_ids(settings.instance, incarnation),
        m_callers(m_io,
                  m_events,
                  m_metrics,
                  m_request_ids,
                  dialect.callers,
                  m_delays.ToCaller()),
        m_operators(m_events, m_metrics, m_request_ids, settings.operators),
        m_caller_server(m_io, settings.caller_address, {}, m_callers),
        m_operator_server(m_io, settings.operator_address, {}, m_operators),
        m_upstreams(m_io, m_events, m_delays, dialect.upstreams),
        m_store(m_io,
                m_events,
                m_delays,
                m_metrics,
                dialect.store,
                settings.platform_address),
        m_peer_events(m_io, m_events, m_delays),
        m_dispatcher(m_io),
        m_signals(m_io.Context(), SIGTERM, SIGINT, SIGHUP) {
    m_callers.AddServer(m_caller_server);
    m_operators.SetServer(m_operator_server);
    if (settings.registered) {
      m_lookup_server.emplace(m_io, settings.registered->lookup_address,
                              RequestServerLimits{}, m_callers);
      m_callers.AddServer(*m_lookup_server);
      m_readiness_server.emplace(m_io, settings.registered->readiness_address,
                                 RequestServerLimits{}, m_readiness);
      m_readiness.SetServer(*m_readiness_server);
    }
    m_peers.emplace(PeerSettings(settings), m_peer_events);
    m_dispatcher.SetAdapters(
        {&m_callers, &m_operators, &m_upstreams, &m_store, &*m_peers,
         [this](const SetReadiness& effect) { m_readiness.Execute(effect); },
         [this](const SetCallerLimits& effect) { Execute(effect); },
         [this](const Exit& effect) { Execute(effect); }});
    m_actor.emplace(std::move(reduce), m_dispatcher);
    m_actor->Post(Started{});
    if (settings.seeds) {
      m_actor->Post(SeedsAsList(*settings.seeds));
    }
    m_events.SetTarget(&*m_actor);
  }

  /** Stops the event sources before the actor, and the actor before the
   * adapters that execute its effects. */
  ~Implementation() {
    m_io.Stop();
    m_events.SetTarget(nullptr);
    m_actor.reset();
    m_peers.reset();
  }
  Implementation(const Implementation&) = delete;
  Implementation& operator=(const Implementation&) = delete;

  void SetReload(ReloadFunction reload) { m_reload = std::move(reload); }

  int Run() {
    std::future<int> status = m_exit.get_future();
    WaitForSignal();
    Tick();
    UpdateMetrics();
    WatchSettings();
    m_io.Start();
    return status.get();
  }

 private:
  void Tick() {
    m_actor->Post(kumquatcove::Tick{});
    m_io.PostAfter(kTickInterval, [this] { Tick(); });
  }

  void UpdateMetrics() {
    const PeerTransportCounters peers = m_peers->Counters();
    const auto set = [this](std::string_view name, std::uint64_t value) {
      m_metrics.Set(name, static_cast<std::int64_t>(value));
    };
    set("peer_messages_sent", peers.sent);
    set("peer_messages_received", peers.received);
    set("peer_messages_dropped", peers.dropped);
    set("peer_messages_invalid", peers.invalid);
    set("peer_links_opened", peers.links_opened);
    set("peer_links_silent", peers.links_silent);
    set("peer_bytes_sent", peers.encoded_bytes);
    set("event_backlog", m_actor->Backlog());
    set("upstream_connections", m_upstreams.Connections());
    set("caller_connections_accepted", m_caller_server.AcceptedConnections());
    m_metrics.Add("log_lines_omitted_total", LogOmittedLines());
    m_metrics.Add("message_failures_total", TakeMessageFailures());
    m_io.PostAfter(kMetricsInterval, [this] { UpdateMetrics(); });
  }

  void WatchSettings() {
    m_io.PostAfter(kSettingsInterval, [this] {
      if (m_reload) {
        m_reload(*m_actor, /*signalled=*/false);
      }
      WatchSettings();
    });
  }

  void WaitForSignal() {
    m_signals.async_wait([this](const boost::system::error_code& error,
                                int signal) {
      if (error) {
        return;
      }
      if (signal == SIGHUP) {
        LogInfo(LogLine("reload_requested"));
        if (m_reload) {
          m_reload(*m_actor, /*signalled=*/true);
        }
        WaitForSignal();
        return;
      }
      if (m_stop_requested && signal != SIGINT) {
        // A platform may repeat SIGTERM; only SIGINT ends the process at once.
        LogWarning(LogLine("stop_already_requested").Add("signal", signal));
        WaitForSignal();
        return;
      }
      if (std::exchange(m_stop_requested, true)) {
        LogError(LogLine("second_signal")
                     .Add("signal", signal)
                     .Add("unanswered",
                          static_cast<std::int64_t>(m_callers.PendingCount())));
        std::_Exit(kInterruptedStatus);
      }
      LogInfo(LogLine("stop_requested").Add("signal", signal));
      m_actor->Post(StopRequested{});
      WaitForSignal();
    });
  }

  void Execute(const SetCallerLimits& effect) {
    RequestServerLimits limits;
    limits.max_header_bytes = static_cast<std::size_t>(effect.max_header_bytes);
    limits.max_body_bytes = static_cast<std::size_t>(effect.max_body_bytes);
    limits.idle = std::max(limits.idle, effect.idle + kIdleMargin);
    m_caller_server.SetLimits(limits);
    if (effect.intake != CallerIntake::kOpen) {
      m_caller_server.CloseAfterAnswers();
    }
    if (effect.intake == CallerIntake::kClosed) {
      m_caller_server.StopReading();
    }
  }

  void Execute(const Exit& effect) {
    if (std::exchange(m_exiting, true)) {
      return;
    }
    for (RequestServer* server : ListServers()) {
      server->StopReading();
    }
    ExitWhenWritten(effect.limit);
  }

  /** Ends the run once no connection is left, or at `limit`. Answers may be in
   * the kernel or on slow links long after the reducer has given them. */
  void ExitWhenWritten(MonotonicTime limit) {
    std::size_t connections = 0;
    for (const RequestServer* server : ListServers()) {
      connections += server->OpenConnections();
    }
    if (connections > 0 && ReadSystemClock().monotonic < limit) {
      m_io.PostAfter(kExitCheckInterval,
                     [this, limit] { ExitWhenWritten(limit); });
      return;
    }
    LogInfo(LogLine("connections_at_exit")
                .Add("connections", static_cast<std::int64_t>(connections))
                .Add("unanswered",
                     static_cast<std::int64_t>(m_callers.PendingCount())));
    m_exit.set_value(EXIT_SUCCESS);
  }

  /** Returns the servers whose clients an exit must not cut off. Readiness
   * checks are repeated, so their server isn't among them. */
  std::vector<RequestServer*> ListServers() {
    std::vector<RequestServer*> servers = {&m_caller_server,
                                           &m_operator_server};
    if (m_lookup_server) {
      servers.push_back(&*m_lookup_server);
    }
    return servers;
  }

  LinkDelays m_delays;
  Metrics m_metrics;
  DetachableEventSink m_events;
  IoThread m_io;
  RequestIdGenerator m_request_ids;
  CallerApi m_callers;
  OperatorApi m_operators;
  RequestServer m_caller_server;
  RequestServer m_operator_server;
  ReadinessApi m_readiness;
  std::optional<RequestServer> m_lookup_server;
  std::optional<RequestServer> m_readiness_server;
  UpstreamClient m_upstreams;
  StoreClient m_store;
  PeerEvents m_peer_events;
  EffectDispatcher m_dispatcher;
  std::optional<NodeActor> m_actor;
  std::optional<PeerTransport> m_peers;
  boost::asio::signal_set m_signals;
  std::promise<int> m_exit;
  bool m_stop_requested = false;
  bool m_exiting = false;
  ReloadFunction m_reload;
};

Daemon::Daemon(const Settings& settings,
               std::int64_t incarnation,
               ReduceFunction reduce,
               const PlatformDialect& dialect)
    : m_implementation(std::make_unique<Implementation>(settings,
                                                        incarnation,
                                                        std::move(reduce),
                                                        dialect)) {}

Daemon::~Daemon() = default;

void Daemon::SetReload(ReloadFunction reload) {
  m_implementation->SetReload(std::move(reload));
}

int Daemon::Run() {
  return m_implementation->Run();
}

}  // namespace kumquatcove
