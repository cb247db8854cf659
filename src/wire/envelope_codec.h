#ifndef WIRE_ENVELOPE_CODEC_H_
#define WIRE_ENVELOPE_CODEC_H_

#include <string>
#include <string_view>

#include "wire/peer.capnp.h"
#include "wire/peer_envelope.h"

namespace kumquatcove {

/** Writes `envelope` to `builder`. Throws WireError if it is too large. */
void WriteEnvelope(const PeerEnvelope& envelope,
                   schema::Envelope::Builder builder);

/** Reads an envelope from untrusted data. Throws WireError for broken data,
 * unknown alternatives and values, and lists or messages above the limits. */
PeerEnvelope ReadEnvelope(schema::Envelope::Reader reader);

/** Returns the envelope as one message with a segment table. Throws WireError.
 */
std::string EncodeEnvelope(const PeerEnvelope& envelope);

/** Reads an envelope from the form of EncodeEnvelope. Throws WireError. */
PeerEnvelope DecodeEnvelope(std::string_view bytes);

}  // namespace kumquatcove

#endif  // WIRE_ENVELOPE_CODEC_H_
