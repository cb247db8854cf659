#ifndef RUNTIME_PEER_LINK_H_
#define RUNTIME_PEER_LINK_H_

#include <deque>
#include <memory>
#include <string>

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <kj/timer.h>

#include "runtime/peer_transport.h"
#include "wire/peer.capnp.h"

namespace kumquatcove {

/** A message queued for sending. */
struct QueuedMessage {
  PeerEnvelope envelope;
  std::size_t bytes = 0;
};

/** Returns the approximate memory size of a message in bytes. */
std::size_t EstimateBytes(const PeerMessage& message);

/**
 * Link to one peer, with a send queue, a TCP connection and the outstanding
 * calls.
 *
 * Thread safety: none; must be used on the transport's KJ thread only.
 */
class PeerLink final : public kj::TaskSet::ErrorHandler {
 public:
  /** All references must outlive this object. */
  PeerLink(const PeerTransportSettings& settings,
           PeerTransportCounters& counters,
           kj::Network& network,
           kj::Timer& timer,
           std::string address);
  ~PeerLink() noexcept(false);
  KJ_DISALLOW_COPY(PeerLink);

  /** Queues a message and sends it as soon as the limit of outstanding calls
   * permits. Drops it if the queue is full. */
  void Send(QueuedMessage message);

  /** Closes the link if it failed or stalled, and reconnects if messages are
   * queued. Must be called regularly, but not from a task of the link. */
  void Check();

  /** Marks the link as broken; called by the task set when a task fails. */
  void taskFailed(kj::Exception&& exception) override;

  /** Returns the number of messages that are queued or not acknowledged yet. */
  std::size_t UnacknowledgedMessages() const {
    return m_queue.size() + m_outstanding;
  }

  /** Returns whether the link has been idle for more than a minute. */
  bool IsUnused() const;

 private:
  struct Session;

  void Connect();
  void OnConnected(kj::Own<kj::AsyncIoStream> stream);
  void SendQueued();
  void Deliver(const QueuedMessage& message);
  void Disconnect();
  /** Makes closing the session discard the messages that the kernel still
   * holds, since their senders give them up. Precondition: there is one. */
  void ResetOnClose();
  void DropQueue();

  const PeerTransportSettings& m_settings;
  PeerTransportCounters& m_counters;
  kj::Network& m_network;
  kj::Timer& m_timer;
  std::string m_address;
  std::deque<QueuedMessage> m_queue;
  std::size_t m_queued_bytes = 0;
  std::size_t m_outstanding = 0;
  bool m_connecting = false;
  bool m_broken = false;
  kj::TimePoint m_last_progress;
  kj::TimePoint m_last_use;
  kj::TimePoint m_connect_after;
  kj::Own<Session> m_session;
  /** Declared last, so that tasks are destroyed before the objects they use. */
  kj::Own<kj::TaskSet> m_tasks;
};

}  // namespace kumquatcove

#endif  // RUNTIME_PEER_LINK_H_
