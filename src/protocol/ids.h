#ifndef PROTOCOL_IDS_H_
#define PROTOCOL_IDS_H_

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include <boost/describe/class.hpp>

namespace kumquatcove {

/** Number with a type of its own. */
#define KUMQUATCOVE_DEFINE_ID(Type)                              \
  struct Type {                                                  \
    std::uint64_t number = 0;                                    \
    friend auto operator<=>(const Type&, const Type&) = default; \
    template <typename H>                                        \
    friend H AbslHashValue(H state, const Type& id) {            \
      return H::combine(std::move(state), id.number);            \
    }                                                            \
  };                                                             \
  BOOST_DESCRIBE_STRUCT(Type, (), (number))

/** One caller's HTTP request at one entry instance; unique across all instances
 * and restarts. */
KUMQUATCOVE_DEFINE_ID(RequestId)
/** One connection from this instance to an upstream; unique within the process.
 */
KUMQUATCOVE_DEFINE_ID(ConnectionId)
/** One operation on the store; unique within the process. */
KUMQUATCOVE_DEFINE_ID(StoreRequestId)
/** One request for a slot; unique across all instances and restarts. */
KUMQUATCOVE_DEFINE_ID(TicketId)
/** One relayed request between two entry instances; unique across all instances
 * and restarts. */
KUMQUATCOVE_DEFINE_ID(RelayId)

#undef KUMQUATCOVE_DEFINE_ID

/** Formats a request id as in the timeline, in logs and in
 * `Kumquatcove-Request-Id`. */
std::string FormatRequestId(RequestId id);

}  // namespace kumquatcove

#endif  // PROTOCOL_IDS_H_
