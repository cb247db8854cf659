#include "runtime/peer_transport.h"

#include <doctest/doctest.h>

#include <thread>

#include "base/random.h"
#include "runtime/stalled_server.h"
#include "runtime/test_support.h"

namespace kumquatcove {
namespace {

class RecordingReceiver : public PeerReceiver, public Recorder<PeerEnvelope> {
 public:
  void OnPeerMessage(PeerEnvelope envelope) override {
    Add(std::move(envelope));
  }
};

PeerTransportSettings MakeSettings(const std::string& instance) {
  PeerTransportSettings settings;
  settings.instance = InstanceId(instance);
  settings.zone = ZoneName("zone-" + instance);
  settings.address = "127.0.0.1:0";
  return settings;
}

std::string AddressOf(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

SendPeer MakeMessage(std::uint16_t port, std::int64_t number) {
  return {
      InstanceId("b"), AddressOf(port), {number, 1}, CatalogueRequest{number}};
}

/** Waits until `condition` is true. Returns false on timeout. */
template <class Condition>
bool WaitFor(Condition condition) {
  const auto end = std::chrono::steady_clock::now() + kTestTimeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return true;
}

}  // namespace

TEST_CASE(
    "Messages between two instances arrive once each and in order, with "
    "their sender") {
  RecordingReceiver at_a;
  RecordingReceiver at_b;
  PeerTransport a(MakeSettings("a"), at_a);
  PeerTransport b(MakeSettings("b"), at_b);
  constexpr std::size_t kCount = 3000;
  for (std::size_t i = 0; i < kCount; ++i) {
    a.Send(MakeMessage(b.Port(), static_cast<std::int64_t>(i)));
  }
  REQUIRE(at_b.WaitForCount(kCount));
  const std::vector<PeerEnvelope> received = at_b.Values();
  CHECK(received.size() == kCount);
  for (std::size_t i = 0; i < kCount; ++i) {
    const auto number = static_cast<std::int64_t>(i);
    CHECK(received[i].message == PeerMessage(CatalogueRequest{number}));
    CHECK(received[i].sent == HybridTimestamp{number, 1});
  }
  CHECK(received[0].sender == InstanceId("a"));
  CHECK(received[0].zone == ZoneName("zone-a"));
}

TEST_CASE("A message to the own instance is delivered without a connection") {
  RecordingReceiver receiver;
  PeerTransport transport(MakeSettings("b"), receiver);
  transport.Send(MakeMessage(1, 5));
  REQUIRE(receiver.WaitForCount(1));
  CHECK(receiver.Values()[0].sender == InstanceId("b"));
}

TEST_CASE("A peer that restarts at the same address is reconnected") {
  RecordingReceiver at_a;
  RecordingReceiver at_b;
  PeerTransport a(MakeSettings("a"), at_a);
  PeerTransportSettings settings = MakeSettings("b");
  {
    PeerTransport b(settings, at_b);
    settings.address = AddressOf(b.Port());
    a.Send(MakeMessage(b.Port(), 1));
    REQUIRE(at_b.WaitForCount(1));
  }
  PeerTransport b(settings, at_b);
  CHECK(WaitFor([&] {
    a.Send(MakeMessage(b.Port(), 2));
    return at_b.Values().size() > 1;
  }));
}

TEST_CASE(
    "A stalled link is closed and reopened, since the peer "
    "may be reachable over a new connection") {
  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor unresponsive(
      context, {boost::asio::ip::make_address("127.0.0.1"), 0});
  RecordingReceiver receiver;
  PeerTransportSettings settings = MakeSettings("a");
  settings.silence = Milliseconds(100);
  settings.max_outstanding = 2;
  PeerTransport transport(settings, receiver);
  for (int i = 0; i < 10; ++i) {
    transport.Send(MakeMessage(unresponsive.local_endpoint().port(), i));
  }
  CHECK(WaitFor([&] {
    const PeerTransportCounters counters = transport.Counters();
    return counters.links_silent >= 2 && counters.links_opened >= 3;
  }));
  CHECK(transport.Counters().sent <= 10);
}

// Guards against relayed requests that arrive late: the link was closed in
// order, so that the kernel delivered what its peer had not received, after the
// sender had given up those requests.
TEST_CASE(
    "What a stalled link holds isn't delivered after the link was closed") {
  StalledServer stalled;
  RecordingReceiver receiver;
  PeerTransportSettings settings = MakeSettings("a");
  settings.silence = Milliseconds(100);
  PeerTransport transport(settings, receiver);
  RelayRequest relay;
  relay.http.body = std::string(StalledServer::kHeldBytes, 'b');
  transport.Send({InstanceId("b"), stalled.Address(), {}, relay});
  stalled.Accept();
  REQUIRE(WaitFor([&] { return transport.Counters().links_silent >= 1; }));
  const ReceivedBytes received = stalled.ReadToEnd();
  CHECK(received.end == ConnectionEnd::kReset);
  CHECK(received.count < StalledServer::kHeldBytes);
}

TEST_CASE(
    "Messages to an address without a listener are dropped, and the "
    "queue to a peer is bounded") {
  RecordingReceiver receiver;
  PeerTransportSettings settings = MakeSettings("a");
  settings.max_queued = 10;
  PeerTransport transport(settings, receiver);
  for (int i = 0; i < 100; ++i) {
    transport.Send(MakeMessage(1, i));
  }
  transport.Send({InstanceId("c"), "not an address", {}, SlotGrant{}});
  CHECK(WaitFor([&] { return transport.Counters().dropped >= 101; }));
}

TEST_CASE(
    "Messages that are queued when a transport is destroyed still reach their "
    "peer") {
  // An instance that stops answers relays until its end. The peer can't tell a
  // lost answer from a request that may have run.
  RecordingReceiver at_b;
  PeerTransport b(MakeSettings("b"), at_b);
  constexpr std::size_t kCount = 2000;
  {
    RecordingReceiver at_a;
    PeerTransportSettings settings = MakeSettings("a");
    settings.flush_limit = kTestTimeout;
    PeerTransport a(settings, at_a);
    for (std::size_t i = 0; i < kCount; ++i) {
      a.Send(MakeMessage(b.Port(), static_cast<std::int64_t>(i)));
    }
  }
  CHECK(at_b.WaitForCount(kCount));
  CHECK(at_b.Values().size() == kCount);
}

TEST_CASE(
    "A peer that doesn't respond delays the end of a transport by the flush "
    "limit only") {
  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor unresponsive(
      context, {boost::asio::ip::make_address("127.0.0.1"), 0});
  RecordingReceiver receiver;
  PeerTransportSettings settings = MakeSettings("a");
  settings.silence = Seconds(60);
  settings.flush_limit = Milliseconds(200);
  auto transport = std::make_unique<PeerTransport>(settings, receiver);
  transport->Send(MakeMessage(unresponsive.local_endpoint().port(), 1));
  const auto start = std::chrono::steady_clock::now();
  transport.reset();
  const auto duration = std::chrono::steady_clock::now() - start;
  CHECK(duration >= Milliseconds(200));
  CHECK(duration < Seconds(5));
}

TEST_CASE("Random input on the peer port does not stop the transport") {
  RecordingReceiver at_a;
  RecordingReceiver at_b;
  PeerTransport a(MakeSettings("a"), at_a);
  PeerTransport b(MakeSettings("b"), at_b);
  Random random(20261204);
  for (int trial = 0; trial < 200; ++trial) {
    std::string input(random.NextBelow(256), '\0');
    for (char& c : input) {
      const bool sparse = random.NextBelow(2) == 0;
      c = static_cast<char>(sparse ? 0 : random.NextBelow(256));
    }
    if (input.size() > 8 && trial % 2 == 0) {
      input.replace(0, 8, std::string("\0\0\0\0\x10\0\0\0", 8));
    }
    RawClient client(b.Port());
    client.Send(input);
    client.Close();
  }
  a.Send(MakeMessage(b.Port(), 1));
  CHECK(at_b.WaitForCount(1));
}

TEST_CASE("An address that is in use is reported with its name") {
  RecordingReceiver receiver;
  const PeerTransport first(MakeSettings("a"), receiver);
  PeerTransportSettings settings = MakeSettings("b");
  settings.address = AddressOf(first.Port());
  CHECK_THROWS_AS(PeerTransport(settings, receiver), std::runtime_error);
}

}  // namespace kumquatcove
