#ifndef PROTOCOL_PROTOCOL_H_
#define PROTOCOL_PROTOCOL_H_

/**
 * Module `protocol`: events, effects, peer messages and store operations as
 * plain data.
 *
 * These types form the complete interface between the reducer and its driver.
 * All of them convert to and from JSON with ToJson and FromJson, so that a
 * recorded sequence of events can be replayed.
 */
#include "protocol/context.h"
#include "protocol/effect.h"
#include "protocol/event.h"
#include "protocol/http_message.h"
#include "protocol/ids.h"
#include "protocol/lookup.h"
#include "protocol/operator_command.h"
#include "protocol/outcome.h"
#include "protocol/peer_message.h"
#include "protocol/status_report.h"
#include "protocol/store_operation.h"
#include "protocol/timeline_event.h"

#endif  // PROTOCOL_PROTOCOL_H_
