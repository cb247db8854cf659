#ifndef WIRE_WIRE_H_
#define WIRE_WIRE_H_

/**
 * Module `wire`: Cap'n Proto form of the messages between entry instances.
 *
 * The schema is peer.capnp; its generated code is committed and made anew by
 * `capnp compile -oc++ peer.capnp` in this folder. Received data isn't trusted:
 * sizes, list lengths, alternatives and enumerations are checked.
 */
#include "wire/peer_envelope.h"

#endif  // WIRE_WIRE_H_
