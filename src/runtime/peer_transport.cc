#include "runtime/peer_transport.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <deque>
#include <future>
#include <map>
#include <mutex>
#include <stdexcept>
#include <thread>
#include <utility>

#include <capnp/rpc-twoparty.h>
#include <capnp/rpc.h>
#include <glog/logging.h>
#include <kj/async-io.h>
#include <kj/exception.h>

#include "runtime/kj_address.h"
#include "runtime/log_line.h"
#include "runtime/peer_link.h"
#include "wire/envelope_codec.h"

namespace kumquatcove {

namespace {

/** Maximum number of messages queued for the KJ thread. */
constexpr std::size_t kMaxInbox = 1U << 16U;
constexpr kj::Duration kCheckInterval = 20 * kj::MILLISECONDS;
constexpr kj::Duration kAcceptPause = 50 * kj::MILLISECONDS;
constexpr kj::Duration kFlushInterval = 2 * kj::MILLISECONDS;
constexpr int kLogEvery = 100;

capnp::ReaderOptions ReceiveLimits() {
  capnp::ReaderOptions options;
  options.traversalLimitInWords = 2 * kMaxMessageBytes / sizeof(capnp::word);
  options.nestingLimit = 32;
  return options;
}

/** Handles RPC calls from peers. */
class PeerServer final : public schema::Peer::Server {
 public:
  PeerServer(PeerReceiver& receiver, PeerTransportCounters& counters)
      : m_receiver(receiver), m_counters(counters) {}

  kj::Promise<void> deliver(DeliverContext context) override {
    try {
      PeerEnvelope envelope = ReadEnvelope(context.getParams().getEnvelope());
      ++m_counters.received;
      m_receiver.OnPeerMessage(std::move(envelope));
    } catch (const WireError& error) {
      ++m_counters.invalid;
      LOG_EVERY_N(WARNING, kLogEvery) << LogLine("peer_message_invalid")
                                             .Add("problem", error.what())
                                             .Text();
    }
    return kj::READY_NOW;
  }

 private:
  PeerReceiver& m_receiver;
  PeerTransportCounters& m_counters;
};

/** One accepted connection. */
struct AcceptedLink {
  AcceptedLink(kj::Own<kj::AsyncIoStream> connection,
               capnp::Capability::Client server)
      : stream(kj::mv(connection)),
        network(*stream, capnp::rpc::twoparty::Side::SERVER, ReceiveLimits()),
        rpc(capnp::makeRpcServer(network, kj::mv(server))) {
    rpc.setFlowLimit(2 * kMaxMessageBytes / sizeof(capnp::word));
  }

  kj::Own<kj::AsyncIoStream> stream;
  capnp::TwoPartyVatNetwork network;
  capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
};

/** Forwards KJ's log messages to the log at a limited rate, since remote input
 * can trigger them. */
class KjLog : public kj::ExceptionCallback {
 public:
  void logMessage(kj::LogSeverity /*severity*/,
                  const char* /*file*/,
                  int /*line*/,
                  int /*context_depth*/,
                  kj::String&& text) override {
    LOG_EVERY_N(WARNING, kLogEvery)
        << LogLine("peer_rpc").Add("text", text.cStr()).Text();
  }
};

}  // namespace

class PeerTransport::Implementation final : public kj::TaskSet::ErrorHandler {
 public:
  Implementation(PeerTransportSettings settings, PeerReceiver& receiver)
      : m_settings(std::move(settings)),
        m_receiver(receiver),
        m_wake(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
    if (m_wake < 0) {
      throw std::runtime_error("eventfd: " + std::string(std::strerror(errno)));
    }
    std::promise<std::uint16_t> bound;
    std::future<std::uint16_t> port = bound.get_future();
    m_thread = std::thread([this, &bound] { Run(bound); });
    try {
      m_port = port.get();
    } catch (...) {
      m_thread.join();
      ::close(m_wake);
      throw;
    }
  }

  ~Implementation() noexcept(false) {
    {
      const std::lock_guard lock(m_mutex);
      m_stopping = true;
    }
    Wake();
    m_thread.join();
    ::close(m_wake);
  }
  KJ_DISALLOW_COPY(Implementation);

  void Send(SendPeer message) {
    if (message.to == m_settings.instance) {
      m_receiver.OnPeerMessage({m_settings.instance, m_settings.zone,
                                message.sent, std::move(message.message)});
      return;
    }
    bool first = false;
    {
      const std::lock_guard lock(m_mutex);
      if (m_inbox.size() >= kMaxInbox) {
        ++m_inbox_dropped;
        return;
      }
      first = m_inbox.empty();
      m_inbox.push_back(std::move(message));
    }
    if (first) {
      Wake();
    }
  }

  std::uint16_t Port() const { return m_port; }

  PeerTransportCounters Counters() const {
    const std::lock_guard lock(m_mutex);
    PeerTransportCounters counters = m_published;
    counters.dropped += m_inbox_dropped;
    return counters;
  }

 private:
  /** State owned by the KJ thread. */
  struct Loop {
    explicit Loop(kj::TaskSet::ErrorHandler& handler)
        : io(kj::setupAsyncIo()), tasks(handler) {}

    kj::AsyncIoContext io;
    kj::Own<kj::AsyncInputStream> wake;
    kj::Own<kj::ConnectionReceiver> listener;
    std::uint64_t wake_buffer = 0;
    std::size_t accepted = 0;
    std::map<std::string, kj::Own<PeerLink>> links;
    kj::TaskSet tasks;
  };

  void Run(std::promise<std::uint16_t>& bound) {
    KjLog log;
    bool started = false;
    try {
      Loop loop(*this);
      Listen(loop);
      const auto port = static_cast<std::uint16_t>(loop.listener->getPort());
      started = true;
      bound.set_value(port);
      loop.wake = loop.io.lowLevelProvider->wrapInputFd(m_wake);
      loop.tasks.add(AcceptAll(loop));
      loop.tasks.add(CheckAll(loop));
      HandleWakeups(loop).wait(loop.io.waitScope);
    } catch (const kj::Exception& error) {
      if (!started) {
        bound.set_exception(std::make_exception_ptr(
            std::runtime_error("can't listen at " + m_settings.address + ": " +
                               error.getDescription().cStr())));
        return;
      }
      // An instance without peer messages would act on outdated state, so the
      // process is terminated.
      LOG(FATAL) << LogLine("peer_transport_failed")
                        .Add("problem", error.getDescription().cStr())
                        .Text();
    }
  }

  void Listen(Loop& loop) {
    auto address =
        ParseKjAddress(loop.io.provider->getNetwork(), m_settings.address);
    KJ_IF_MAYBE (found, address) {
      loop.listener = (*found)->listen();
      return;
    }
    KJ_FAIL_REQUIRE("not an IP number and port");
  }

  void Wake() const {
    const std::uint64_t one = 1;
    // The write fails only if the counter is full; the thread wakes up in that
    // case too.
    [[maybe_unused]] const auto written = ::write(m_wake, &one, sizeof(one));
  }

  /** Handles wakeups until the transport stops and has sent its messages. */
  kj::Promise<void> HandleWakeups(Loop& loop) {
    return loop.wake
        ->tryRead(&loop.wake_buffer, sizeof(std::uint64_t),
                  sizeof(std::uint64_t))
        .then([this, &loop](std::size_t) -> kj::Promise<void> {
          if (DeliverInbox(loop)) {
            return Flush(loop,
                         loop.io.provider->getTimer().now() +
                             m_settings.flush_limit.count() * kj::MICROSECONDS);
          }
          return HandleWakeups(loop);
        });
  }

  /** Passes queued messages to their links. Returns true if the transport is
   * stopping. */
  bool DeliverInbox(Loop& loop) {
    std::deque<SendPeer> inbox;
    bool stopping = false;
    {
      const std::lock_guard lock(m_mutex);
      stopping = m_stopping;
      inbox.swap(m_inbox);
    }
    for (SendPeer& message : inbox) {
      PeerLink* link = FindLink(loop, message.address);
      if (link == nullptr) {
        ++m_counters.dropped;
        continue;
      }
      const std::size_t bytes = EstimateBytes(message.message);
      link->Send({{m_settings.instance, m_settings.zone, message.sent,
                   std::move(message.message)},
                  bytes});
    }
    return stopping;
  }

  /** Waits until the peers have acknowledged all messages, at most until `end`.
   */
  kj::Promise<void> Flush(Loop& loop, kj::TimePoint end) {
    std::size_t unsent = 0;
    for (const auto& [address, link] : loop.links) {
      unsent += link->UnacknowledgedMessages();
    }
    kj::Timer& timer = loop.io.provider->getTimer();
    if (unsent == 0 || timer.now() >= end) {
      if (unsent > 0) {
        LogWarning(LogLine("peer_messages_not_sent")
                       .Add("messages", static_cast<std::int64_t>(unsent)));
      }
      return kj::READY_NOW;
    }
    return timer.afterDelay(kFlushInterval).then([this, &loop, end]() {
      return Flush(loop, end);
    });
  }

  PeerLink* FindLink(Loop& loop, const std::string& address) {
    const auto found = loop.links.find(address);
    if (found != loop.links.end()) {
      return found->second.get();
    }
    if (loop.links.size() >= m_settings.max_links) {
      return nullptr;
    }
    auto& link = loop.links[address];
    link = kj::heap<PeerLink>(m_settings, m_counters,
                              loop.io.provider->getNetwork(),
                              loop.io.provider->getTimer(), address);
    return link.get();
  }

  kj::Promise<void> CheckAll(Loop& loop) {
    return loop.io.provider->getTimer()
        .afterDelay(kCheckInterval)
        .then([this, &loop]() {
          for (auto& [address, link] : loop.links) {
            link->Check();
          }
          std::erase_if(loop.links, [](const auto& entry) {
            return entry.second->IsUnused();
          });
          {
            const std::lock_guard lock(m_mutex);
            m_published = m_counters;
          }
          return CheckAll(loop);
        });
  }

  kj::Promise<void> AcceptAll(Loop& loop) {
    return loop.listener->accept().then(
        [this, &loop](kj::Own<kj::AsyncIoStream>&& stream) {
          if (loop.accepted < m_settings.max_accepted) {
            Serve(loop, kj::mv(stream));
          }
          return AcceptAll(loop);
        },
        [this, &loop](kj::Exception&& /*error*/) {
          return loop.io.provider->getTimer()
              .afterDelay(kAcceptPause)
              .then([this, &loop]() { return AcceptAll(loop); });
        });
  }

  void Serve(Loop& loop, kj::Own<kj::AsyncIoStream> stream) {
    auto link = kj::heap<AcceptedLink>(
        kj::mv(stream), kj::heap<PeerServer>(m_receiver, m_counters));
    ++loop.accepted;
    auto closed = link->network.onDisconnect();
    loop.tasks.add(
        closed.attach(kj::mv(link), kj::defer([&loop] { --loop.accepted; })));
  }

  void taskFailed(kj::Exception&& error) override {
    LOG_EVERY_N(WARNING, kLogEvery)
        << LogLine("peer_connection_failed")
               .Add("problem", error.getDescription().cStr())
               .Text();
  }

  const PeerTransportSettings m_settings;
  PeerReceiver& m_receiver;
  const int m_wake;
  std::uint16_t m_port = 0;
  std::thread m_thread;
  /** Used by the KJ thread only; a copy is published under the mutex. */
  PeerTransportCounters m_counters;

  mutable std::mutex m_mutex;
  std::deque<SendPeer> m_inbox;
  bool m_stopping = false;
  PeerTransportCounters m_published;
  std::uint64_t m_inbox_dropped = 0;
};

PeerTransport::PeerTransport(PeerTransportSettings settings,
                             PeerReceiver& receiver)
    : m_implementation(
          std::make_unique<Implementation>(std::move(settings), receiver)) {}

PeerTransport::~PeerTransport() = default;

void PeerTransport::Send(SendPeer message) {
  m_implementation->Send(std::move(message));
}

std::uint16_t PeerTransport::Port() const {
  return m_implementation->Port();
}

PeerTransportCounters PeerTransport::Counters() const {
  return m_implementation->Counters();
}

}  // namespace kumquatcove
