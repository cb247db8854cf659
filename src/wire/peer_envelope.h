#ifndef WIRE_PEER_ENVELOPE_H_
#define WIRE_PEER_ENVELOPE_H_

#include <stdexcept>

#include <boost/describe/class.hpp>

#include "base/hybrid_clock.h"
#include "base/name.h"
#include "protocol/peer_message.h"

namespace kumquatcove {

/** A peer message with its sender, as sent between entry instances. */
struct PeerEnvelope {
  InstanceId sender;
  /** Availability zone of the sender. */
  ZoneName zone;
  HybridTimestamp sent;
  PeerMessage message;
  friend bool operator==(const PeerEnvelope&, const PeerEnvelope&) = default;
};
BOOST_DESCRIBE_STRUCT(PeerEnvelope, (), (sender, zone, sent, message))

/** A message can't be converted to or from its wire form; the text names the
 * field. */
class WireError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/** Greatest encoded size of a message; the catalogue of two years from now
 * needs less, and one message must not delay others for long. */
inline constexpr std::size_t kMaxMessageBytes = 4U << 20U;

/** Greatest number of elements of any list in a message. */
inline constexpr std::size_t kMaxListLength = 1U << 18U;

}  // namespace kumquatcove

#endif  // WIRE_PEER_ENVELOPE_H_
