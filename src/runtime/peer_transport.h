#ifndef RUNTIME_PEER_TRANSPORT_H_
#define RUNTIME_PEER_TRANSPORT_H_

#include <cstdint>
#include <memory>
#include <string>

#include "base/clock_reading.h"
#include "base/name.h"
#include "protocol/effect.h"
#include "wire/peer_envelope.h"

namespace kumquatcove {

/** Receives messages from the peer transport. Thread safety: called on the
 * transport's thread; must not block. */
class PeerReceiver {
 public:
  PeerReceiver() = default;
  PeerReceiver(const PeerReceiver&) = delete;
  PeerReceiver& operator=(const PeerReceiver&) = delete;
  virtual ~PeerReceiver() = default;

  virtual void OnPeerMessage(PeerEnvelope envelope) = 0;
};

/** Limits and timeouts of the peer transport. */
struct PeerTransportSettings {
  InstanceId instance;
  ZoneName zone;
  /** IP address and port to listen on; port 0 selects a free port. */
  std::string address;
  /** Maximum number of unacknowledged messages to one peer. */
  std::size_t max_outstanding = 256;
  /** Maximum number of queued messages to one peer; further ones are dropped.
   */
  std::size_t max_queued = 4096;
  std::size_t max_links = 4096;
  std::size_t max_accepted = 4096;
  /** A link with an outstanding message is closed if no acknowledgement arrives
   * for this long. */
  Duration silence{Seconds(1)};
  Duration reconnect_delay{Milliseconds(100)};
  /** Maximum time for which the destructor waits until queued messages are
   * acknowledged. Covers a connection setup between distant regions. */
  Duration flush_limit{Milliseconds(300)};
};

/** Counters since the start of the transport. */
struct PeerTransportCounters {
  std::uint64_t sent = 0;
  std::uint64_t received = 0;
  /** Messages dropped because the queue was full, the link failed or no link
   * could be opened. */
  std::uint64_t dropped = 0;
  /** Received messages that were invalid. */
  std::uint64_t invalid = 0;
  std::uint64_t links_opened = 0;
  std::uint64_t links_silent = 0;
  std::uint64_t encoded_bytes = 0;
};

/**
 * Exchanges messages between entry instances over Cap'n Proto RPC, on its own
 * thread.
 *
 * A message is sent at most once: messages outstanding on a failed link are
 * lost. Thread safety: all functions may be called from any thread.
 */
class PeerTransport {
 public:
  /**
   * Binds the address and starts the thread. `receiver` must outlive this
   * object.
   *
   * Throws std::runtime_error if the address cannot be bound.
   */
  PeerTransport(PeerTransportSettings settings, PeerReceiver& receiver);
  /** Sends the queued messages, for at most `flush_limit`, then closes all
   * links and joins the thread. */
  ~PeerTransport();
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  /** Queues a message; messages to one peer are sent in order. */
  void Send(SendPeer message);

  /** Returns the bound port. */
  std::uint16_t Port() const;

  PeerTransportCounters Counters() const;

 private:
  class Implementation;
  std::unique_ptr<Implementation> m_implementation;
};

}  // namespace kumquatcove

#endif  // RUNTIME_PEER_TRANSPORT_H_
