#include "runtime/peer_link.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <optional>
#include <utility>
#include <variant>

#include "runtime/kj_address.h"
#include "runtime/log_line.h"
#include "wire/envelope_codec.h"

namespace kumquatcove {

namespace {

constexpr std::size_t kMaxQueuedBytes = 16U << 20U;
constexpr std::size_t kMessageBytes = 128;
constexpr std::size_t kRecordBytes = 256;
constexpr std::size_t kUpstreamBytes = 128;
constexpr std::size_t kBlockBytes = 64;
constexpr kj::Duration kUnusedTimeout = 60 * kj::SECONDS;

kj::Duration ToKj(Duration duration) {
  return duration.count() * kj::MICROSECONDS;
}

std::size_t EstimateHeaders(const std::vector<HttpHeader>& headers) {
  std::size_t bytes = 0;
  for (const HttpHeader& header : headers) {
    bytes += header.name.size() + header.value.size() + kBlockBytes;
  }
  return bytes;
}

/** Estimates the size of the variable part of a message in bytes. */
struct Estimator {
  std::size_t operator()(const Gossip& gossip) const {
    return gossip.records.size() * kRecordBytes;
  }
  std::size_t operator()(const RelayRequest& request) const {
    return request.http.body.size() + request.http.target.size() +
           EstimateHeaders(request.http.headers);
  }
  std::size_t operator()(const RelayAnswer& answer) const {
    return answer.answer.http.body.size() +
           EstimateHeaders(answer.answer.http.headers);
  }
  std::size_t operator()(const CatalogueDelta& delta) const {
    std::size_t bytes = 0;
    for (const CatalogueEntry& entry : delta.entries) {
      bytes += kRecordBytes;
      if (const auto* service = std::get_if<ServiceEntry>(&entry.body)) {
        bytes += service->upstreams.size() * kUpstreamBytes;
      } else if (const auto* topology =
                     std::get_if<TopologyEntry>(&entry.body)) {
        bytes += topology->client_blocks.size() * kBlockBytes;
      }
    }
    return bytes;
  }
  template <class T>
  std::size_t operator()(const T& /*message*/) const {
    return 0;
  }
};

}  // namespace

/** An open connection and its RPC client. */
struct PeerLink::Session {
  explicit Session(kj::Own<kj::AsyncIoStream> connection)
      : stream(kj::mv(connection)),
        client(*stream),
        peer(client.bootstrap().castAs<schema::Peer>()) {}

  kj::Own<kj::AsyncIoStream> stream;
  capnp::TwoPartyClient client;
  schema::Peer::Client peer;
};

std::size_t EstimateBytes(const PeerMessage& message) {
  return kMessageBytes + std::visit(Estimator{}, message);
}

PeerLink::PeerLink(const PeerTransportSettings& settings,
                   PeerTransportCounters& counters,
                   kj::Network& network,
                   kj::Timer& timer,
                   std::string address)
    : m_settings(settings),
      m_counters(counters),
      m_network(network),
      m_timer(timer),
      m_address(std::move(address)),
      m_last_progress(timer.now()),
      m_last_use(timer.now()),
      m_connect_after(timer.now()),
      m_tasks(kj::heap<kj::TaskSet>(*this)) {}

PeerLink::~PeerLink() noexcept(false) = default;

void PeerLink::Send(QueuedMessage message) {
  m_last_use = m_timer.now();
  if (m_queue.size() >= m_settings.max_queued ||
      m_queued_bytes + message.bytes > kMaxQueuedBytes) {
    ++m_counters.dropped;
    return;
  }
  m_queued_bytes += message.bytes;
  m_queue.push_back(std::move(message));
  if (m_session.get() == nullptr) {
    Connect();
  } else {
    SendQueued();
  }
}

void PeerLink::Connect() {
  if (m_connecting || m_broken || m_timer.now() < m_connect_after) {
    return;
  }
  kj::Maybe<kj::Own<kj::NetworkAddress>> address =
      ParseKjAddress(m_network, m_address);
  KJ_IF_MAYBE (found, address) {
    m_connecting = true;
    m_last_progress = m_timer.now();
    auto attempt = (*found)->connect();
    attempt = attempt.attach(kj::mv(*found));
    m_tasks->add(attempt.then([this](kj::Own<kj::AsyncIoStream>&& stream) {
      OnConnected(kj::mv(stream));
    }));
    return;
  }
  DropQueue();
}

void PeerLink::OnConnected(kj::Own<kj::AsyncIoStream> stream) {
  int enabled = 1;
  stream->setsockopt(IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
  m_connecting = false;
  m_session = kj::heap<Session>(kj::mv(stream));
  m_last_progress = m_timer.now();
  ++m_counters.links_opened;
  SendQueued();
}

void PeerLink::SendQueued() {
  while (!m_broken && !m_queue.empty() &&
         m_outstanding < m_settings.max_outstanding) {
    const QueuedMessage message = std::move(m_queue.front());
    m_queue.pop_front();
    m_queued_bytes -= message.bytes;
    Deliver(message);
  }
}

void PeerLink::Deliver(const QueuedMessage& message) {
  auto request = m_session->peer.deliverRequest();
  try {
    WriteEnvelope(message.envelope, request.getEnvelope());
  } catch (const WireError& error) {
    ++m_counters.dropped;
    LogWarning(LogLine("peer_message_not_sent")
                   .Add("peer", m_address)
                   .Add("problem", error.what()));
    return;
  }
  m_counters.encoded_bytes +=
      request.totalSize().wordCount * sizeof(capnp::word);
  ++m_counters.sent;
  if (m_outstanding++ == 0) {
    m_last_progress = m_timer.now();
  }
  m_tasks->add(request.send().then([this](auto&& /*response*/) {
    --m_outstanding;
    m_last_progress = m_timer.now();
    SendQueued();
  }));
}

void PeerLink::Check() {
  const kj::TimePoint now = m_timer.now();
  const bool is_waiting = m_outstanding > 0 || m_connecting;
  if (is_waiting && !m_broken &&
      now - m_last_progress >= ToKj(m_settings.silence)) {
    ++m_counters.links_silent;
    LogWarning(LogLine("peer_link_silent").Add("peer", m_address));
    m_broken = true;
  }
  if (m_broken) {
    Disconnect();
  }
  if (m_session.get() == nullptr && !m_queue.empty()) {
    Connect();
  }
}

void PeerLink::Disconnect() {
  if (m_connecting) {
    DropQueue();
    m_connect_after = m_timer.now() + ToKj(m_settings.reconnect_delay);
  }
  if (m_outstanding > 0) {
    ResetOnClose();
  }
  m_counters.dropped += m_outstanding;
  m_tasks = kj::heap<kj::TaskSet>(*this);
  m_session = nullptr;
  m_outstanding = 0;
  m_connecting = false;
  m_broken = false;
}

void PeerLink::ResetOnClose() {
  linger reset{};
  reset.l_onoff = 1;
  reset.l_linger = 0;
  m_session->stream->setsockopt(SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
}

void PeerLink::DropQueue() {
  m_counters.dropped += m_queue.size();
  m_queue.clear();
  m_queued_bytes = 0;
}

bool PeerLink::IsUnused() const {
  return m_queue.empty() && m_outstanding == 0 && !m_connecting &&
         m_timer.now() - m_last_use > kUnusedTimeout;
}

void PeerLink::taskFailed(kj::Exception&& /*exception*/) {
  // The link cannot be closed here, since this runs inside one of its tasks;
  // Check closes it.
  m_broken = true;
}

}  // namespace kumquatcove
